"""The ASGI application that takes requests from clients and from other nodes."""

from traceback import format_exc
from typing import NamedTuple

import httpcore
import msgspec
import trio

from jujuberudder_core import new_id
from jujuberudder_targets import Outgoing, exchange

from . import _headers as headers
from ._body import BodyTooLarge, ClientGone, RequestBody
from ._metered import USED_SECTION
from ._route import find_key, find_section, next_hop

MAX_HOPS = 2
WAIT_STEP_S = 0.25
RETRY_AFTER_S = 1
MIN_REMAINING_S = 0.005


class Refusal(NamedTuple):
    """An answer that this node gives itself.

    Parameters
    ----------
    outcome : str
        ``"not-run"`` or ``"unknown"``.
    status : int
    reason : str
    elsewhere : bool
        Whether the request may be tried at another node.
    """

    outcome: str
    status: int
    reason: str
    elsewhere: bool = False


class Request(NamedTuple):
    """A request under way."""

    id: str
    scope: dict
    section: object
    key: str | None
    deadline: float
    hops: int
    idempotent: bool
    body: RequestBody
    send: object


def make_app(context, trusted):
    """Return the ASGI application.

    Parameters
    ----------
    context : RouteContext
    trusted : bool
        Whether the callers are other nodes, whose internal headers count.
    """

    async def app(scope, receive, send):
        if scope["type"] != "http":
            raise ValueError("only HTTP is served")
        request = await _accept(context, trusted, scope, receive, send)
        if request is None:
            return
        try:
            await _handle(context, request)
        except ClientGone:
            context.log("client_gone", request=request.id)
        except Exception:
            context.log("internal_error", request=request.id, error=format_exc())
            raise

    return app


async def _accept(context, trusted, scope, receive, send):
    """Return the request, or None after it was refused."""
    given = scope["headers"]
    request_id = headers.get(given, headers.REQUEST_ID) or new_id()
    section = find_section(context.sections, scope)
    scope[USED_SECTION] = section
    if section is None:
        refusal = Refusal("not-run", 404, "no section for this host and path")
        await _refuse(context, send, request_id, refusal)
        return None
    key = None
    if "key" in section.body:
        key = find_key(section.body["key"], scope)
        if key is None:
            refusal = Refusal("not-run", 400, "the request carries no key")
            await _refuse(context, send, request_id, refusal)
            return None
    hops = int(headers.get(given, headers.HOP) or 0) if trusted else 0
    deadline_ms = _deadline_ms(given, section.body["deadline_ms"])
    return Request(
        request_id,
        scope | {"headers": headers.without(given, headers.INTERNAL)},
        section,
        key,
        trio.current_time() + deadline_ms / 1000,
        hops,
        scope["method"] in section.body["idempotent_methods"],
        RequestBody(receive, section.body["max_body_bytes"]),
        send,
    )


def _deadline_ms(given, limit):
    text = headers.get(given, headers.DEADLINE)
    return min(int(text), limit) if text and text.isdigit() else limit


async def _handle(context, request):
    """Serve a request or refuse it."""
    try:
        with trio.move_on_at(request.deadline):
            await request.body.fill()
        refusal = await _attempts(context, request)
    except BodyTooLarge:
        refusal = Refusal("not-run", 413, "body too large")
    if refusal is not None:
        await _refuse(context, request.send, request.id, refusal)


async def _attempts(context, request):
    """Try hops until the request is answered, refused for good or out of time."""
    refusal = Refusal("not-run", 503, "deadline passed")
    unknown = None
    while trio.current_time() < request.deadline - MIN_REMAINING_S:
        hop = next_hop(context, request.section, request.key, request.hops)
        context.log(
            "route",
            request=request.id,
            service=request.section.body["service"],
            section_version=request.section.version,
            hop=hop.kind,
            reason=hop.reason,
            to=hop.incarnation,
            shard=hop.prefix,
            epoch=hop.epoch,
        )
        if hop.kind == "wait" or (hop.kind == "forward" and request.hops >= MAX_HOPS):
            refusal = Refusal("not-run", 503, hop.reason, True)
            if request.hops:
                waited = await _wait(context, request, WAIT_STEP_S)
                if not waited or hop.kind == "forward":
                    return refusal
            else:
                await _wait(context, request, WAIT_STEP_S)
            continue
        refusal = await _attempt(context, request, hop)
        again = refusal and refusal.elsewhere and not request.hops
        if refusal is None or not (again and request.body.replayable):
            break
        if refusal.outcome == "unknown":
            unknown = refusal
        await _wait(context, request, WAIT_STEP_S / 5)
    # A request that may have run in an earlier attempt is never called not-run.
    return refusal and (unknown or refusal)


async def _wait(context, request, seconds):
    """Wait for a change; return whether there was one in time."""
    with trio.move_on_at(min(request.deadline, trio.current_time() + seconds)):
        await context.wait_changed()
        return True
    return False


async def _attempt(context, request, hop):
    """Run one attempt with the client watched; return a refusal or None."""
    result = Refusal("unknown", 504, "deadline passed")
    started = [False]
    run = _local if hop.kind == "local" else _forward
    async with trio.open_nursery() as nursery:
        nursery.start_soon(request.body.watch, nursery.cancel_scope)
        with trio.move_on_at(request.deadline):
            try:
                result = await run(context, request, hop, started)
            except BodyTooLarge:
                result = Refusal("unknown", 413, "body too large")
            except ClientGone:
                context.log("client_gone", request=request.id)
                started[0] = "answered"
        nursery.cancel_scope.cancel()
    if result is not None and started[0] == "answered":
        return None
    if result is not None and result.status == 504 and not started[0]:
        return Refusal("not-run", 503, "deadline passed before it was sent")
    return result


async def _local(context, request, hop, started):
    serving = context.serving()
    if serving is None:
        return Refusal("not-run", 503, "no lease", True)
    service = request.section.body["service"]
    serving.enter(service, hop.prefix)
    try:
        async with context.admission.slot(request.deadline) as admitted:
            if admitted.is_err():
                return Refusal("not-run", 503, admitted.err_value.reason)
            return await _to_target(context, request, hop, serving, started)
    finally:
        serving.exit(service, hop.prefix)


async def _to_target(context, request, hop, serving, started):
    def check():
        if trio.current_time() >= request.deadline:
            return "deadline passed"
        if request.key is not None and not _still_mine(context, request, serving):
            return "no longer owner"
        started[0] = True
        return None

    extra = [(headers.FENCE, b"%d" % hop.epoch)] if request.key is not None else []
    outgoing = _outgoing(context.target, request, extra, check)
    async with exchange(context.target_pool, outgoing, "target") as answer:
        context.health.note(answer.is_ok())
        return await _answer(context, request, answer, started, b"completed")


def _still_mine(context, request, serving):
    found = context.ownership.locate(request.section.body["service"], request.key)
    if found is None:
        return False
    return serving.finishing(request.section.body["service"], found[0]) is not None


async def _forward(context, request, hop, started):
    state = context.ownership.incarnations[hop.incarnation]
    advertised = state.admit.request_address
    address = context.overrides.get(advertised, advertised)

    def check():
        if trio.current_time() >= request.deadline:
            return "deadline passed"
        started[0] = True
        return None

    extra = [(headers.HOP, b"%d" % (request.hops + 1))]
    outgoing = _outgoing(address, request, extra, check)
    count = context.in_flight
    count[hop.incarnation] = count.get(hop.incarnation, 0) + 1
    try:
        async with exchange(context.node_pool, outgoing, "forward") as answer:
            return await _answer(context, request, answer, started, None)
    finally:
        count[hop.incarnation] -= 1


def _outgoing(address, request, extra, check):
    scope = request.scope
    query = scope["query_string"]
    remaining_ms = int((request.deadline - trio.current_time()) * 1000)
    replaced = headers.HOP_BY_HOP | {headers.REQUEST_ID, headers.DEADLINE}
    return Outgoing(
        address,
        scope["method"].encode(),
        scope["raw_path"] + (b"?" + query if query else b""),
        headers.without(scope["headers"], replaced)
        + [
            (headers.REQUEST_ID, request.id.encode()),
            (headers.DEADLINE, b"%d" % max(1, remaining_ms)),
        ]
        + extra,
        request.body.chunks(),
        check,
    )


async def _answer(context, request, answer, started, outcome):
    """Pass an answer on; return a refusal if there is none to pass on."""
    if answer.is_err():
        failure = answer.err_value
        if not failure.maybe_done:
            return Refusal("not-run", 503, str(failure), True)
        return Refusal("unknown", 502, str(failure), request.idempotent)
    given = answer.ok_value
    if outcome is None:
        told = headers.get(given.headers, headers.OUTCOME)
        if told == "not-run" and given.status == 503:
            reason = headers.get(given.headers, headers.REASON) or ""
            elsewhere = reason.startswith("elsewhere ")
            return Refusal(told, 503, reason.removeprefix("elsewhere "), elsewhere)
        outcome = (told or "unknown").encode()
    echoed = headers.get(given.headers, headers.REQUEST_ID)
    if echoed not in (None, request.id):
        return Refusal("unknown", 502, "answer to another request")
    started[0] = "answered"
    try:
        await _relay(request, given, outcome)
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        # Returning without the end of the body makes hypercorn close the connection,
        # so the client sees a broken answer.
        context.log("answer_cut_short", request=request.id, error=repr(error))
    return None


async def _relay(request, answer, outcome):
    removed = headers.HOP_BY_HOP | headers.INTERNAL
    removed |= {headers.REQUEST_ID, b"transfer-encoding", b"date", b"server"}
    kept = headers.without(answer.headers, removed)
    kept += [(headers.REQUEST_ID, request.id.encode()), (headers.OUTCOME, outcome)]
    lower = [(name.lower(), value) for name, value in kept]
    start = {"type": "http.response.start", "status": answer.status, "headers": lower}
    await request.send(start)
    async for chunk in answer.body:
        message = {"type": "http.response.body", "body": chunk, "more_body": True}
        await request.send(message)
    await request.send({"type": "http.response.body", "body": b""})


async def _refuse(context, send, request_id, refusal):
    context.log(
        "refused",
        request=request_id,
        outcome=refusal.outcome,
        status=refusal.status,
        reason=refusal.reason,
    )
    body = msgspec.json.encode({"outcome": refusal.outcome, "reason": refusal.reason})
    where = "elsewhere " if refusal.elsewhere else ""
    sent = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
        (headers.REQUEST_ID, request_id.encode()),
        (headers.OUTCOME, refusal.outcome.encode()),
        (headers.REASON, (where + refusal.reason).encode("ascii", "replace")),
    ]
    if refusal.status == 503:
        sent.append((b"retry-after", b"%d" % RETRY_AFTER_S))
    start = {"type": "http.response.start", "status": refusal.status, "headers": sent}
    await send(start)
    await send({"type": "http.response.body", "body": body})
