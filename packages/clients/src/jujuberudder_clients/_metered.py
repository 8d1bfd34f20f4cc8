"""Counts the answers to clients and names the section that was used."""

import trio

from . import _headers as headers

DEBUG = b"jujuberudder-debug"
SECTION = b"jujuberudder-section"
# Set in the scope of a request once its section is known.
USED_SECTION = "jujuberudder.section"
NO_SERVICE = "none"
# Reasons carry addresses and names; as labels, only these parts of them are kept.
REASONS = {
    "queue full": "queue full",
    "deadline cannot be met": "deadline cannot be met",
    "nested call": "no slot for a nested call",
    "deadline passed": "deadline passed",
    "shed": "shed by the target",
    "stale fence": "stale fence",
    "no section": "no section",
    "no key": "no key",
    "no live owner": "no live owner",
    "no lease": "no lease",
    "no shards": "no shards",
    "no target": "no target",
    "no longer owner": "no longer owner",
    "not usable": "not usable",
    "draining": "draining",
    "too large": "too large",
    "larger than": "too large",
    "did not arrive": "body incomplete",
    "another request": "answer to another request",
    "no length": "answer without length",
    "was lost": "answer lost",
    "internal error": "internal error",
    "connecterror": "connection refused",
    "connecttimeout": "connection refused",
    "timeout": "timeout",
    "protocolerror": "connection broken",
    "readerror": "connection broken",
    "writeerror": "connection broken",
}
OTHER_REASON = "other"


def reason_label(reason):
    """Return one of a bounded set of reasons.

    Parameters
    ----------
    reason : str
        As in the ``Jujuberudder-Reason`` header; ``""`` stays as it is.
    """
    lower = reason.lower()
    if not lower:
        return ""
    found = (label for part, label in REASONS.items() if part in lower)
    return next(found, OTHER_REASON)


def with_request_metrics(app, metrics):
    """Return an ASGI application that counts the answers of another one.

    Parameters
    ----------
    app : ASGI application
        Sets the section that it uses as ``USED_SECTION`` in the scope.
    metrics : Metrics
    """

    async def measured(scope, receive, send):
        started = trio.current_time()

        async def send_counted(message):
            if message["type"] == "http.response.start":
                message = _with_section(scope, message)
                _count(metrics, scope, message["headers"])
            await send(message)

        await app(scope, receive, send_counted)
        seconds = trio.current_time() - started
        service = _service(scope)
        metrics.record("jujuberudder_request_seconds", seconds, service=service)

    return measured


def _service(scope):
    section = scope.get(USED_SECTION)
    return section.body["service"] if section else NO_SERVICE


def _count(metrics, scope, given):
    metrics.add(
        "jujuberudder_requests_total",
        service=_service(scope),
        outcome=headers.get(given, headers.OUTCOME) or "unknown",
        reason=reason_label(headers.get(given, headers.REASON) or ""),
    )


def _with_section(scope, message):
    """Name the section in the answer if the request asks for it."""
    section = scope.get(USED_SECTION)
    if section is None or headers.get(scope["headers"], DEBUG) != "section":
        return message
    shown = (SECTION, f"{section.name} version {section.version}".encode())
    return message | {"headers": [*message["headers"], shown]}
