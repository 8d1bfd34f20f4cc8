"""Admission to the local target: slots and a queue ordered by deadline."""

import math
from collections import Counter
from contextlib import asynccontextmanager
from typing import NamedTuple

import trio
from result import Err, Ok

from jujuberudder_core import Failure

SERVICE_TIME_WEIGHT = 0.1
# A call of a service that was itself called never waits, so that calls in a circle end.
MAX_WAITING_DEPTH = 1
SLOW_START_SHARE = 0.25
SHED_SHARE = 0.7
# Answers that shed together count once.
SHED_PAUSE_S = 0.2


class Limits(NamedTuple):
    """What a section sets for a target.

    Parameters
    ----------
    slots, queue : int
    call_slots : int
        Slots that requests of clients leave free for calls between services.
    slow_start_s : float
        Time in which a target reaches all its slots after a cold start.
    """

    slots: int
    queue: int
    call_slots: int = 0
    slow_start_s: float = 5.0


class AdmissionRequest(NamedTuple):
    """What a request asks of a target.

    Parameters
    ----------
    deadline : float
    client : str
        Address of the client.
    key : str or None
    depth : int
        0 for a client's request, 1 for a call that a service makes for it, and so on.
    """

    deadline: float
    client: str = ""
    key: str | None = None
    depth: int = 0


class _Waiter:
    """A claim in the queue."""

    def __init__(self, claim):
        self.claim = claim
        self.event = trio.Event()
        self.refusal = None


class Admission:
    """Slots of one target.

    Parameters
    ----------
    limits : callable
        Returns the Limits of the section in force.
    cold_since : callable
        Returns the time since which the target is up.
    """

    def __init__(self, limits, cold_since=lambda: -math.inf):
        self._limits = limits
        self._cold_since = cold_since
        self._used = 0
        self._calls = 0
        self._by_client = Counter()
        self._by_key = Counter()
        self._waiting = []
        self._service_s = 0.0
        self._spread_s = 0.0
        self._shed_share = 1.0
        self._shed_at = -math.inf

    @property
    def used(self):
        """Slots in use."""
        return self._used

    @property
    def waiting(self):
        """Requests in the queue."""
        return len(self._waiting)

    @property
    def load(self):
        """Requests that hold a slot or wait for one."""
        return self._used + len(self._waiting)

    @property
    def service_s(self):
        """Mean time that a request holds a slot, in seconds."""
        return self._service_s

    def capacity(self):
        """Return the slots that may be used now.

        Fewer than the section sets after a cold start and after the target shed load.
        """
        slots, slow_start_s = self._limits().slots, self._limits().slow_start_s
        warm_s = trio.current_time() - self._cold_since()
        warm = min(1.0, warm_s / slow_start_s) if slow_start_s else 1.0
        share = SLOW_START_SHARE + (1 - SLOW_START_SHARE) * warm
        return max(1, math.ceil(slots * min(share, self._shed_share)))

    def shed(self):
        """Note that the target refused a request because of its load."""
        now = trio.current_time()
        if now - self._shed_at >= SHED_PAUSE_S:
            self._shed_at = now
            slots = self._limits().slots
            self._shed_share = max(1 / slots, self._shed_share * SHED_SHARE)

    def retry_after_s(self):
        """Return the whole seconds after which a refused request may be served."""
        return max(1, math.ceil(self._wait_s(len(self._waiting))))

    def _wait_s(self, ahead):
        return (ahead + 1) * self._service_s / self.capacity()

    @asynccontextmanager
    async def slot(self, claim):
        """Hold a slot, waiting for it until the deadline at the latest.

        Parameters
        ----------
        claim : AdmissionRequest

        Yields
        ------
        admitted : Result[None, Failure]
        """
        admitted = await self._enter(claim)
        if admitted.is_err():
            yield admitted
            return
        started = trio.current_time()
        try:
            yield admitted
        finally:
            self._leave(claim, trio.current_time() - started)

    async def _enter(self, claim):
        if self._admissible(claim) and not self._waiting:
            self._take(claim)
            return Ok(None)
        refusal = self._cannot_wait(claim)
        if refusal is not None:
            return Err(Failure("admit", "target", refusal))
        waiter = _Waiter(claim)
        self._waiting.append(waiter)
        self._wake()
        try:
            with trio.move_on_at(claim.deadline):
                await waiter.event.wait()
        except trio.Cancelled:
            self._withdraw(waiter)
            raise
        if not waiter.event.is_set():
            self._waiting.remove(waiter)
            waiter.refusal = "deadline passed in queue"
        if waiter.refusal is not None:
            return Err(Failure("admit", "target", waiter.refusal))
        return Ok(None)

    def _withdraw(self, waiter):
        """Leave the queue, or give back a slot that was given at that moment."""
        if not waiter.event.is_set():
            self._waiting.remove(waiter)
        elif waiter.refusal is None:
            self._leave(waiter.claim, None)

    def _cannot_wait(self, claim):
        """Return why a claim is refused at once, or None."""
        if claim.depth > MAX_WAITING_DEPTH:
            return "no free slot for a nested call"
        earlier = sum(w.claim.deadline <= claim.deadline for w in self._waiting)
        ends = trio.current_time() + self._wait_s(earlier) + self._needs_s()
        if ends > claim.deadline:
            return "deadline cannot be met"
        if len(self._waiting) >= self._limits().queue and not self._displace(claim):
            return "queue full"
        return None

    def _displace(self, claim):
        """Make room in a full queue at the cost of the client that fills it."""
        counts = Counter(waiter.claim.client for waiter in self._waiting)
        if not counts:
            return False
        heaviest, most = counts.most_common(1)[0]
        if counts[claim.client] + 1 >= most:
            return False
        theirs = [w for w in self._waiting if w.claim.client == heaviest]
        self._refuse(max(theirs, key=lambda w: w.claim.deadline), "queue full")
        return True

    def _refuse(self, waiter, reason):
        self._waiting.remove(waiter)
        waiter.refusal = reason
        waiter.event.set()

    def _admissible(self, claim):
        capacity = self.capacity()
        if claim.depth:
            # Half of the slots, so that calls do not starve clients.
            return self._used < capacity and self._calls < max(1, capacity // 2)
        reserved = min(self._limits().call_slots, capacity - 1)
        return self._used - self._calls < capacity - reserved and self._used < capacity

    def _take(self, claim):
        self._used += 1
        self._calls += claim.depth > 0
        self._by_client[claim.client] += 1
        if claim.key is not None:
            self._by_key[claim.key] += 1

    def _leave(self, claim, held_s):
        self._used -= 1
        self._calls -= claim.depth > 0
        _decrement(self._by_client, claim.client)
        if claim.key is not None:
            _decrement(self._by_key, claim.key)
        if held_s is not None:
            self._note_service(held_s)
            self._shed_share = min(1.0, self._shed_share + 0.1 / self._limits().slots)
        self._wake()

    def _note_service(self, held_s):
        weight = SERVICE_TIME_WEIGHT if self._service_s else 1
        spread_s = abs(held_s - self._service_s) if self._service_s else 0.0
        self._service_s += (held_s - self._service_s) * weight
        self._spread_s += (spread_s - self._spread_s) * weight

    def _needs_s(self):
        """Return the time that nearly all requests hold a slot.

        A request that its deadline cuts off in the target has used a slot in vain.
        """
        return self._service_s + 2 * self._spread_s

    def _wake(self):
        """Give free slots to waiters: those below their share first, by deadline."""
        while self._waiting and self._used < self.capacity():
            self._refuse_late()
            waiter = self._next()
            if waiter is None:
                return
            self._waiting.remove(waiter)
            self._take(waiter.claim)
            waiter.event.set()

    def _refuse_late(self):
        """Refuse waiters that would pass their deadline while being served."""
        ends = trio.current_time() + self._needs_s()
        for waiter in [w for w in self._waiting if w.claim.deadline < ends]:
            self._refuse(waiter, "deadline cannot be met")

    def _next(self):
        open_to = [w for w in self._waiting if self._admissible(w.claim)]
        clients = {w.claim.client for w in self._waiting} | set(self._by_client)
        share = max(1, self.capacity() // max(1, len(clients)))
        half = max(1, self.capacity() // 2)

        def rank(waiter):
            claim = waiter.claim
            over = self._by_client[claim.client] >= share
            hot = claim.key is not None and self._by_key[claim.key] >= half
            return (over or hot, claim.deadline)

        return min(open_to, key=rank, default=None)


def _decrement(counter, name):
    counter[name] -= 1
    if not counter[name]:
        del counter[name]
