"""Tries hops until a request is answered, refused for good or out of time."""

import trio

from ._hops import to_node, to_target
from ._request import SHED, Refusal
from ._route import next_hop

MAX_HOPS = 2
WAIT_STEP_S = 0.25
PAUSE_S = 0.05
MIN_REMAINING_S = 0.005
# A repeat that the deadline cuts off turns a known outcome into an unknown one.
REPEAT_MIN_S = 0.1


async def run_attempts(context, request):
    """Serve a request.

    Parameters
    ----------
    context : RouteContext
    request : Request

    Returns
    -------
    refusal : Refusal or None
        None once the answer was passed on.
    """
    progress = request.progress
    refusal = Refusal("not-run", 503, "deadline passed")
    while trio.current_time() < request.deadline - MIN_REMAINING_S:
        hop = next_hop(context, request)
        _log_route(context, request, hop)
        if hop.kind == "wait" or (hop.kind == "forward" and request.hops >= MAX_HOPS):
            refusal = Refusal("not-run", 503, hop.reason, True)
            if request.hops and not await _wait_at_hop(context, request, hop):
                break
            if not request.hops:
                await _wait(context, request, WAIT_STEP_S)
            continue
        refusal = await _attempt(context, request, hop)
        if refusal is None or progress.answered:
            return None
        if refusal.outcome == "unknown":
            progress.maybe_run = refusal
        if not _may_repeat(context, request, refusal):
            break
        await _wait(context, request, PAUSE_S)
    # A request that may have run in an earlier attempt is never called not-run.
    return progress.maybe_run or refusal


async def _wait_at_hop(context, request, hop):
    """Wait briefly for a change where the sender can find another node instead."""
    if hop.kind == "forward" or request.key is None:
        return False
    return await _wait(context, request, WAIT_STEP_S)


async def _wait(context, request, seconds):
    """Wait for a change; return whether there was one in time."""
    with trio.move_on_at(min(request.deadline, trio.current_time() + seconds)):
        await context.wait_for_change()
        return True
    return False


def _may_repeat(context, request, refusal):
    """Return whether a request may be sent again after a refusal.

    Only the node that took it from the client repeats it. Repeats after ownership
    changed cost nothing: the request did not run and its next try goes elsewhere.
    """
    if not refusal.elsewhere or request.hops or not request.body.replayable:
        return False
    if request.deadline - trio.current_time() < REPEAT_MIN_S:
        return False
    if refusal.outcome == "unknown" or refusal.reason == SHED:
        request.progress.repeats += 1
        allowed = request.progress.repeats <= request.section.body["retries"]
        return allowed and context.retry_budget.spend()
    return True


async def _attempt(context, request, hop):
    """Run one attempt; return a refusal, or None once it was answered."""
    progress = request.progress
    progress.sent = False
    run = to_target if hop.kind == "local" else to_node
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
