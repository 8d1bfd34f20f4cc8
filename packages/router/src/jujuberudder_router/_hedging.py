"""Second sends of requests whose response is late (hedging).

Handles load in which single targets are slow for a time while others have free slots.
A request without a response after most others of its route had one is sent to a second
VM; the first response is used, and the other send is cancelled. The operators limit the
share of such requests.
"""

import math
from collections import deque

import trio

from ._choice import choose, has_free_slot
from ._frames import ANSWERED, NOT_RUN, UNKNOWN
from ._routes import RetryBudget

# Number of last times of a route of which the percentile is taken, and the number below
# which it is not known.
KNOWN_TIMES, MIN_KNOWN_TIMES = 100, 20
# Shortest delay of a second send, in seconds: a round trip between availability zones
# takes up to 9 ms, so a shorter delay is spent on the way.
MIN_DELAY_S = 0.01
# A second send needs this multiple of the mean time of the route before the deadline,
# so that a response slower than usual is still in time.
REMAINING_MEANS = 2.0
# Window of the share of second sends, in seconds.
SHARE_WINDOW_S = 10.0


class Hedging:
    """Times of routes, and the share of second sends, as this node counts them.

    Parameters
    ----------
    limits : HedgingLimits
    """

    def __init__(self, limits):
        self._percentile = limits.after_percentile
        self._share = RetryBudget(limits.share, 0.0, SHARE_WINDOW_S)
        self._times = {}

    def record(self, route, took_s):
        """Record the time from a first send of a route to its reply, in seconds."""
        times = self._times.get(route)
        if times is None:
            times = self._times[route] = deque(maxlen=KNOWN_TIMES)
        times.append(took_s)

    def delay_s(self, route, remaining_s):
        """Return the seconds after which a request is sent a second time.

        It is None if too few times of the route are known, or if too little of the
        remaining time would be left then.
        """
        times = self._times.get(route, ())
        if len(times) < MIN_KNOWN_TIMES:
            return None
        rank = math.ceil(self._percentile / 100 * len(times))
        delay_s = max(MIN_DELAY_S, sorted(times)[max(0, rank - 1)])
        mean_s = sum(times) / len(times)
        return delay_s if delay_s + REMAINING_MEANS * mean_s <= remaining_s else None

    def count_request(self, service, now):
        """Count a request to a service when it is first sent."""
        self._share.count_request(service, now)

    def try_spend(self, service, now):
        """Count a second send if the share allows it, and return whether it does."""
        return self._share.try_spend(service, 1, now)


def may_get_second_send(candidate):
    """Whether a ``Candidate`` can run a second send at once, as far as is known.

    The rate of a cold target is left to first sends.
    """
    c = candidate
    return has_free_slot(c) and not (c.cold or c.failure_share)


def succeeded(reply):
    """Whether a reply is used without waiting for that of the other send."""
    return reply.outcome == ANSWERED and reply.status < 500


def deciding_vm(replies):
    """Return the VM whose reply determines how the request goes on.

    It is the first one that succeeded. If none did, the reply that leaves most in doubt
    determines it: a request that may have run must not be refused as "not run".

    Parameters
    ----------
    replies : dict of str to ForwardReply
        Replies by VM, in the order of their arrival.
    """
    # A refusal of the target precedes one of a node, since only the former needs a
    # retry of the budget before the request is sent to a further target.
    ranks = (
        succeeded,
        lambda reply: reply.outcome == ANSWERED,
        lambda reply: reply.outcome == UNKNOWN,
        lambda reply: reply.reached_target,
        lambda reply: True,
    )
    return min(
        replies,
        key=lambda vm: next(n for n, holds in enumerate(ranks) if holds(replies[vm])),
    )


async def send_twice_if_late(send, vm, delay_s, choose_second):
    """Send a request to a VM, and to a second one unless the reply is there in time.

    Parameters
    ----------
    send : callable
        ``await send(vm) -> ForwardReply``; cancelled when the other reply is used.
    vm : str
    delay_s : float
    choose_second : callable
        Returns the second VM, or None if there is to be no second send.

    Returns
    -------
    second_vm : str or None
    replies : dict of str to ForwardReply
        Replies by VM, in the order of their arrival.
    """
    second_vm, replies = None, {}

    async def run(to_vm):
        replies[to_vm] = reply = await send(to_vm)
        if succeeded(reply) or second_vm is None or len(replies) == 2:
            nursery.cancel_scope.cancel("the other reply is used")

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run, vm)
        await trio.sleep(delay_s)
        if not replies:
            second_vm = choose_second()
        if second_vm is not None:
            nursery.start_soon(run, second_vm)
    return second_vm, replies


def make_hedged_send(node, send_to_vm, try_count_retry):
    """Return ``await send_hedged(request, route, service, state, vm, deadline)``.

    It sends a request to a VM, and to a second one if the reply is late, and returns
    the VM whose reply determines how the request goes on, and the reply.

    Parameters
    ----------
    node : Node
    send_to_vm, try_count_retry : callable
        Functions of the client handler.
    """
    hedging, log, metrics = node.hedging, node.log, node.metrics

    async def send_hedged(request, route, service, state, vm, deadline):
        started = trio.current_time()
        if not state.sends:
            hedging.count_request(service, started)
        unanswered = set()

        async def send(to_vm):
            remaining_s = deadline - trio.current_time()
            unanswered.add(to_vm)
            reply = await send_to_vm(request, route, service, state, to_vm, remaining_s)
            unanswered.discard(to_vm)
            # The other send may still run the request.
            state.in_doubt = bool(unanswered)
            if to_vm == vm and succeeded(reply):
                hedging.record(route.name, trio.current_time() - started)
            return reply

        def choose_second():
            excluded = state.refused | {vm}
            candidates = node.candidates(service, excluded, route.name)
            free = [c for c in candidates if may_get_second_send(c)]
            second = choose(free, len(request.body), node.jitter)
            if second is None:
                return None
            now = trio.current_time()
            if not (
                hedging.try_spend(service, now)
                and try_count_retry(route, service, state)
            ):
                metrics.count("hedge_budget_spent")
                return None
            state.hedged = True
            metrics.count("hedged")
            log(
                "hedged", id=request.id, route=route.name, first=vm, second=second.vm,
                after_s=now - started,
            )  # fmt: skip
            return second.vm

        delay_s = None
        if may_hedge(route, state):
            delay_s = hedging.delay_s(route.name, deadline - started)
        if delay_s is None:
            return vm, await send(vm)
        second_vm, replies = await send_twice_if_late(send, vm, delay_s, choose_second)
        state.in_doubt = False
        if second_vm is None:
            return vm, replies[vm]
        if vm not in replies:
            # Without the slow sends that were cancelled, the percentile would fall, and
            # more requests would be sent twice.
            hedging.record(route.name, trio.current_time() - started)
        used_vm = deciding_vm(replies)
        if used_vm == second_vm and succeeded(replies[second_vm]):
            metrics.count("hedge_won")
        other_vm = vm if used_vm == second_vm else second_vm
        note_other(state, other_vm, replies.get(other_vm))
        return used_vm, replies[used_vm]

    def note_other(state, vm, reply):
        """Apply the send whose reply is not used; ``reply`` is None if cancelled."""
        if reply is None or reply.reached_target or reply.outcome != NOT_RUN:
            state.targets_reached += 1
        if reply is None:
            return
        state.refused.add(vm)
        if reply.outcome != NOT_RUN:
            node.record_result(vm, False)

    return send_hedged


def may_hedge(route, state):
    """Whether a request may be sent to a second VM while a first one may run it."""
    return (
        not state.hedged
        and not state.stopping_asked
        and state.targets_reached + 1 < route.attempts
    )
