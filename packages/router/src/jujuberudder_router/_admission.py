"""Admission at the one target beside this node: exact slots and one queue.

``next_waiter`` and ``refusal`` answer a load that is above what the target can run:
they decide from numbers alone which request runs next and which is turned away.
"""

from collections import deque
from typing import NamedTuple

import trio

from ._frames import Load

# Share of the time that a request has left which may be spent before its answer; the
# rest covers the way back and the spread of the time that requests run.
USABLE_SHARE = 0.85
# Factor on the wait of a request that will be late: all that come meanwhile and can
# meet their aim go before it.
LATE_CUSHION = 2.0
# Share of the time left after which a waiting request is turned away: early enough for
# its caller to come again.
HELD_SHARE = 0.6
# Times the mean for which a request may run at a target whose node ends: the longest
# runs of the users' requests take 8 times the mean of their kind.
END_FACTOR = 8.0
# Weight of the newest run in the mean time that requests of a route take.
MEAN_WEIGHT = 0.1
# Time a request is taken to run before one of its route was seen, in seconds: the mean
# of the users' sheets.
FIRST_SERVICE_S = 0.15
# Least and most seconds that a refused caller is asked to stay away. The most is what
# the queue needs to empty once; callers come back sooner than that anyway.
RETRY_LEAST_S, RETRY_MOST_S = 0.1, 2.0


# Weight of the newest sample in the usage, sampled every 0.1 s: a mean over 2 s.
USAGE_WEIGHT = 0.05
# Seconds for which a target's word on work that this node knows nothing of counts: it
# goes on with requests whose callers left.
FOREIGN_S = 0.5
# Seconds for which a target that shed gets one request less.
SHED_S = 0.3
# Seconds for which the work on keys is remembered for moves.
WORK_WINDOW_S = 4.0


# Reason of a refusal while a node ends.
OUTLASTS_NODE = "the node ends before the request might"


class Waiter(NamedTuple):
    """A request that waits for a slot; times on the node's clock, in seconds."""

    priority: int
    aim_at: float
    service_s: float
    key: int | None
    event: trio.Event
    number: int


def next_waiter(waiters, now, ready):
    """Return the request to run next, or None.

    Requests that can still meet their aim go before those that are late anyway;
    among them the more urgent first, then the one whose aim comes first.

    Parameters
    ----------
    waiters : iterable of Waiter
    now : float
    ready : callable
        ``ready(key)`` tells whether the target holds the key.
    """
    best, best_order = None, None
    for waiter in waiters:
        if not ready(waiter.key):
            continue
        late = now + waiter.service_s > waiter.aim_at
        order = (late, waiter.priority, waiter.aim_at, waiter.number)
        if best is None or order < best_order:
            best, best_order = waiter, order
    return best


def expected_wait(mean_s, ahead_s, slots):
    """Return the seconds until a slot is free at a full target.

    Parameters
    ----------
    mean_s : float
        Mean time that a request runs.
    ahead_s : float
        Time that the requests which go first will run, added up.
    slots : int
    """
    return (mean_s + ahead_s) / max(1, slots)


def refusal(wait_s, longest_s, service_s, latency_goal_s, remaining_s):
    """Return for how long to stay away (s) if a request is not to be queued, or None.

    A request is queued if it will meet its aim, or if there is room to spare for one
    that is late: then it waits behind all others.

    Parameters
    ----------
    wait_s, longest_s : float
        Expected wait behind what goes first, and behind everything that waits.
    service_s : float
        Expected time at the target.
    latency_goal_s, remaining_s : float
        Times until the answer is late, and until it is worth nothing.
    """
    if (
        wait_s + service_s <= latency_goal_s
        and wait_s + service_s <= remaining_s * USABLE_SHARE
    ):
        return None
    if LATE_CUSHION * longest_s + service_s <= remaining_s * USABLE_SHARE:
        return None
    return min(RETRY_MOST_S, max(RETRY_LEAST_S, longest_s))


class Refused(Exception):
    """A request that was not admitted and will not run.

    ``retry_after_s`` is 0 where another VM, or this one soon, may take it.
    """

    def __init__(self, reason, retry_after_s):
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


class AdmissionQueue:
    """Slots and queue of the target beside this node.

    Parameters
    ----------
    holds : callable
        ``holds(key, now)`` tells whether the target holds a key (None: no key).
    """

    def __init__(self, holds):
        self._holds = holds
        self._waiters = {}
        self._numbers = 0
        self._running = 0
        self._service_s = {}
        self._mean_s = FIRST_SERVICE_S
        self._work = deque()
        self._foreign, self._foreign_until = 0, 0.0
        self.usage = 0.0
        self.slots = 0
        self.drain_deadline = None
        self.closed_reason = "no target has announced itself"

    @property
    def running(self):
        """Number of requests at the target."""
        return self._running

    def open(self, slots):
        """Admit requests."""
        self.slots = slots
        self.closed_reason = ""
        self.dispatch()

    def close(self, reason):
        """Refuse all new requests and those that wait."""
        self.closed_reason = reason
        for waiter in self._waiters.values():
            waiter.event.set()

    def record_target_load(self, running, waiting, slots, now):
        """Note the target's own report, sent with a response."""
        foreign = max(0, running + waiting - self._running)
        if foreign >= self._foreign or now > self._foreign_until:
            self._foreign, self._foreign_until = foreign, now + FOREIGN_S

    def record_target_shed(self, now):
        """Note that the target refused although a slot was free by this count."""
        foreign = self._foreign if now < self._foreign_until else 0
        self._foreign = min(foreign + 1, max(0, self.slots - 1))
        self._foreign_until = now + SHED_S

    def _room(self, now):
        """Return how many requests may be at the target."""
        foreign = self._foreign if now < self._foreign_until else 0
        return max(1, self.slots - foreign)

    def sample_usage(self, now):
        """Take a sample of the usage; called every 0.1 s."""
        self.dispatch()
        used = (self._running + len(self._waiters)) / max(1, self.slots)
        self.usage += USAGE_WEIGHT * (used - self.usage)
        while self._work and self._work[0][0] < now - WORK_WINDOW_S:
            self._work.popleft()

    def recent_work(self):
        """Return (key, seconds) of the runs of the last seconds."""
        return [(key, seconds) for _, key, seconds in self._work]

    def _waiting_s(self):
        """Return the time that all waiting requests will run, added up."""
        return sum(waiter.service_s for waiter in self._waiters.values())

    def load(self):
        """Return the report for other nodes."""
        queued, wait = len(self._waiters), 0.0
        if queued or self._running >= self.slots:
            wait = expected_wait(self._mean_s, self._waiting_s(), self.slots)
        measured_s = self._mean_s if self._service_s else 0.0
        return Load(
            self._running, queued, self.slots, wait, measured_s,
            not self.closed_reason, self.usage,
        )  # fmt: skip

    async def acquire(self, ask, now):
        """Wait for a slot.

        Raises
        ------
        Refused
            The request has not run and will not.
        """
        if self.closed_reason:
            raise Refused(self.closed_reason, 0.0)
        service_s = self._service_s.get(ask.route, self._mean_s)
        if self._outlasts(service_s, now):
            raise Refused(OUTLASTS_NODE, 0.0)
        held = self._holds(ask.key, now)
        if held and self._running < self._room(now) and not self._waiters:
            self._running += 1
            return
        self._check(ask, now, service_s)
        await self._wait(ask, now, service_s)

    def _outlasts(self, service_s, now):
        """Whether a request that begins now may still run when the node ends."""
        return (
            self.drain_deadline is not None
            and now + END_FACTOR * service_s > self.drain_deadline
        )

    def _check(self, ask, now, service_s):
        waiters = self._waiters.values()
        order = (ask.priority, now + ask.latency_goal_s)
        ahead = sum(
            w.service_s
            for w in waiters
            if (w.priority, w.aim_at) <= order and now + w.service_s <= w.aim_at
        )
        everything = self._waiting_s()
        away_s = refusal(
            expected_wait(self._mean_s, ahead, self.slots),
            expected_wait(self._mean_s, everything, self.slots),
            service_s,
            ask.latency_goal_s,
            ask.remaining_s,
        )
        if away_s is not None:
            raise Refused(f"queue of {everything / max(1, self.slots):.2f} s", away_s)

    async def _wait(self, ask, now, service_s):
        self._numbers += 1
        number = self._numbers
        give_up_at = now + min(
            ask.remaining_s * HELD_SHARE, ask.remaining_s - service_s
        )
        waiter = Waiter(
            ask.priority,
            now + ask.latency_goal_s,
            service_s,
            ask.key,
            trio.Event(),
            number,
        )
        self._waiters[number] = waiter
        self.dispatch()
        try:
            with trio.move_on_at(give_up_at):
                await waiter.event.wait()
        except trio.Cancelled:
            if self._waiters.pop(number, None) is None and waiter.event.is_set():
                self.release()
            raise
        if self._waiters.pop(number, None) is None:
            return
        if self.closed_reason:
            raise Refused(self.closed_reason, 0.0)
        if self._outlasts(service_s, trio.current_time()):
            raise Refused(OUTLASTS_NODE, 0.0)
        raise Refused("no slot came free in time", RETRY_LEAST_S)

    def release(self, ask=None, took_s=None):
        """Free a slot; ``took_s`` is how long the target worked."""
        self._running -= 1
        if took_s is not None:
            route = ask.route
            if ask.key is not None:
                self._work.append((trio.current_time(), ask.key, took_s))
            last = self._service_s.get(route, took_s)
            self._service_s[route] = last + MEAN_WEIGHT * (took_s - last)
            self._mean_s += MEAN_WEIGHT * (took_s - self._mean_s)
        self.dispatch()

    def dispatch(self):
        """Let waiting requests run while there are slots."""
        if self.closed_reason:
            return
        now = trio.current_time()
        for waiter in self._waiters.values():
            if self._outlasts(waiter.service_s, now):
                waiter.event.set()
        while self._running < self._room(now) and self._waiters:
            waiter = next_waiter(
                (
                    w
                    for w in self._waiters.values()
                    if not self._outlasts(w.service_s, now)
                ),
                now,
                lambda key: self._holds(key, now),
            )
            if waiter is None:
                return
            del self._waiters[waiter.number]
            self._running += 1
            waiter.event.set()
