"""Attempt hops until a request is answered, finally refused or past its deadline."""

import trio

from ._hops import forward_to_node, send_to_target
from ._request import SHED_REASON, Refusal
from ._route import next_hop

MAX_HOPS = 2
CHANGE_WAIT_S = 0.25
RETRY_PAUSE_S = 0.05
# With less time left, no attempt is started.
MIN_REMAINING_S = 0.005
# With less time left, a request is not retried: a retry that the deadline cancels turns
# a known outcome into an unknown one.
RETRY_MIN_REMAINING_S = 0.1


async def run_attempts(context, request):
    """Route a request until an attempt succeeds or no other is allowed.

    Parameters
    ----------
    context : RouteContext
    request : Request

    Returns
    -------
    refusal : Refusal or None
        None if a response was relayed.
    """
    progress = request.progress
    refusal = Refusal("not-run", 503, "deadline passed")
    while trio.current_time() < request.deadline - MIN_REMAINING_S:
        hop = next_hop(context, request)
        _log_route(context, request, hop)
        if hop.kind == "wait" or (hop.kind == "forward" and request.hops >= MAX_HOPS):
            refusal = Refusal("not-run", 503, hop.reason, True)
            if request.hops and not await _wait_after_forward(context, request, hop):
                break
            if not request.hops:
                await _wait_for_change(context, request, CHANGE_WAIT_S)
            continue
        refusal = await _run_attempt(context, request, hop)
        if refusal is None or progress.response_started:
            return None
        if refusal.outcome == "unknown":
            progress.unknown_refusal = refusal
        if not _may_retry(context, request, refusal):
            break
        await _wait_for_change(context, request, RETRY_PAUSE_S)
    # If an earlier attempt may have run, the outcome must not be not-run.
    return progress.unknown_refusal or refusal


async def _wait_after_forward(context, request, hop):
    """Wait briefly for a change at a node that received a forwarded request.

    Returns
    -------
    changed : bool
        False without waiting if the request has no key or would have to be forwarded
        again: the sender can choose another node instead.
    """
    if hop.kind == "forward" or request.key is None:
        return False
    return await _wait_for_change(context, request, CHANGE_WAIT_S)


async def _wait_for_change(context, request, timeout_s):
    """Wait for a change; return whether one occurred within the time-out."""
    with trio.move_on_at(min(request.deadline, trio.current_time() + timeout_s)):
        await context.wait_for_change()
        return True
    return False


def _may_retry(context, request, refusal):
    """Return whether a request may be sent again after a refusal.

    Only the node that received the request from the client retries it. Retries after a
    change of ownership do not use the retry budget: the request did not run, and the
    next attempt goes to another node.
    """
    if not refusal.retryable or request.hops or not request.body.replayable:
        return False
    if request.deadline - trio.current_time() < RETRY_MIN_REMAINING_S:
        return False
    if refusal.outcome == "unknown" or refusal.reason == SHED_REASON:
        request.progress.retries += 1
        allowed = request.progress.retries <= request.section.body["retries"]
        return allowed and context.retry_budget.spend()
    return True


async def _run_attempt(context, request, hop):
    """Run one attempt; return a Refusal, or None if a response was relayed."""
    progress = request.progress
    progress.sent = False
    run = send_to_target if hop.kind == "local" else forward_to_node
    with trio.move_on_at(request.deadline):
        return await run(context, request, hop)
    if progress.sent:
        return Refusal("unknown", 504, "deadline passed")
    return Refusal("not-run", 503, "deadline passed before it was sent")


def _log_route(context, request, hop):
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
