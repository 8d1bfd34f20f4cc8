"""Admission to the target beside this node: an exact count of slots and one queue.

When the load exceeds what the target can run, ``next_waiter`` selects the request that
runs next and ``refusal`` decides which requests are refused. Both use only their
arguments.
"""

import math
from collections import deque
from typing import NamedTuple

import trio

from ._frames import Load
from ._placement import sudden_demand
from ._rate_limit import RateLimiter, usable_slots
from ._speeds import (
    REPORTED_WORK_TIME_VALID_S,
    WorkTime,
    is_faster_elsewhere,
    slowed_wait,
)

# Share of a request's remaining time within which its response has to be ready. The
# rest covers the way back and the variation of service times.
USABLE_TIME_SHARE = 0.85
# A request counts as short below this multiple of the mean service time. A short one
# that will miss its latency goal is not run after all others: it hardly delays them,
# and is mostly a call of a request that waits for it in a slot.
SHORT_SERVICE_SHARE = 0.5
# Factor on the expected wait of a request that will miss its latency goal: all requests
# that arrive meanwhile and can meet their goal are run before it.
LATE_WAIT_FACTOR = 2.0
# Share of the remaining time for which a request may wait before it is refused: early
# enough for its client to retry.
MAX_WAIT_SHARE = 0.6
# A request is admitted while the node drains only if this multiple of its route's mean
# service time fits before the deadline of the node, or its own deadline is earlier: the
# longest of the users' requests take 8 times the mean of their kind.
MAX_RUN_FACTOR = 8.0
# Number of last runs of a route of which the longest has to fit as well, and the number
# below which the time of a route is not known. Neither counts for a request that no
# other VM may serve.
LONGEST_OF_RUNS, MIN_KNOWN_RUNS = 100, 5
# Weight of the newest run in the mean service time of a route.
MEAN_WEIGHT = 0.1
# Initial value of the mean service time over all routes, in seconds. It is assumed for
# each route until a request has run: the mean in the data sheets of the users.
INITIAL_SERVICE_S = 0.15
# Service time that is assumed for a route after requests of others have run, as a share
# of its latency goal: the ratio in the data sheets of the users. If the mean over the
# others were assumed, a target that runs long requests would refuse all short ones, and
# never learn their time.
INITIAL_SERVICE_SHARE = 0.35
# Bounds of the retry delay sent with a refusal, in seconds. The upper bound is the
# time in which the queue empties once; clients retry sooner than that anyway.
RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S = 0.1, 2.0
# Weight of the newest sample in the usage, which is sampled every 0.1 s: this averages
# over 2 s.
USAGE_WEIGHT = 0.05
# Seconds for which a report of a target about requests that this node does not track is
# valid: targets continue requests whose clients have disconnected.
UNTRACKED_TTL_S = 0.5
# Seconds for which the capacity of a target is reduced by one after it shed a request.
SHED_TTL_S = 0.3
# Seconds for which service times of keys are retained for decisions on moves.
WORK_WINDOW_S = 4.0
# Seconds for which requests with a key are counted in the demand for it: about as long
# as the usage is averaged.
DEMAND_WINDOW_S = 2.0
# Reason of a refusal while a node drains.
OUTLASTS_NODE = "the node ends before the request might"
# Reason of a refusal while a request waits.
KEY_MOVED = "the key moved to another VM"
# Reason of a refusal while a request waits for a slot.
DISPLACED = "more urgent requests fill the slots"
# Reason of a refusal after the target stated twice that it does not hold a key.
KEY_NOT_HELD = "the target does not hold the key"
# Reason of a refusal while the availability zone of the target is evacuated.
EVACUATED = "the zone of the target is evacuated"


class Waiter(NamedTuple):
    """A request that waits for a slot.

    ``latency_goal_at`` is when its response is due, ``late_at`` from when on it is run
    after those that can meet their goal, and ``deadline`` when its client stops
    waiting, on the node's clock in seconds. ``run_s`` is the time that it may take.
    ``returning`` states that its client was refused before. Where kinds of requests
    compete, ``priority`` is its urgency.
    """

    priority: int
    latency_goal_at: float
    late_at: float
    service_s: float
    key: int | None
    event: trio.Event
    number: int
    deadline: float = math.inf
    run_s: float = 0.0
    returning: bool = False
    route: str = ""
    arrived_at: float = 0.0
    request: object = None


def next_waiter(waiters, now, ready):
    """Return the request to run next, or None.

    Requests that can still meet their latency goal are run before those that cannot;
    short requests are not delayed so. Within both groups the order is by priority, then
    by the end of the latency goal.

    Parameters
    ----------
    waiters : iterable of Waiter
    now : float
        Time on the node's clock, in seconds.
    ready : callable
        ``ready(key)`` returns whether the target may serve the key.

    Returns
    -------
    waiter : Waiter or None
    """
    best, best_order = None, None
    for waiter in waiters:
        if not ready(waiter.key):
            continue
        late = now + waiter.service_s > waiter.late_at
        order = (late, waiter.priority, waiter.latency_goal_at, waiter.number)
        if best is None or order < best_order:
            best, best_order = waiter, order
    return best


def expected_wait(mean_s, ahead_s, slots):
    """Return the expected time until a slot is free at a full target, in seconds.

    Parameters
    ----------
    mean_s : float
        Mean service time, in seconds.
    ahead_s : float
        Sum of the service times of the requests that run before, in seconds.
    slots : float
        Slots that may be used; fewer than one if the target limits its rate.
    """
    return (mean_s + ahead_s) / (slots or 1)


def late_after(service_s, mean_s, latency_goal_s, remaining_s):
    """Return the time (s) from its arrival after which a request is late.

    Parameters
    ----------
    service_s, mean_s : float
        Expected service time, and the mean over all requests, in seconds.
    latency_goal_s, remaining_s : float
        Times until the response is due, and until the deadline, in seconds.
    """
    return remaining_s if service_s < SHORT_SERVICE_SHARE * mean_s else latency_goal_s


def refusal(wait_s, full_queue_wait_s, service_s, late_s, remaining_s):
    """Return the retry delay if a request is refused, or None if it is queued.

    A request is queued if it will not be late, or if its remaining time has
    a reserve for a wait behind all others.

    Parameters
    ----------
    wait_s, full_queue_wait_s : float
        Expected wait behind the requests that run before it, and behind all waiting
        requests, in seconds.
    service_s : float
        Expected service time, in seconds.
    late_s, remaining_s : float
        Times until the response is late, and until the deadline, in seconds.

    Returns
    -------
    retry_after_s : float or None
    """
    if (
        wait_s + service_s <= late_s
        and wait_s + service_s <= remaining_s * USABLE_TIME_SHARE
    ):
        return None
    if (
        LATE_WAIT_FACTOR * full_queue_wait_s + service_s
        <= remaining_s * USABLE_TIME_SHARE
    ):
        return None
    return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, full_queue_wait_s))


def may_outlast(run_s, remaining_s, node_s):
    """Return whether a request may still be at work when its node ends.

    Parameters
    ----------
    run_s : float
        Longest time that the target is expected to take, in seconds.
    remaining_s : float
        Time until the deadline of the request, at which its client stops waiting, in
        seconds. A request that ends before the node cannot outlast it, however long the
        target takes.
    node_s : float
        Time that the node gives to running requests, in seconds.
    """
    return min(run_s, remaining_s) > node_s


class Refused(Exception):
    """Raised for a request that was not admitted and will not run.

    ``retry_after_s`` is 0 if another VM, or this one soon, may run it. ``node_s`` is
    the time in seconds that a node which stops gives to running requests, if that is
    the reason.
    """

    def __init__(self, reason, retry_after_s, node_s=0.0):
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.node_s = node_s


class AdmissionQueue:
    """Slots and queue of the target beside this node.

    Parameters
    ----------
    may_serve_key : callable
        ``may_serve_key(key, now)`` returns whether the target may serve a key;
        the key is None for requests without one.
    key_delay_s : callable, default=None
        ``key_delay_s(key, now)`` returns for how many seconds the target will certainly
        not serve a key.
    room : TargetRoom, default=None
        Decides where kinds of requests compete for the slots.

    Attributes
    ----------
    slots : int
    rate_limiter : RateLimiter
        Rate limit that the target states.
    work_time : WorkTime
        Work time that the target states.
    drain_deadline : float or None
        Time on the node's clock, in seconds, at which unfinished requests get a final
        response; None while the node does not drain.
    keyed_drain_deadline : float or None
        The same for requests with a key: no other VM can serve them before the key
        has moved.
    cold_target : ColdTarget or None
        Rate of the target while it is cold; None if it is not limited.
    closes_at : float
        Time on the node's clock, in seconds, from which nothing is sent to the target.
    closed_reason : str
        Reason for which all requests are refused; empty while requests are admitted.
    """

    def __init__(self, may_serve_key, key_delay_s=None, room=None):
        self.room = room
        self._may_serve_key = may_serve_key
        self._key_delay_s = key_delay_s or (lambda key, now: 0.0)
        self._next_waiter = next_waiter if room is None else room.next_waiter
        self._waiters = {}
        # Numbers of waiting requests whose key now belongs to another VM.
        self._moved = set()
        self._last_number = 0
        self._running = 0
        # Mean service time of each route.
        self._service_s = {}
        # Times of the last runs of each route, and the longest one of known routes.
        self._run_times, self._longest_run_s = {}, {}
        self._mean_service_s = INITIAL_SERVICE_S
        # (time of the end, key, service time) of recent requests with a key.
        self._work = deque()
        # (time of the arrival, key, expected service time) of recent requests.
        self._arrivals = deque()
        self._untracked, self._untracked_until = 0, 0.0
        # Running and waiting requests, averaged over 2 s.
        self._mean_used = 0.0
        self.slots = 0
        self.rate_limiter = RateLimiter()
        self.work_time = WorkTime()
        self.drain_deadline = self.keyed_drain_deadline = None
        self.cold_target, self.closes_at = None, math.inf
        self.closed_reason = "no target has announced itself"

    @property
    def usable_slots(self):
        """Number of slots that the target's rate limit keeps busy; all without one.

        A cold target limits its rate as well.
        """
        limit = self.rate_limiter.limit
        if self.cold_target is not None:
            rate = self.cold_target.rate(trio.current_time())
            limits = [per_s for per_s in (limit, rate) if per_s is not None]
            limit = min(limits, default=None)
        return usable_slots(self.slots, self._mean_service_s, limit)

    @property
    def usage(self):
        """Running and waiting requests, averaged over 2 s, per slot usable at present.

        The requests are averaged, not the ratio, so that the usage shows a rate limit
        as soon as it begins.
        """
        return self._mean_used / (self.usable_slots or 1)

    @property
    def running(self):
        """Number of requests that this node has sent to the target."""
        return self._running

    def open(self, slots):
        """Start to admit requests, with a number of slots."""
        self.slots = slots
        self.closed_reason = ""
        self.dispatch()

    def close(self, reason):
        """Refuse all new requests and all waiting ones."""
        self.closed_reason = reason
        for waiter in self._waiters.values():
            waiter.event.set()

    def refuse_moved(self, owns_key):
        """Refuse the waiting requests whose key this VM does not own any more.

        Parameters
        ----------
        owns_key : callable
            ``owns_key(key)`` returns whether this VM owns a key.
        """
        for number, waiter in self._waiters.items():
            if waiter.key is not None and not owns_key(waiter.key):
                self._moved.add(number)
                waiter.event.set()

    def refuse_distrusted(self):
        """Refuse the waiting requests whose key the target does not serve for now."""
        now = trio.current_time()
        for waiter in self._waiters.values():
            if waiter.key is not None and self._key_delay_s(waiter.key, now) > 0:
                waiter.event.set()

    def record_target_load(self, load, now):
        """Record the ``TargetLoad`` that the target stated in a response."""
        self.work_time.record(load.work_time_factor, now)
        untracked = max(0, load.running + load.waiting - self._running)
        if untracked >= self._untracked or now > self._untracked_until:
            self._untracked, self._untracked_until = untracked, now + UNTRACKED_TTL_S

    def record_target_shed(self, now, load=None):
        """Record that the target refused a request although a slot seemed free.

        If the target states free slots with the refusal, it is not full: a target that
        refuses a share of all requests would otherwise be left with one slot in use.

        Parameters
        ----------
        now : float
        load : TargetLoad, default=None
            Load stated with the refusal.
        """
        if load is not None and load.running + load.waiting < load.slots:
            return
        untracked = self._untracked if now < self._untracked_until else 0
        self._untracked = min(untracked + 1, max(0, self.slots - 1))
        self._untracked_until = now + SHED_TTL_S

    def _capacity(self, now):
        """Return how many requests of this node may run at the target at once."""
        untracked = self._untracked if now < self._untracked_until else 0
        return max(1, self.slots - untracked)

    def _may_start(self, now):
        """Whether a slot is free and the target's rate permits a request."""
        return (
            self._running < self._capacity(now)
            and self.rate_limiter.permits(now)
            and (self.cold_target is None or self.cold_target.permits(now))
        )

    def _start(self, now, request=None):
        """Take a slot for a request that is sent to the target."""
        self._running += 1
        if self.room is not None and request is not None:
            self.room.on_start(request, now)
        self.rate_limiter.count_request(now)
        if self.cold_target is not None:
            self.cold_target.reserve()

    def check_send(self):
        """Raise ``Refused`` if nothing is sent to the target any more."""
        if trio.current_time() >= self.closes_at:
            raise Refused(EVACUATED, 0.0)

    def count_send(self):
        """Count an admitted request that is sent to the target now."""
        if self.cold_target is not None:
            self.cold_target.count_send(trio.current_time())

    def sample_usage(self, now):
        """Sample the usage and drop old service times; to be called every 0.1 s.

        Requests that the rate limit held back are started.
        """
        self.dispatch()
        used = self._running + len(self._waiters)
        self._mean_used += USAGE_WEIGHT * (used - self._mean_used)
        while self._work and self._work[0][0] < now - WORK_WINDOW_S:
            self._work.popleft()
        while self._arrivals and self._arrivals[0][0] < now - DEMAND_WINDOW_S:
            self._arrivals.popleft()

    def recent_work(self):
        """Return (key, service time in s) of requests of the last ``WORK_WINDOW_S``."""
        return [(key, seconds) for _, key, seconds in self._work]

    def demand(self):
        """Return the share of the usable slots that recent requests of each key need.

        Requests that were refused are included.

        Returns
        -------
        dict of int to float
        """
        demand = {}
        for _, key, service_s in self._arrivals:
            demand[key] = demand.get(key, 0.0) + service_s
        capacity_s = (self.usable_slots or 1) * DEMAND_WINDOW_S
        return {key: seconds / capacity_s for key, seconds in demand.items()}

    def sudden_demand(self, now):
        """Return the ``SuddenDemand`` for keys, refused requests included."""
        slots = self.usable_slots or 1
        return sudden_demand(reversed(self._arrivals), slots, now)

    def _queued_work_s(self):
        """Return the sum of the expected service times of all waiting requests."""
        return sum(waiter.service_s for waiter in self._waiters.values())

    def route_service_s(self, route):
        """Return the mean service time of a route in seconds, 0 if it has not run."""
        return self._service_s.get(route, 0.0)

    def load(self):
        """Return the load report for other nodes."""
        queued, wait, slots = len(self._waiters), 0.0, self.usable_slots
        now = trio.current_time()
        if queued or self._running >= slots:
            wait = expected_wait(self._mean_service_s, self._queued_work_s(), slots)
            wait = slowed_wait(wait, self.work_time.factor(now))
        if self.cold_target is not None:
            wait = max(wait, self.cold_target.wait_s(queued, now))
        measured_s = self._mean_service_s if self._service_s else 0.0
        return Load(
            self._running, queued, slots, wait, measured_s,
            not self.closed_reason, self.usage,
            () if self.room is None else self.room.refusals(now),
            self.work_time.factor(now, REPORTED_WORK_TIME_VALID_S),
            self.cold_target is not None and self.cold_target.is_cold(now),
        )  # fmt: skip

    def returns(self, request, now):
        """Return whether a request is returned because the target is slow at present.

        Another VM has a free slot for it.
        """
        if not request.may_return or request.key is not None or self.closed_reason:
            return False
        service_s = self.route_service_s(request.route)
        return is_faster_elsewhere(self.work_time.factor(now), service_s)

    async def acquire(self, request, now):
        """Wait for a slot.

        Parameters
        ----------
        request : ForwardRequest
        now : float
            Time on the node's clock, in seconds.

        Raises
        ------
        Refused
            If the request is not admitted; it has not run and will not.
        """
        if self.closed_reason:
            raise Refused(self.closed_reason, 0.0)
        self.check_send()
        if self.room is not None:
            self.room.classify(request)
        service_s = self.expected_service_s(request)
        run_s = self._possible_run_s(request, service_s)
        deadline = now + request.remaining_s
        if self._may_outlast_node(request.key, run_s, deadline, now):
            raise self._outlasts_node(request.key, now)
        if request.key is not None:
            self._arrivals.append((now, request.key, service_s))
        self._check_key(request.key, now)
        granted = self._may_serve_key(request.key, now)
        if granted and not self._waiters and self._may_start(now):
            self._start(now, request)
            return
        late_s = late_after(
            service_s, self._mean_service_s, request.latency_goal_s, request.remaining_s
        )
        self._check_expected_wait(request, now, service_s, late_s)
        await self._wait(request, now, service_s, late_s, run_s)

    def expected_service_s(self, request):
        """Return the time that a request is expected to run, in seconds."""
        if not self._service_s:
            return self._mean_service_s
        assumed_s = INITIAL_SERVICE_SHARE * request.latency_goal_s
        return self._service_s.get(request.route, assumed_s)

    def _check_key(self, key, now):
        """Raise ``Refused`` if the target will not serve a key for a while."""
        delay_s = 0.0 if key is None else self._key_delay_s(key, now)
        if delay_s > 0:
            raise Refused(KEY_NOT_HELD, max(RETRY_AFTER_MIN_S, delay_s))

    def _possible_run_s(self, request, service_s):
        """Return the time that the target may take for a request, in seconds.

        If another VM may take the request, the time is infinite while it is not known,
        and at least that of the longest of the last runs: a route may lead to short and
        long work, of which the mean tells little.
        """
        possible_s = MAX_RUN_FACTOR * service_s
        if request.key is not None or request.no_other_vm:
            return possible_s
        return max(possible_s, self._longest_run_s.get(request.route, math.inf))

    def _node_end(self, key):
        return self.drain_deadline if key is None else self.keyed_drain_deadline

    def _may_outlast_node(self, key, run_s, deadline, now):
        """Return whether a request that starts now may still run when the node ends."""
        node_end = self._node_end(key)
        if node_end is None:
            return False
        return may_outlast(run_s, deadline - now, node_end - now)

    def _waiter_may_outlast_node(self, waiter, now):
        return self._may_outlast_node(waiter.key, waiter.run_s, waiter.deadline, now)

    def _outlasts_node(self, key, now):
        return Refused(OUTLASTS_NODE, 0.0, max(0.0, self._node_end(key) - now))

    def _ahead(self, request, now, service_s, late_s):
        """Return the service times of the requests that run before a new one."""
        waiters = self._waiters.values()
        if self.room is not None:
            return self.room.ahead(request, now, service_s, late_s, waiters)
        order = (request.priority, now + request.latency_goal_s)
        return [
            w.service_s
            for w in waiters
            if (w.priority, w.latency_goal_at) <= order
            and now + w.service_s <= w.late_at
        ]

    def _check_expected_wait(self, request, now, service_s, late_s):
        queued_s, slots = self._queued_work_s(), self.usable_slots
        ahead = self._ahead(request, now, service_s, late_s)
        wait_s = self._expected_wait_s(sum(ahead), len(ahead), slots, now)
        retry_after_s = refusal(
            wait_s,
            self._expected_wait_s(queued_s, len(self._waiters), slots, now),
            service_s,
            late_s,
            request.remaining_s,
        )
        if retry_after_s is not None:
            if self.room is not None:
                retry_after_s = self._room_retry_after_s(request, wait_s, now)
            limit = self.rate_limiter.limit
            limited = "" if limit is None else f" at a limit of {limit:.1f}/s"
            raise Refused(
                f"queue of {queued_s / (slots or 1):.2f} s{limited}", retry_after_s
            )

    def _room_retry_after_s(self, request, wait_s, now):
        """Record a refusal because of the queue and return its retry delay."""
        rate = self.usable_slots / self._mean_service_s
        return self.room.refuse(request, wait_s, rate, now)

    def _expected_wait_s(self, ahead_s, ahead, slots, now):
        """Return the expected wait behind ``ahead`` requests that run ``ahead_s``."""
        wait_s = expected_wait(self._mean_service_s, ahead_s, slots)
        wait_s = slowed_wait(wait_s, self.work_time.factor(now))
        if self.cold_target is None:
            return wait_s
        return max(wait_s, self.cold_target.wait_s(ahead, now))

    async def _wait(self, request, now, service_s, late_s, run_s):
        self._last_number += 1
        number = self._last_number
        refuse_at = now + min(
            request.remaining_s * MAX_WAIT_SHARE, request.remaining_s - service_s
        )
        waiter = Waiter(
            request.priority,
            now + request.latency_goal_s,
            now + late_s,
            service_s,
            request.key,
            trio.Event(),
            number,
            now + request.remaining_s,
            run_s,
        )
        if self.room is not None:
            waiter = self.room.complete(waiter, request, now)
        self._waiters[number] = waiter
        self.dispatch()
        if self.room is not None and number in self._waiters:
            self._displace(waiter, now)
        try:
            with trio.move_on_at(refuse_at):
                await waiter.event.wait()
        except trio.Cancelled:
            self._moved.discard(number)
            self._take_displaced(number)
            if self._waiters.pop(number, None) is None and waiter.event.is_set():
                self.release(request)
            raise
        moved = number in self._moved
        self._moved.discard(number)
        displaced_wait_s = self._take_displaced(number)
        if self._waiters.pop(number, None) is None:
            return
        if moved:
            raise Refused(KEY_MOVED, 0.0)
        if self.closed_reason:
            raise Refused(self.closed_reason, 0.0)
        if self._waiter_may_outlast_node(waiter, trio.current_time()):
            raise self._outlasts_node(request.key, trio.current_time())
        now = trio.current_time()
        self._check_key(request.key, now)
        if displaced_wait_s is not None:
            retry_after_s = self._room_retry_after_s(request, displaced_wait_s, now)
            raise Refused(DISPLACED, retry_after_s)
        retry_after_s = RETRY_AFTER_MIN_S
        if self.room is not None:
            ahead = self._ahead(request, now, service_s, late_s)
            slots = self.usable_slots
            wait_s = self._expected_wait_s(sum(ahead), len(ahead), slots, now)
            retry_after_s = self._room_retry_after_s(request, wait_s, now)
        raise Refused("no slot came free in time", retry_after_s)

    def _displace(self, arrival, now):
        """Refuse less urgent waiters that do not fit any more, if no slot is free."""
        if not self._may_start(now):
            self.room.displace(
                arrival, self._waiters.values(), now, self._mean_service_s,
                self.usable_slots,
            )  # fmt: skip

    def _take_displaced(self, number):
        return None if self.room is None else self.room.take_displaced(number)

    def release(self, request=None, took_s=None, sent=False):
        """Free a slot.

        Parameters
        ----------
        request : ForwardRequest, default=None
        took_s : float, default=None
            Time that the target took, in seconds; None if it is not known.
        sent : bool, default=False
            Whether ``count_send`` was called.
        """
        self._running -= 1
        if self.room is not None and request is not None:
            self.room.on_release(request)
        if self.cold_target is not None and not sent:
            self.cold_target.cancel()
        if took_s is not None:
            route = request.route
            if request.key is not None:
                self._work.append((trio.current_time(), request.key, took_s))
            last = self._service_s.get(route, took_s)
            self._record_run(route, took_s)
            self._service_s[route] = last + MEAN_WEIGHT * (took_s - last)
            self._mean_service_s += MEAN_WEIGHT * (took_s - self._mean_service_s)
        self.dispatch()

    def _record_run(self, route, took_s):
        run_times = self._run_times.get(route)
        if run_times is None:
            run_times = self._run_times[route] = deque(maxlen=LONGEST_OF_RUNS)
        dropped_s = run_times[0] if len(run_times) == LONGEST_OF_RUNS else 0.0
        run_times.append(took_s)
        if len(run_times) < MIN_KNOWN_RUNS:
            return
        longest_s = self._longest_run_s.get(route, 0.0)
        # Not each run goes through all others: this is done for each request.
        if not longest_s or dropped_s >= longest_s:
            longest_s = max(run_times)
        self._longest_run_s[route] = max(longest_s, took_s)

    def dispatch(self):
        """Start waiting requests while slots are free and the rate limit permits."""
        now = trio.current_time()
        if self.closed_reason or now >= self.closes_at:
            return
        for waiter in self._waiters.values():
            if self._waiter_may_outlast_node(waiter, now):
                waiter.event.set()
        while self._waiters and self._may_start(now):
            waiter = self._next_waiter(
                (
                    w
                    for w in self._waiters.values()
                    if not self._waiter_may_outlast_node(w, now)
                ),
                now,
                lambda key: self._may_serve_key(key, now),
            )
            if waiter is None:
                return
            del self._waiters[waiter.number]
            self._start(now, waiter.request)
            waiter.event.set()
