"""Parse and validate a request."""

import re
from typing import Any, NamedTuple

import trio
from result import Err, Ok

from jujuberudder_core import new_id

from . import _headers as headers
from ._body import RequestBody
from ._metered import USED_SECTION
from ._route import find_key, find_section

REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}\Z")
IDEMPOTENCY_KEY = b"idempotency-key"
IDEMPOTENCY_KEY_MAX = 255
MAX_HOP_COUNT = 9
HEAD_MAX_BYTES = 32 * 1024
SHED_REASON = "shed by the target"


class Refusal(NamedTuple):
    """A response that the node generates instead of relaying one.

    Parameters
    ----------
    outcome : str
        ``"not-run"`` or ``"unknown"``.
    status : int
        HTTP status code.
    reason : str
    retryable : bool
        Whether the request may be sent again, to another node or later.
    retry_after_s : int
        Value of the Retry-After header, in seconds.
    """

    outcome: str
    status: int
    reason: str
    retryable: bool = False
    retry_after_s: int = 1


class Progress:
    """Progress of a request.

    Attributes
    ----------
    sent : bool
        Whether the current attempt may have sent a byte to a peer.
    response_started : bool
        Whether no other response may be sent to the client: one has started, or the
        client has disconnected.
    unknown_refusal : Refusal or None
        Refusal of an earlier attempt that may have run.
    retries : int
        Number of retries that count against the retry budget.
    """

    def __init__(self):
        self.sent = False
        self.response_started = False
        self.unknown_refusal = None
        self.retries = 0


class Request(NamedTuple):
    """A request in progress.

    Parameters
    ----------
    id : str
    scope : dict
        ASGI scope, whose headers are those to pass on.
    section : PublishedSection
    key : str or None
        Routing key, or None for a service without keys.
    deadline : float
        On trio's clock.
    hops : int
        Number of nodes that have forwarded the request already.
    depth : int
        Call depth: 0 for a client's request, 1 for a call that a service makes to
        handle it, and so on.
    client : str
        Address of the client.
    idempotency_key : str or None
        Value of the client's Idempotency-Key header.
    idempotent : bool
        Whether the section lists the method as idempotent.
    body : RequestBody
    send : async callable
        ASGI ``send``.
    progress : Progress
    """

    id: str
    scope: dict
    section: Any
    key: str | None
    deadline: float
    hops: int
    depth: int
    client: str
    idempotency_key: str | None
    idempotent: bool
    body: RequestBody
    send: Any
    progress: Progress


def request_id(scope):
    """Return the request id of the client, or a new one if it is missing or invalid."""
    received_id = headers.get(scope["headers"], headers.REQUEST_ID)
    return received_id if received_id and REQUEST_ID.match(received_id) else new_id()


def parse(context, trusted, scope, receive, send):
    """Validate a request and find its section and key.

    Parameters
    ----------
    context : RouteContext
    trusted : bool
        Whether the client is another node, whose internal headers are accepted.
    scope, receive, send
        Arguments of an ASGI application.

    Returns
    -------
    request : Result[Request, Refusal]
    """
    refusal = _check_malformed(scope)
    if refusal is not None:
        return Err(refusal)
    section = find_section(context.sections, scope)
    scope[USED_SECTION] = section
    if section is None:
        return Err(Refusal("not-run", 404, "no section for this host and path"))
    body = section.body
    key = find_key(body["key"], scope) if "key" in body else None
    if "key" in body and not key:
        return Err(Refusal("not-run", 400, "the request carries no key"))
    request_headers = scope["headers"]
    if (
        int(headers.get(request_headers, b"content-length") or 0)
        > body["max_body_bytes"]
    ):
        limit = body["max_body_bytes"]
        return Err(Refusal("not-run", 413, f"body larger than {limit} bytes"))
    deadline_ms = _deadline_ms(request_headers, body["deadline_ms"])
    return Ok(
        Request(
            id=request_id(scope),
            scope=scope | {"headers": _forwarded_headers(request_headers)},
            section=section,
            key=key,
            deadline=trio.current_time() + deadline_ms / 1000,
            hops=_parse_count(request_headers, headers.HOP_COUNT) if trusted else 0,
            depth=_parse_count(request_headers, headers.CALL_DEPTH),
            client=_client_address(request_headers, trusted, scope),
            idempotency_key=headers.get(request_headers, IDEMPOTENCY_KEY),
            idempotent=scope["method"] in body["idempotent_methods"],
            body=_request_body(scope, receive, body["max_body_bytes"]),
            send=send,
            progress=Progress(),
        )
    )


def _check_malformed(scope):
    """Return the Refusal of a malformed or ambiguous request, or None."""
    request_headers = scope["headers"]
    if scope["http_version"] != "1.1":
        # HTTP/1.0 ends a response by closing the connection, so a truncated response
        # would appear complete.
        return Refusal("not-run", 505, "HTTP/1.1 is required")
    if scope["method"] == "CONNECT":
        return Refusal("not-run", 400, "CONNECT is not served")
    if not scope["raw_path"].startswith(b"/"):
        return Refusal("not-run", 400, "the request target is not a path")
    # The parser limits only incomplete heads, not a head that arrives in one piece.
    if sum(len(name) + len(value) for name, value in request_headers) > HEAD_MAX_BYTES:
        return Refusal("not-run", 431, f"head larger than {HEAD_MAX_BYTES} bytes")
    framing = headers.count(request_headers, b"transfer-encoding")
    if framing and headers.count(request_headers, b"content-length"):
        return Refusal("not-run", 400, "both Content-Length and Transfer-Encoding")
    for name in (headers.REQUEST_ID, headers.DEADLINE, IDEMPOTENCY_KEY):
        if headers.count(request_headers, name) > 1:
            return Refusal("not-run", 400, f"{name.decode()} is repeated")
    received_id = headers.get(request_headers, headers.REQUEST_ID)
    if received_id is not None and not REQUEST_ID.match(received_id):
        return Refusal("not-run", 400, "the request id has unusable characters")
    deadline = headers.get(request_headers, headers.DEADLINE)
    if deadline is not None and not (deadline.isascii() and deadline.isdigit()):
        return Refusal("not-run", 400, "the deadline is not in whole milliseconds")
    if len(headers.get(request_headers, IDEMPOTENCY_KEY) or "") > IDEMPOTENCY_KEY_MAX:
        return Refusal("not-run", 400, "the idempotency key is too long")
    return None


def _deadline_ms(request_headers, limit):
    text = headers.get(request_headers, headers.DEADLINE)
    return min(int(text[:18]), limit) if text else limit


def _parse_count(request_headers, name):
    """Return the value of a counter header, or the maximum if it is invalid."""
    text = headers.get(request_headers, name)
    if text is None:
        return 0
    usable = len(text) == 1 and text.isascii() and text.isdigit()
    return int(text) if usable else MAX_HOP_COUNT


def _client_address(request_headers, trusted, scope):
    forwarded_client = headers.get(request_headers, headers.CLIENT) if trusted else None
    return forwarded_client or (scope["client"][0] if scope["client"] else "")


def _forwarded_headers(request_headers):
    removed = headers.INTERNAL | {
        headers.REQUEST_ID,
        headers.DEADLINE,
        headers.CALL_DEPTH,
    }
    return headers.without(headers.end_to_end(request_headers), removed)


def _request_body(scope, receive, limit):
    request_headers = scope["headers"]
    expected = (headers.get(request_headers, b"expect") or "").lower() == "100-continue"
    send_continue = scope.get("state", {}).get("invite") if expected else None
    chunked = headers.count(request_headers, b"transfer-encoding") > 0
    empty = (
        not chunked and int(headers.get(request_headers, b"content-length") or 0) == 0
    )
    return RequestBody(receive, limit, send_continue, empty)
