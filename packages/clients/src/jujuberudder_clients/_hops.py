"""Send a request to the local target or forward it to another node."""

import trio
from result import Err, Ok

from jujuberudder_targets import AdmissionRequest, TargetRequest, exchange

from . import _headers as headers
from ._body import BodyTooLarge, ClientDisconnected
from ._idempotency import run_idempotent
from ._request import SHED_REASON, Refusal
from ._responses import RETRYABLE_PREFIX, relay
from ._route import local_target_usable

# The deadline passed to the next node is earlier by this margin, so that its response
# arrives before the sender's own deadline. It covers two network delays between
# availability zones and a scheduling delay.
HOP_MARGIN_S = 0.03
HOP_MARGIN_SHARE = 0.1


async def send_to_target(context, request, hop):
    """Send a request to the local target.

    Parameters
    ----------
    context : RouteContext
    request : Request
    hop : Hop
        Of kind ``"local"``.

    Returns
    -------
    refusal : Refusal or None
        None if the response was relayed.
    """
    if request.idempotency_key is not None and request.key is not None:
        return await run_idempotent(context, request, hop, _admit_and_send)
    if request.key is not None:
        return await _admit_and_send(context, request, hop)
    with context.target_selector.track(context.incarnation()) as tracked:
        refusal = await _admit_and_send(context, request, hop, tracked)
        tracked.failed = tracked.failed or refusal is not None
        return refusal


async def _admit_and_send(context, request, hop, tracked=None):
    serving = context.served_shards()
    if serving is None:
        return Refusal("not-run", 503, "no lease", True)
    service = request.section.body["service"]
    admission_request = AdmissionRequest(
        request.deadline, request.client, request.key, request.depth
    )
    serving.enter(service, hop.prefix)
    context.count_request(service, hop.prefix, request.key)
    try:
        async with context.admission.slot(admission_request) as admitted:
            if admitted.is_err():
                retry_after_s = context.admission.retry_after_s()
                reason = admitted.err_value.reason
                return Refusal("not-run", 503, reason, retry_after_s=retry_after_s)
            try:
                return await _send_with_slot(context, request, hop, serving, tracked)
            except BodyTooLarge:
                outcome = "unknown" if request.progress.sent else "not-run"
                return Refusal(outcome, 413, "body too large")
    finally:
        serving.exit(service, hop.prefix)


async def _send_with_slot(context, request, hop, serving, tracked):
    def prepare_headers():
        epoch = _epoch_in_force(context, request, hop, serving)
        if epoch is None:
            return Err("no longer owner")
        extra_headers = [(headers.CALL_DEPTH, b"%d" % (request.depth + 1))]
        if request.key is not None:
            extra_headers.append((headers.FENCE, b"%d" % epoch))
        return _build_headers(request, extra_headers, 0.0)

    if _epoch_in_force(context, request, hop, serving) is None:
        # Refused before the body is requested, so that the request can still go to
        # another node.
        return Refusal("not-run", 503, "no longer owner", True)
    # A node that forwards a request relies on the fact that nothing ran if its body was
    # not requested, so the body is requested before the first byte goes to the target.
    await request.body.buffer_start()
    outgoing = _outgoing(context.target, request, prepare_headers, False)
    exchange_args = context, request, outgoing, context.target_pool, "target", tracked
    if request.key is None:
        return await _exchange(*exchange_args)
    with serving.cancelled_on_lease_end():
        return await _exchange(*exchange_args)
    return _lease_expired_refusal(context, request)


def _lease_expired_refusal(context, request):
    """Return the Refusal of a request that was cancelled when the lease expired."""
    reason = "the lease of the owner lapsed"
    context.log("lease_lost", request=request.id, sent=request.progress.sent)
    if not request.progress.sent:
        return Refusal("not-run", 503, reason, True)
    return Refusal("unknown", 502, reason, request.idempotent)


def _epoch_in_force(context, request, hop, serving):
    """Return the epoch to send under, or None if this node may no longer send.

    The request counts as in flight for its shard, so the shard cannot have moved away
    and back in the meantime: a newer epoch under this incarnation results from a split
    or merge.
    """
    if request.key is None:
        return 0 if local_target_usable(context, request.section) else None
    if context.drain.grace_elapsed:
        return None
    located = context.ownership.locate(request.section.body["service"], request.key)
    if located is None:
        return None
    epoch = serving.finishing_epoch(request.section.body["service"], located[0])
    return epoch if epoch is not None and epoch >= hop.epoch else None


def _build_headers(request, extra_headers, margin_s):
    """Return a Result with the headers to send, or with a reason if it is too late.

    Marks the request as sent, because its first byte is sent immediately afterwards.
    """
    remaining_s = request.deadline - trio.current_time()
    forwarded_s = remaining_s - min(margin_s, remaining_s * HOP_MARGIN_SHARE)
    if forwarded_s < 0.001:
        return Err("deadline passed")
    request.progress.sent = True
    own_headers = [
        (headers.REQUEST_ID, request.id.encode()),
        (headers.DEADLINE, b"%d" % (forwarded_s * 1000)),
    ]
    return Ok(request.scope["headers"] + own_headers + extra_headers)


async def forward_to_node(context, request, hop):
    """Forward a request to another node.

    Parameters
    ----------
    context : RouteContext
    request : Request
    hop : Hop
        Of kind ``"forward"``.

    Returns
    -------
    refusal : Refusal or None
        None if the response was relayed.
    """
    state = context.ownership.incarnations[hop.incarnation]
    advertised = state.admit.request_address
    address = context.address_overrides.get(advertised, advertised)
    # A body that is not fully buffered may not be replayable, so the owner requests it
    # with 100 Continue only after it has admitted the request.
    expect_continue = not request.body.complete

    def prepare_headers():
        extra_headers = [(headers.HOP_COUNT, b"%d" % (request.hops + 1))]
        extra_headers.append((headers.CLIENT, request.client.encode()))
        if request.depth:
            extra_headers.append((headers.CALL_DEPTH, b"%d" % request.depth))
        if expect_continue:
            extra_headers.append((b"expect", b"100-continue"))
        return _build_headers(request, extra_headers, HOP_MARGIN_S)

    outgoing = _outgoing(address, request, prepare_headers, expect_continue)
    with context.target_selector.track(hop.incarnation) as tracked:
        refusal = await _exchange(
            context, request, outgoing, context.node_pool, "forward", tracked
        )
        tracked.failed = tracked.failed or refusal is not None
        return refusal


def _outgoing(address, request, prepare_headers, expect):
    scope = request.scope
    query = scope["query_string"]
    return TargetRequest(
        address,
        scope["method"].encode(),
        scope["raw_path"] + (b"?" + query if query else b""),
        request.body.chunks(),
        prepare_headers,
        request.body.complete,
        expect,
    )


async def _exchange(context, request, outgoing, pool, step, tracked):
    """Send a request and relay its response; return a Refusal if there is none."""
    try:
        async with exchange(pool, outgoing, step) as response:
            if step == "target":
                _record_health(context, response)
            if response.is_err():
                return _failure_refusal(request, response.err_value)
            if tracked is not None:
                tracked.record_response(response.ok_value)
            return await _relay_or_refuse(context, request, response.ok_value, step)
    except BodyTooLarge:
        return Refusal("unknown", 413, "body too large")
    except ClientDisconnected:
        context.log("client_gone", request=request.id)
        request.progress.response_started = True
        return None


def _record_health(context, response):
    """Record whether the target accepts connections.

    A connection that the target closes during a request is not a failure here: one bad
    request must not move the keys away from a healthy target.
    """
    if response.is_ok():
        context.health.record_result(True)
    elif response.err_value.step != "check" and not response.err_value.may_have_run:
        context.health.record_result(False)


def _failure_refusal(request, failure):
    if not failure.may_have_run:
        return Refusal("not-run", 503, str(failure), True)
    return Refusal("unknown", 502, str(failure), request.idempotent)


async def _relay_or_refuse(context, request, response, step):
    echoed = headers.get(response.headers, headers.REQUEST_ID)
    outcome = headers.get(response.headers, headers.OUTCOME)
    # Nodes always echo the request id. A target may omit it: the connection carries no
    # other request, so only a different id indicates a mismatch.
    if echoed != request.id and (step == "forward" or echoed is not None):
        return Refusal("unknown", 502, "answer to another request", request.idempotent)
    if step == "target":
        refusal = _refused_by_target(context, request, response, outcome)
        outcome = "completed"
    else:
        refusal = _refused_by_node(request, response, outcome)
    if refusal is not None:
        return refusal
    if not response.framed:
        reason = "the answer has no length, so its end cannot be told"
        return Refusal("unknown", 502, reason, request.idempotent)
    await relay(context, request, response, outcome or "unknown")
    return None


def _refused_by_target(context, request, response, outcome):
    """Return the Refusal if the target reports that it did not run the request."""
    retry_after = headers.get(response.headers, b"retry-after")
    if response.status == 503 and retry_after is not None:
        context.admission.shed()
        retry_after_s = int(retry_after) if retry_after.isdigit() else 1
        retryable = request.key is None
        return Refusal("not-run", 503, SHED_REASON, retryable, max(1, retry_after_s))
    if outcome == "not-run":
        return Refusal("not-run", 503, "refused by the target: stale fence", True)
    return None


def _refused_by_node(request, response, outcome):
    """Return the Refusal of another node, or None if it relayed a target's response."""
    reason = headers.get(response.headers, headers.REASON)
    if reason is None or outcome not in ("not-run", "unknown"):
        return None
    retryable = reason.startswith(RETRYABLE_PREFIX)
    reason = reason.removeprefix(RETRYABLE_PREFIX)
    if outcome == "unknown":
        return Refusal(
            outcome, response.status, reason, retryable and request.idempotent
        )
    retry_after = headers.get(response.headers, b"retry-after") or "1"
    return Refusal(outcome, response.status, reason, retryable, int(retry_after))
