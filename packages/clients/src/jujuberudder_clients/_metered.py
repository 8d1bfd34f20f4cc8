"""ASGI middleware that counts responses to clients and reports the section used."""

import trio

from . import _headers as headers

DEBUG = b"jujuberudder-debug"
SECTION = b"jujuberudder-section"
# Scope entry that holds the section of a request once it is known.
USED_SECTION = "jujuberudder.section"
NO_SERVICE = "none"
# Reasons contain addresses and names, which would make the number of label values
# unbounded. A reason that contains one of these texts gets the label beside it.
REASON_LABELS = {
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
OTHER_LABEL = "other"


def reason_label(reason):
    """Map a reason to one of a bounded set of label values.

    Parameters
    ----------
    reason : str
        Value of the ``Jujuberudder-Reason`` header. ``""`` is returned unchanged.

    Returns
    -------
    label : str
    """
    lower = reason.lower()
    if not lower:
        return ""
    labels = (label for text, label in REASON_LABELS.items() if text in lower)
    return next(labels, OTHER_LABEL)


def with_request_metrics(app, metrics):
    """Wrap an ASGI application to count and time its responses.

    Parameters
    ----------
    app : ASGI application
        Stores the section that it uses in the scope, under ``USED_SECTION``.
    metrics : Metrics

    Returns
    -------
    measured : ASGI application
    """

    async def measured(scope, receive, send):
        started = trio.current_time()

        async def send_counted(message):
            if message["type"] == "http.response.start":
                message = _add_section_header(scope, message)
                _count_response(metrics, scope, message["headers"])
            await send(message)

        await app(scope, receive, send_counted)
        seconds = trio.current_time() - started
        service = _service(scope)
        metrics.record("jujuberudder_request_seconds", seconds, service=service)

    return measured


def _service(scope):
    section = scope.get(USED_SECTION)
    return section.body["service"] if section else NO_SERVICE


def _count_response(metrics, scope, response_headers):
    metrics.add(
        "jujuberudder_requests_total",
        service=_service(scope),
        outcome=headers.get(response_headers, headers.OUTCOME) or "unknown",
        reason=reason_label(headers.get(response_headers, headers.REASON) or ""),
    )


def _add_section_header(scope, message):
    """Add a header with the section and its version if the debug header is set."""
    section = scope.get(USED_SECTION)
    if section is None or headers.get(scope["headers"], DEBUG) != "section":
        return message
    section_header = (SECTION, f"{section.name} version {section.version}".encode())
    return message | {"headers": [*message["headers"], section_header]}
