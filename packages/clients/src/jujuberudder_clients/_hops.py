"""One attempt: to the local target, or to another node."""

import trio
from result import Err, Ok

from jujuberudder_targets import AdmissionRequest, TargetRequest, exchange

from . import _headers as headers
from ._answers import ELSEWHERE, relay
from ._body import BodyTooLarge, ClientGone
from ._once import run_once
from ._request import SHED, Refusal
from ._route import usable

# The next node answers this much before its sender gives up: two delays between
# availability zones and a scheduling delay.
HOP_MARGIN_S = 0.03
HOP_MARGIN_SHARE = 0.1


async def to_target(context, request, hop):
    """Send a request to the target beside this node.

    Returns
    -------
    refusal : Refusal or None
        None once the answer was passed on.
    """
    if request.once is not None and request.key is not None:
        return await run_once(context, request, hop, _to_target)
    if request.key is not None:
        return await _to_target(context, request, hop)
    with context.target_selector.track(context.incarnation()) as flight:
        refusal = await _to_target(context, request, hop, flight)
        flight.failed = flight.failed or refusal is not None
        return refusal


async def _to_target(context, request, hop, flight=None):
    serving = context.served_shards()
    if serving is None:
        return Refusal("not-run", 503, "no lease", True)
    service = request.section.body["service"]
    claim = AdmissionRequest(
        request.deadline, request.client, request.key, request.depth
    )
    serving.enter(service, hop.prefix)
    context.count_request(service, hop.prefix, request.key)
    try:
        async with context.admission.slot(claim) as admitted:
            if admitted.is_err():
                after_s = context.admission.retry_after_s()
                reason = admitted.err_value.reason
                return Refusal("not-run", 503, reason, retry_after_s=after_s)
            try:
                return await _with_slot(context, request, hop, serving, flight)
            except BodyTooLarge:
                outcome = "unknown" if request.progress.sent else "not-run"
                return Refusal(outcome, 413, "body too large")
    finally:
        serving.exit(service, hop.prefix)


async def _with_slot(context, request, hop, serving, flight):
    def ready():
        epoch = _epoch_in_force(context, request, hop, serving)
        if epoch is None:
            return Err("no longer owner")
        extra = [(headers.CALL, b"%d" % (request.depth + 1))]
        if request.key is not None:
            extra.append((headers.FENCE, b"%d" % epoch))
        return _ready(request, extra, 0.0)

    if _epoch_in_force(context, request, hop, serving) is None:
        # Known before the body was asked for, so that it can still go elsewhere.
        return Refusal("not-run", 503, "no longer owner", True)
    # A sender whose body was not asked for knows that nothing ran, so the body is asked
    # for before the first byte goes to the target.
    await request.body.fill()
    outgoing = _outgoing(context.target, request, ready, False)
    sending = context, request, outgoing, context.target_pool, "target", flight
    if request.key is None:
        return await _exchange(*sending)
    with serving.cancelled_on_lease_end():
        return await _exchange(*sending)
    return _lease_lost(context, request)


def _lease_lost(context, request):
    """Return the Refusal of a request that was cancelled when the lease lapsed."""
    reason = "the lease of the owner lapsed"
    context.log("lease_lost", request=request.id, sent=request.progress.sent)
    if not request.progress.sent:
        return Refusal("not-run", 503, reason, True)
    return Refusal("unknown", 502, reason, request.idempotent)


def _epoch_in_force(context, request, hop, serving):
    """Return the epoch to send under, or None if this node must not send any more.

    The request counts as in flight for its shard, so the shard cannot have left and
    come back meanwhile: a newer epoch under this incarnation is that of a split or
    merge.
    """
    if request.key is None:
        return 0 if usable(context, request.section) else None
    if context.drain.over:
        return None
    found = context.ownership.locate(request.section.body["service"], request.key)
    if found is None:
        return None
    epoch = serving.finishing_epoch(request.section.body["service"], found[0])
    return epoch if epoch is not None and epoch >= hop.epoch else None


def _ready(request, extra, margin_s):
    """Return the headers to send, or the reason why it is too late."""
    remaining_s = request.deadline - trio.current_time()
    passed_on_s = remaining_s - min(margin_s, remaining_s * HOP_MARGIN_SHARE)
    if passed_on_s < 0.001:
        return Err("deadline passed")
    request.progress.sent = True
    own = [
        (headers.REQUEST_ID, request.id.encode()),
        (headers.DEADLINE, b"%d" % (passed_on_s * 1000)),
    ]
    return Ok(request.scope["headers"] + own + extra)


async def to_node(context, request, hop):
    """Forward a request to another node.

    Returns
    -------
    refusal : Refusal or None
        None once the answer was passed on.
    """
    state = context.ownership.incarnations[hop.incarnation]
    advertised = state.admit.request_address
    address = context.address_overrides.get(advertised, advertised)
    # The owner asks for a body that cannot be sent twice once it has admitted it.
    two_step = not request.body.complete

    def ready():
        extra = [(headers.HOP, b"%d" % (request.hops + 1))]
        extra.append((headers.CLIENT, request.client.encode()))
        if request.depth:
            extra.append((headers.CALL, b"%d" % request.depth))
        if two_step:
            extra.append((b"expect", b"100-continue"))
        return _ready(request, extra, HOP_MARGIN_S)

    outgoing = _outgoing(address, request, ready, two_step)
    with context.target_selector.track(hop.incarnation) as flight:
        refusal = await _exchange(
            context, request, outgoing, context.node_pool, "forward", flight
        )
        flight.failed = flight.failed or refusal is not None
        return refusal


def _outgoing(address, request, ready, expect):
    scope = request.scope
    query = scope["query_string"]
    return TargetRequest(
        address,
        scope["method"].encode(),
        scope["raw_path"] + (b"?" + query if query else b""),
        request.body.chunks(),
        ready,
        request.body.complete,
        expect,
    )


async def _exchange(context, request, outgoing, pool, step, flight):
    """Send a request and pass its answer on; return a Refusal if there is none."""
    try:
        async with exchange(pool, outgoing, step) as answer:
            if step == "target":
                _note_health(context, answer)
            if answer.is_err():
                return _failed(request, answer.err_value)
            if flight is not None:
                flight.record_response(answer.ok_value)
            return await _answered(context, request, answer.ok_value, step)
    except BodyTooLarge:
        return Refusal("unknown", 413, "body too large")
    except ClientGone:
        context.log("client_gone", request=request.id)
        request.progress.answered = True
        return None


def _note_health(context, answer):
    """Note whether the target takes connections.

    A request that it breaks off says nothing of others: one bad request must not move
    the keys of a target that works.
    """
    if answer.is_ok():
        context.health.record_result(True)
    elif answer.err_value.step != "check" and not answer.err_value.may_have_run:
        context.health.record_result(False)


def _failed(request, failure):
    if not failure.may_have_run:
        return Refusal("not-run", 503, str(failure), True)
    return Refusal("unknown", 502, str(failure), request.idempotent)


async def _answered(context, request, answer, step):
    echoed = headers.get(answer.headers, headers.REQUEST_ID)
    told = headers.get(answer.headers, headers.OUTCOME)
    # Nodes always echo the id. A target may leave it out; the connection carries no
    # other request, so only a different id shows a mix-up.
    if echoed != request.id and (step == "forward" or echoed is not None):
        return Refusal("unknown", 502, "answer to another request", request.idempotent)
    if step == "target":
        refusal = _refused_by_target(context, request, answer, told)
        told = "completed"
    else:
        refusal = _refused_by_node(request, answer, told)
    if refusal is not None:
        return refusal
    if not answer.framed:
        reason = "the answer has no length, so its end cannot be told"
        return Refusal("unknown", 502, reason, request.idempotent)
    await relay(context, request, answer, told or "unknown")
    return None


def _refused_by_target(context, request, answer, told):
    """Return the Refusal of a target that says it did not run the request, or None."""
    retry_after = headers.get(answer.headers, b"retry-after")
    if answer.status == 503 and retry_after is not None:
        context.admission.shed()
        after_s = int(retry_after) if retry_after.isdigit() else 1
        elsewhere = request.key is None
        return Refusal("not-run", 503, SHED, elsewhere, max(1, after_s))
    if told == "not-run":
        return Refusal("not-run", 503, "refused by the target: stale fence", True)
    return None


def _refused_by_node(request, answer, told):
    """Return the Refusal of another node, or None for a target's answer."""
    reason = headers.get(answer.headers, headers.REASON)
    if reason is None or told not in ("not-run", "unknown"):
        return None
    elsewhere = reason.startswith(ELSEWHERE)
    reason = reason.removeprefix(ELSEWHERE)
    if told == "unknown":
        return Refusal(told, answer.status, reason, elsewhere and request.idempotent)
    after = headers.get(answer.headers, b"retry-after") or "1"
    return Refusal(told, answer.status, reason, elsewhere, int(after))
