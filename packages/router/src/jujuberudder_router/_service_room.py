"""Capacity of a service for kinds of requests that compete for it.

The load: the requests of several routes of different urgency need more than the slots
of their service, and clients whose request was refused return once. ``TargetRoom``
decides beside the target, ``EntryRoom`` where a request begins.
"""

import math
from typing import NamedTuple

import trio

from ._admission import (
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_MIN_S,
    Waiter,
    expected_wait,
    refusal,
)
from ._urgency import (
    CalledRoutes,
    RecentRefusals,
    RefusedRequests,
    RunningPriorities,
    effective_priority,
    urgency,
)

# Wait, in seconds and as a share of the latency goal, after which a route that has got
# no slot meanwhile counts as starved; the shorter one holds. Half of the goal leaves
# the other half for the rest of the wait and the work.
STARVED_AFTER_S, STARVED_GOAL_SHARE = 1.0, 0.5
# One in as many slots that become free is for a starved route, while there is one.
STARVED_SLOT_INTERVAL = 8
# Age of a load report, in seconds, up to which a request is refused because of it.
MAX_REFUSING_REPORT_AGE_S = 0.5
# One in as many requests that reports say would be refused is sent nevertheless, to
# detect available capacity.
PROBE_INTERVAL = 10
# Length of the intervals in which promised returns are counted, in seconds, and the
# share of the requests that can start in an interval which may be returns.
RETURN_INTERVAL_S, RETURN_SHARE = 0.1, 0.5
# Longest target that is remembered of a refused request; of longer ones it is a hash of
# 64 bits. Targets of up to 16 KB would take 80 MB.
MAX_MARK_BYTES = 64
# Number of log lines of one event in a second: enough to see which routes it concerns.
MAX_LINES_PER_S = 5


def queue_order(waiter, now):
    """Return the sort key of a waiting request; the lowest one is run next.

    Requests that can meet their latency goal come first: by urgency, then by the end
    of the goal. The goal of a return counts from the first attempt of its client, so
    that it comes before new ones while it can meet that. Of the others, returns come
    first. If returns came first in any case, new requests would become late behind
    those that are late already, and would return themselves.
    """
    w = waiter
    if now + w.service_s > w.late_at:
        return True, not w.returning, w.priority, w.latency_goal_at, w.number
    return False, w.priority, w.latency_goal_at, not w.returning, w.number


def is_starved(waiter, last_start_at, now):
    """Return whether a waiter's route has got no slot for too long.

    Parameters
    ----------
    waiter : Waiter
    last_start_at : float or None
        When a request of the route was started last, in seconds.
    now : float
    """
    waited_s = now - waiter.arrived_at
    if last_start_at is not None:
        waited_s = min(waited_s, now - last_start_at)
    goal_s = waiter.latency_goal_at - waiter.arrived_at
    return waited_s > min(STARVED_AFTER_S, STARVED_GOAL_SHARE * goal_s)


def displaced_waiters(arrival, waiters, protected, now, mean_s, slots):
    """Return the waiters that do not fit any more because of a more urgent arrival.

    Only less urgent ones are considered, the last ones in the order first.

    Parameters
    ----------
    arrival : Waiter
        The request that has just been queued.
    waiters : iterable of Waiter
        All waiting requests, ``arrival`` included.
    protected : callable
        ``protected(waiter)`` returns whether a starved route is to keep the waiter.
    now : float
    mean_s : float
        Mean service time, in seconds.
    slots : float

    Returns
    -------
    displaced : list of (Waiter, float)
        Waiters, and their expected wait in seconds.
    """
    ordered = sorted((queue_order(w, now), w) for w in waiters)
    queued_s = ahead_s = sum(w.service_s for _, w in ordered)
    displaced = []
    for _, waiter in reversed(ordered):
        ahead_s -= waiter.service_s
        if waiter.priority <= arrival.priority or protected(waiter):
            continue
        # A late request waits behind those that arrive later, as those admitted late.
        wait_s = expected_wait(mean_s, ahead_s, slots)
        retry_after_s = refusal(
            wait_s, expected_wait(mean_s, queued_s, slots), waiter.service_s,
            waiter.late_at - now, waiter.deadline - now,
        )  # fmt: skip
        if retry_after_s is not None:
            queued_s -= waiter.service_s
            displaced.append((waiter, wait_s))
    return displaced


def would_refuse(load, level, latency_goal_s, remaining_s):
    """Return whether a target with this load would refuse a request.

    Parameters
    ----------
    load : Load
    level : int
        Urgency of the request.
    latency_goal_s, remaining_s : float
        Times until its response is due, and until its deadline, in seconds.
    """
    if load.running < load.slots:
        return False
    if not any(refused <= level and count > 0 for refused, count in load.refusals):
        return False
    wait_s, service_s = load.wait_s, load.service_s
    return refusal(wait_s, wait_s, service_s, latency_goal_s, remaining_s) is not None


def wait_if_all_refuse(reports, level, latency_goal_s, remaining_s):
    """Return the shortest expected wait if all targets would refuse, else None.

    Parameters
    ----------
    reports : iterable of (Load or None, float)
        Last load of each VM to which requests are sent, and its age in seconds. They
        are read only up to the first one that does not refuse.
    level, latency_goal_s, remaining_s
        As for ``would_refuse``.

    Returns
    -------
    wait_s : float or None
    """
    shortest_s = None
    for load, age_s in reports:
        if load is None or age_s > MAX_REFUSING_REPORT_AGE_S:
            return None
        if not would_refuse(load, level, latency_goal_s, remaining_s):
            return None
        wait_s = load.wait_s
        shortest_s = wait_s if shortest_s is None else min(shortest_s, wait_s)
    return shortest_s


class ServiceRate(NamedTuple):
    """Requests per second that a service can start, and this node's share of them."""

    per_s: float
    share: float = 1.0


def service_rate(reports, vms, nodes):
    """Return the ``ServiceRate`` of a service, from the loads known to a node.

    Each node may promise an equal part of the slots, so that all together promise no
    more than there are.

    Parameters
    ----------
    reports : iterable of (Load or None, float)
        As for ``wait_if_all_refuse``.
    vms, nodes : int
        Number of VMs of the service, and of all nodes.
    """
    rates = [
        load.slots / load.service_s
        for load, _ in reports
        if load is not None and load.service_s > 0
    ]
    if not rates:
        return ServiceRate(0.0)
    return ServiceRate(sum(rates) / len(rates) * vms, 1 / max(1, nodes))


class PromisedReturns:
    """Returns of refused clients that this node has promised, by interval.

    Parameters
    ----------
    jitter : callable
        Returns random numbers in [0, 1). They spread the returns of one interval, and
        make nodes that may promise less than one return in an interval choose
        different ones.
    """

    def __init__(self, jitter):
        self._jitter, self._phase = jitter, jitter()
        self._counts = {}

    def _limit(self, number, per_interval):
        """Number of returns in an interval; a fraction is made up over several."""
        phase = self._phase
        return math.floor((number + 1) * per_interval + phase) - math.floor(
            number * per_interval + phase
        )

    def promise(self, wait_s, rate, now):
        """Return the retry delay of a refusal in seconds, and count the return.

        If all intervals within the longest delay are full, it is the one with the
        fewest returns.

        Parameters
        ----------
        wait_s : float
            Expected time until there is capacity, in seconds.
        rate : ServiceRate
        now : float
        """
        wait_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))
        first = int((now + wait_s) / RETURN_INTERVAL_S)
        last = max(first, int((now + RETRY_AFTER_MAX_S) / RETURN_INTERVAL_S) - 1)
        self._drop_past(now)
        counts = self._counts
        per_interval = RETURN_SHARE * RETURN_INTERVAL_S * rate.per_s * rate.share
        for number in range(first, last + 1):
            if counts.get(number, 0) < self._limit(number, per_interval):
                break
        else:
            number = min(range(first, last + 1), key=lambda n: counts.get(n, 0))
        counts[number] = counts.get(number, 0) + 1
        at = (number + self._jitter()) * RETURN_INTERVAL_S
        return min(RETRY_AFTER_MAX_S, max(wait_s, at - now))

    def _drop_past(self, now):
        # Twice the intervals within the longest delay: not for each refusal.
        if len(self._counts) > 2 * RETRY_AFTER_MAX_S / RETURN_INTERVAL_S:
            present = int(now / RETURN_INTERVAL_S)
            self._counts = {n: c for n, c in self._counts.items() if n >= present}


def bounded_log(log):
    """Return ``log`` with at most ``MAX_LINES_PER_S`` lines of an event in a second."""
    lines = {}

    def write(event, **fields):
        second = int(trio.current_time())
        last, count = lines.get(event, (second, 0))
        count = count + 1 if last == second else 1
        lines[event] = (second, count)
        if count <= MAX_LINES_PER_S:
            log(event, **fields)

    return write


class TargetRoom:
    """Decisions beside the target: order, starvation, refusals and promised returns.

    Parameters
    ----------
    jitter : callable
        As for ``PromisedReturns``.
    metrics : Metrics
    log : callable
    """

    def __init__(self, jitter, metrics, log):
        self._metrics, self._log = metrics, bounded_log(log)
        self._called_routes = CalledRoutes()
        self._running = RunningPriorities()
        self._refusals = RecentRefusals()
        self._promised = PromisedReturns(jitter)
        # Route to the time at which one of its requests was started last.
        self._started_at = {}
        # Slots that became free while a route was starved, since it last got one.
        self._slots_while_starved = 0
        # Number of a displaced waiter to its expected wait in seconds.
        self._displaced = {}

    @property
    def most_urgent_running(self):
        """Effective priority of the most urgent running request, or None."""
        return self._running.most_urgent

    def is_called(self, route):
        """Return whether the requests of a route are calls."""
        return self._called_routes.is_called(route)

    def classify(self, request):
        """Replace the priority of a request that arrives by its effective priority."""
        if self._called_routes.record(request.route, request.caller):
            self._metrics.count("called_route_changed")
            self._log(
                "called_route_changed", route=request.route, caller=request.caller,
                called=self.is_called(request.route),
            )  # fmt: skip
        request.priority = effective_priority(
            request.priority, request.caller_priority, self.is_called(request.route)
        )

    def level(self, request):
        """Return the urgency of a classified request."""
        return urgency(request.priority, self.is_called(request.route))

    def refusals(self, now):
        """Return the refusals of the last second, for a ``Load``."""
        return self._refusals.report(now)

    def on_start(self, request, now):
        """Record that a request was given a slot."""
        self._running.add(request.priority)
        self._started_at[request.route] = now

    def on_release(self, request):
        """Record that a request has left its slot."""
        self._running.remove(request.priority)

    def complete(self, waiter, request, now):
        """Return a waiter with what decides its place in the queue."""
        return waiter._replace(
            priority=self.level(request), returning=request.returning,
            route=request.route, arrived_at=now, request=request,
        )  # fmt: skip

    def ahead(self, request, now, service_s, late_s, waiters):
        """Return the service times of the waiters that run before an arrival."""
        arrival = Waiter(
            self.level(request), now + request.latency_goal_s, now + late_s, service_s,
            request.key, None, math.inf, returning=request.returning,
        )  # fmt: skip
        order = queue_order(arrival, now)
        return [w.service_s for w in waiters if queue_order(w, now) < order]

    def next_waiter(self, waiters, now, ready):
        """Return the request to run next, or None, as ``_admission.next_waiter``."""
        waiters = [w for w in waiters if ready(w.key)]
        if not waiters:
            return None
        best = min(waiters, key=lambda w: queue_order(w, now))
        starved = [w for w in waiters if self._is_starved(w, now)]
        if not starved:
            self._slots_while_starved = 0
            return best
        if best.route in {w.route for w in starved}:
            return best
        self._slots_while_starved += 1
        if self._slots_while_starved < STARVED_SLOT_INTERVAL:
            return best
        self._slots_while_starved = 0
        route = min(starved, key=lambda w: w.arrived_at).route
        waiter = min(
            (w for w in waiters if w.route == route), key=lambda w: queue_order(w, now)
        )
        self._metrics.count("starved_starts")
        self._log(
            "starved_starts", route=route, waited_s=now - waiter.arrived_at,
            before=best.route,
        )  # fmt: skip
        return waiter

    def _is_starved(self, waiter, now):
        return is_starved(waiter, self._started_at.get(waiter.route), now)

    def displace(self, arrival, waiters, now, mean_s, slots):
        """Wake the less urgent waiters that do not fit any more, to be refused."""
        waiters = [w for w in waiters if not w.event.is_set()]
        if all(w.priority <= arrival.priority for w in waiters):
            return
        # The waiter of each starved route that would get its next slot.
        kept = {}
        for w in waiters:
            if self._is_starved(w, now):
                first = kept.get(w.route)
                if first is None or queue_order(w, now) < queue_order(first, now):
                    kept[w.route] = w
        kept_numbers = {w.number for w in kept.values()}
        for waiter, wait_s in displaced_waiters(
            arrival, waiters, lambda w: w.number in kept_numbers, now, mean_s, slots
        ):
            self._displaced[waiter.number] = wait_s
            waiter.event.set()
            self._metrics.count("waiters_displaced")
            self._log(
                "waiters_displaced", route=waiter.route,
                waited_s=now - waiter.arrived_at, wait_s=wait_s,
            )  # fmt: skip

    def take_displaced(self, number):
        """Return the expected wait of a displaced waiter in seconds, else None."""
        return self._displaced.pop(number, None)

    def refuse(self, request, wait_s, rate, now):
        """Record a refusal because of the queue and return its retry delay.

        The return of a request with a key comes to this target. That of another one
        may go to any target, so it is promised by the node where the request began.

        Parameters
        ----------
        request : ForwardRequest
        wait_s : float
            Expected wait for a slot, in seconds.
        rate : float
            Requests per second that the target can start.
        now : float
        """
        self._refusals.record(self.level(request), now)
        if request.key is not None:
            return self._promised.promise(wait_s, ServiceRate(rate), now)
        return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))


class EntryRoom:
    """Decisions where requests begin: returns, refusals without a send, Retry-After.

    Parameters
    ----------
    target_room : TargetRoom
        That of the target beside this node.
    load_reports : callable
        ``load_reports(service)`` iterates over (``Load`` or None, age in seconds) of
        the VMs to which this node sends requests for a service without keys.
    counts : callable
        ``counts(service)`` returns the numbers of VMs of a service and of all nodes.
    jitter, metrics, log
        As for ``TargetRoom``.
    """

    def __init__(self, target_room, load_reports, counts, jitter, metrics, log):
        self._target_room = target_room
        self._load_reports, self._counts = load_reports, counts
        self._metrics, self._log = metrics, bounded_log(log)
        self._refused = RefusedRequests()
        self._promised = {}
        self._jitter = jitter
        # Service to the number of requests that all reports said would be refused.
        self._hopeless = {}
        # Route to whether it is called, as the targets state.
        self._called = {}

    @property
    def caller_priority(self):
        """Priority of the most urgent request that runs beside this node, or None."""
        return self._target_room.most_urgent_running

    def take_return(self, request, route, now):
        """Return when the first attempt of a return began; None if it is none."""
        first_started = self._refused.take(_mark(request, route), now)
        if first_started is not None:
            self._metrics.count("returns")
            self._log(
                "returns", id=request.id, route=route.name,
                after_s=now - first_started,
            )  # fmt: skip
        return first_started

    def on_reply(self, route, reply):
        """Record what a reply states about its route."""
        self._called[route.name] = reply.called

    def refusal_wait_s(self, request, route, service, remaining_s):
        """Return the expected wait for capacity if a request is refused unsent.

        Parameters
        ----------
        request : Request
        route : Route
        service : str
        remaining_s : float
            Time until the deadline of the request, in seconds.

        Returns
        -------
        wait_s : float or None
            None if the request is to be sent.
        """
        # Until a target has stated it, the route may be called.
        called = self._called.get(route.name, True)
        priority = effective_priority(route.priority, self.caller_priority, called)
        level = urgency(priority, called)
        wait_s = wait_if_all_refuse(
            self._load_reports(service), level, route.latency_goal_s, remaining_s
        )
        if wait_s is None:
            return None
        count = self._hopeless[service] = self._hopeless.get(service, 0) + 1
        if count % PROBE_INTERVAL == 0:
            self._metrics.count("entry_probes")
            self._log("entry_probes", id=request.id, route=route.name)
            return None
        self._metrics.count("entry_refusals")
        self._log("entry_refusals", id=request.id, route=route.name, wait_s=wait_s)
        return wait_s

    def on_refused(self, request, route, service, returning, keyed, wait_s, started):
        """Remember a refused request and return the retry delay for its client.

        Parameters
        ----------
        request : Request
        route : Route
        service : str
        returning : bool
            Whether the request was a return: its client does not return again.
        keyed : bool
            Whether the service is divided by key; the delay was then promised by the
            node beside the target.
        wait_s : float
            Expected time until there is capacity, in seconds.
        started : float
            When the request arrived, on the node's clock in seconds.
        """
        now = trio.current_time()
        if returning:
            return wait_s
        self._refused.remember(_mark(request, route), now, started)
        if keyed:
            return wait_s
        promised = self._promised.get(service)
        if promised is None:
            promised = self._promised[service] = PromisedReturns(self._jitter)
        rate = service_rate(self._load_reports(service), *self._counts(service))
        return promised.promise(wait_s, rate, now)


def _mark(request, route):
    """Return what identifies a request whose client returns."""
    if request.key is not None:
        return route.name, request.key
    target = request.target
    return route.name, target if len(target) <= MAX_MARK_BYTES else hash(target)
