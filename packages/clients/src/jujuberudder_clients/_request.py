"""A request under way: what a caller asked for, checked."""

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
HOPS_LIMIT = 9
HEAD_MAX_BYTES = 32 * 1024
SHED = "shed by the target"


class Refusal(NamedTuple):
    """An answer that this node gives itself.

    Parameters
    ----------
    outcome : str
        ``"not-run"`` or ``"unknown"``.
    status : int
    reason : str
    elsewhere : bool
        Whether the request may be tried again, at another node or later.
    retry_after_s : int
    """

    outcome: str
    status: int
    reason: str
    elsewhere: bool = False
    retry_after_s: int = 1


class Progress:
    """How far a request got.

    Attributes
    ----------
    sent : bool
        Whether a byte of the present attempt reached a peer.
    answered : bool
        Whether the answer to the caller has begun.
    maybe_run : Refusal or None
        Of an earlier attempt that may have run.
    repeats : int
        How often the request was sent again at the cost of the retry budget.
    """

    def __init__(self):
        self.sent = False
        self.answered = False
        self.maybe_run = None
        self.repeats = 0


class Request(NamedTuple):
    """A request under way.

    Parameters
    ----------
    deadline : float
        In the runtime's clock.
    hops : int
        How often it was forwarded already.
    depth : int
        0 for a client's request, 1 for a call that a service makes for it, and so on.
    once : str or None
        The client's Idempotency-Key.
    """

    id: str
    scope: dict
    section: Any
    key: str | None
    deadline: float
    hops: int
    depth: int
    client: str
    once: str | None
    idempotent: bool
    body: RequestBody
    send: Any
    progress: Progress


def request_id(scope):
    """Return the caller's request id, or a new one if it gave none that is usable."""
    given = headers.get(scope["headers"], headers.REQUEST_ID)
    return given if given and REQUEST_ID.match(given) else new_id()


def parse(context, trusted, scope, receive, send):
    """Check a request and find its section and key.

    Parameters
    ----------
    context : RouteContext
    trusted : bool
        Whether the caller is another node, whose internal headers count.
    scope, receive, send
        Of ASGI.

    Returns
    -------
    request : Result[Request, Refusal]
    """
    problem = _malformed(scope)
    if problem is not None:
        return Err(problem)
    section = find_section(context.sections, scope)
    scope[USED_SECTION] = section
    if section is None:
        return Err(Refusal("not-run", 404, "no section for this host and path"))
    body = section.body
    key = find_key(body["key"], scope) if "key" in body else None
    if "key" in body and not key:
        return Err(Refusal("not-run", 400, "the request carries no key"))
    given = scope["headers"]
    if int(headers.get(given, b"content-length") or 0) > body["max_body_bytes"]:
        limit = body["max_body_bytes"]
        return Err(Refusal("not-run", 413, f"body larger than {limit} bytes"))
    deadline_ms = _deadline_ms(given, body["deadline_ms"])
    return Ok(
        Request(
            id=request_id(scope),
            scope=scope | {"headers": _passed_on(given)},
            section=section,
            key=key,
            deadline=trio.current_time() + deadline_ms / 1000,
            hops=_small(given, headers.HOP) if trusted else 0,
            depth=_small(given, headers.CALL),
            client=_client(given, trusted, scope),
            once=headers.get(given, IDEMPOTENCY_KEY),
            idempotent=scope["method"] in body["idempotent_methods"],
            body=_body(scope, receive, body["max_body_bytes"]),
            send=send,
            progress=Progress(),
        )
    )


def _malformed(scope):
    """Return a Refusal of a request that could be read in two ways, or None."""
    given = scope["headers"]
    if scope["http_version"] != "1.1":
        # HTTP/1.0 ends answers by closing, so a broken answer would look complete.
        return Refusal("not-run", 505, "HTTP/1.1 is required")
    if scope["method"] == "CONNECT":
        return Refusal("not-run", 400, "CONNECT is not served")
    if not scope["raw_path"].startswith(b"/"):
        return Refusal("not-run", 400, "the request target is not a path")
    # A head that arrives at once passes the parser's limit on incomplete heads.
    if sum(len(name) + len(value) for name, value in given) > HEAD_MAX_BYTES:
        return Refusal("not-run", 431, f"head larger than {HEAD_MAX_BYTES} bytes")
    framing = headers.count(given, b"transfer-encoding")
    if framing and headers.count(given, b"content-length"):
        return Refusal("not-run", 400, "both Content-Length and Transfer-Encoding")
    for name in (headers.REQUEST_ID, headers.DEADLINE, IDEMPOTENCY_KEY):
        if headers.count(given, name) > 1:
            return Refusal("not-run", 400, f"{name.decode()} is repeated")
    given_id = headers.get(given, headers.REQUEST_ID)
    if given_id is not None and not REQUEST_ID.match(given_id):
        return Refusal("not-run", 400, "the request id has unusable characters")
    deadline = headers.get(given, headers.DEADLINE)
    if deadline is not None and not (deadline.isascii() and deadline.isdigit()):
        return Refusal("not-run", 400, "the deadline is not in whole milliseconds")
    if len(headers.get(given, IDEMPOTENCY_KEY) or "") > IDEMPOTENCY_KEY_MAX:
        return Refusal("not-run", 400, "the idempotency key is too long")
    return None


def _deadline_ms(given, limit):
    text = headers.get(given, headers.DEADLINE)
    return min(int(text[:18]), limit) if text else limit


def _small(given, name):
    """Return the value of a counting header; an unusable one counts as the limit."""
    text = headers.get(given, name)
    if text is None:
        return 0
    usable = len(text) == 1 and text.isascii() and text.isdigit()
    return int(text) if usable else HOPS_LIMIT


def _client(given, trusted, scope):
    told = headers.get(given, headers.CLIENT) if trusted else None
    return told or (scope["client"][0] if scope["client"] else "")


def _passed_on(given):
    removed = headers.INTERNAL | {headers.REQUEST_ID, headers.DEADLINE, headers.CALL}
    return headers.without(headers.end_to_end(given), removed)


def _body(scope, receive, limit):
    given = scope["headers"]
    expected = (headers.get(given, b"expect") or "").lower() == "100-continue"
    invite = scope.get("state", {}).get("invite") if expected else None
    chunked = headers.count(given, b"transfer-encoding") > 0
    empty = not chunked and int(headers.get(given, b"content-length") or 0) == 0
    return RequestBody(receive, limit, invite, empty)
