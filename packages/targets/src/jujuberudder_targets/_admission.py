"""Admission control for the local target: slots and a queue ordered by deadline."""

import math
from collections import Counter
from contextlib import asynccontextmanager
from typing import NamedTuple

import trio
from result import Err, Ok

from jujuberudder_core import Failure

# Weight of the newest observation in the moving averages of the service time.
SERVICE_TIME_WEIGHT = 0.1
# Calls nested deeper than this are never queued, so that cyclic calls between services
# terminate.
MAX_WAITING_DEPTH = 1
# Share of the slots that is available immediately after a cold start.
SLOW_START_SHARE = 0.25
# Factor by which the capacity shrinks each time the target sheds load.
SHED_FACTOR = 0.7
# Refusals by the target within this interval reduce the capacity only once.
SHED_INTERVAL_S = 0.2


class Limits(NamedTuple):
    """Limits that a section sets for a target.

    Parameters
    ----------
    slots : int
        Maximum number of requests in progress at the target.
    queue : int
        Maximum number of requests in the admission queue.
    call_slots : int
        Slots that client requests leave free for calls between services.
    slow_start_s : float
        Time after a cold start until all slots are available, in seconds.
    """

    slots: int
    queue: int
    call_slots: int = 0
    slow_start_s: float = 5.0


class AdmissionRequest(NamedTuple):
    """A request for a slot of the target.

    Parameters
    ----------
    deadline : float
        Latest time at which the request may complete, on trio's clock.
    client : str
        Address of the client.
    key : str or None
        Routing key, or None for a request without a key.
    depth : int
        Call depth: 0 for a client's request, 1 for a call that a service makes to
        handle it, and so on.
    """

    deadline: float
    client: str = ""
    key: str | None = None
    depth: int = 0


class _Waiter:
    """A request in the admission queue."""

    def __init__(self, request):
        self.request = request
        self.event = trio.Event()
        self.refusal = None


class Admission:
    """Slots and admission queue of one target.

    Parameters
    ----------
    limits : callable
        Returns the Limits of the section in force.
    cold_since : callable
        Returns the time at which the target came up, on trio's clock.
    """

    def __init__(self, limits, cold_since=lambda: -math.inf):
        self._limits = limits
        self._cold_since = cold_since
        self._used = 0
        self._calls_used = 0
        self._by_client = Counter()
        self._by_key = Counter()
        self._queue = []
        self._service_s = 0.0
        self._deviation_s = 0.0
        self._shed_factor = 1.0
        self._shed_at = -math.inf

    @property
    def used(self):
        """Number of slots in use."""
        return self._used

    @property
    def waiting(self):
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def load(self):
        """Number of requests that hold a slot or wait for one."""
        return self._used + len(self._queue)

    @property
    def service_s(self):
        """Moving average of the time for which a request holds a slot, in seconds."""
        return self._service_s

    def capacity(self):
        """Return the number of slots that may be in use now.

        It is below the limit of the section after a cold start and after the target
        has shed load.
        """
        slots, slow_start_s = self._limits().slots, self._limits().slow_start_s
        warm_s = trio.current_time() - self._cold_since()
        warm = min(1.0, warm_s / slow_start_s) if slow_start_s else 1.0
        share = SLOW_START_SHARE + (1 - SLOW_START_SHARE) * warm
        return max(1, math.ceil(slots * min(share, self._shed_factor)))

    def shed(self):
        """Reduce the capacity because the target refused a request under load."""
        now = trio.current_time()
        if now - self._shed_at >= SHED_INTERVAL_S:
            self._shed_at = now
            slots = self._limits().slots
            self._shed_factor = max(1 / slots, self._shed_factor * SHED_FACTOR)

    def retry_after_s(self):
        """Return the estimated wait of a refused request, in whole seconds."""
        return max(1, math.ceil(self._wait_s(len(self._queue))))

    def _wait_s(self, ahead):
        return (ahead + 1) * self._service_s / self.capacity()

    @asynccontextmanager
    async def slot(self, request):
        """Hold a slot, waiting for one until the deadline if none is free.

        Parameters
        ----------
        request : AdmissionRequest

        Yields
        ------
        admitted : Result[None, Failure]
        """
        admitted = await self._acquire(request)
        if admitted.is_err():
            yield admitted
            return
        started = trio.current_time()
        try:
            yield admitted
        finally:
            self._release(request, trio.current_time() - started)

    async def _acquire(self, request):
        if self._has_free_slot(request) and not self._queue:
            self._occupy(request)
            return Ok(None)
        refusal = self._queue_refusal(request)
        if refusal is not None:
            return Err(Failure("admit", "target", refusal))
        waiter = _Waiter(request)
        self._queue.append(waiter)
        self._assign_free_slots()
        try:
            with trio.move_on_at(request.deadline):
                await waiter.event.wait()
        except trio.Cancelled:
            self._cancel_wait(waiter)
            raise
        if not waiter.event.is_set():
            self._queue.remove(waiter)
            waiter.refusal = "deadline passed in queue"
        if waiter.refusal is not None:
            return Err(Failure("admit", "target", waiter.refusal))
        return Ok(None)

    def _cancel_wait(self, waiter):
        """Remove a cancelled waiter, or release the slot it has just been assigned."""
        if not waiter.event.is_set():
            self._queue.remove(waiter)
        elif waiter.refusal is None:
            self._release(waiter.request, None)

    def _queue_refusal(self, request):
        """Return the reason to refuse a request immediately, or None to queue it."""
        if request.depth > MAX_WAITING_DEPTH:
            return "no free slot for a nested call"
        ahead = sum(w.request.deadline <= request.deadline for w in self._queue)
        expected_end = (
            trio.current_time() + self._wait_s(ahead) + self._expected_hold_s()
        )
        if expected_end > request.deadline:
            return "deadline cannot be met"
        if len(self._queue) >= self._limits().queue and not self._evict_for(request):
            return "queue full"
        return None

    def _evict_for(self, request):
        """Evict a request of the client with the most queued requests.

        Returns
        -------
        evicted : bool
            False if the client of ``request`` would itself have as many requests in
            the queue.
        """
        counts = Counter(waiter.request.client for waiter in self._queue)
        if not counts:
            return False
        largest_client, most = counts.most_common(1)[0]
        if counts[request.client] + 1 >= most:
            return False
        evictable = [w for w in self._queue if w.request.client == largest_client]
        self._refuse(max(evictable, key=lambda w: w.request.deadline), "queue full")
        return True

    def _refuse(self, waiter, reason):
        self._queue.remove(waiter)
        waiter.refusal = reason
        waiter.event.set()

    def _has_free_slot(self, request):
        capacity = self.capacity()
        if request.depth:
            # Nested calls use at most half of the slots, so that they do not starve
            # client requests.
            return self._used < capacity and self._calls_used < max(1, capacity // 2)
        reserved = min(self._limits().call_slots, capacity - 1)
        return (
            self._used - self._calls_used < capacity - reserved
            and self._used < capacity
        )

    def _occupy(self, request):
        self._used += 1
        self._calls_used += request.depth > 0
        self._by_client[request.client] += 1
        if request.key is not None:
            self._by_key[request.key] += 1

    def _release(self, request, held_s):
        self._used -= 1
        self._calls_used -= request.depth > 0
        _decrement(self._by_client, request.client)
        if request.key is not None:
            _decrement(self._by_key, request.key)
        if held_s is not None:
            self._record_service_time(held_s)
            # Each completed request restores a tenth of a slot after load was shed.
            self._shed_factor = min(1.0, self._shed_factor + 0.1 / self._limits().slots)
        self._assign_free_slots()

    def _record_service_time(self, held_s):
        weight = SERVICE_TIME_WEIGHT if self._service_s else 1
        deviation_s = abs(held_s - self._service_s) if self._service_s else 0.0
        self._service_s += (held_s - self._service_s) * weight
        self._deviation_s += (deviation_s - self._deviation_s) * weight

    def _expected_hold_s(self):
        """Return an upper estimate of the time for which a request holds a slot.

        It is the mean plus two mean absolute deviations: a request whose deadline
        passes while the target handles it has wasted its slot.
        """
        return self._service_s + 2 * self._deviation_s

    def _assign_free_slots(self):
        """Assign free slots to waiters by deadline, those below their share first."""
        while self._queue and self._used < self.capacity():
            self._refuse_expired()
            waiter = self._next_waiter()
            if waiter is None:
                return
            self._queue.remove(waiter)
            self._occupy(waiter.request)
            waiter.event.set()

    def _refuse_expired(self):
        """Refuse waiters whose deadline would pass while the target handles them."""
        expected_end = trio.current_time() + self._expected_hold_s()
        for waiter in [w for w in self._queue if w.request.deadline < expected_end]:
            self._refuse(waiter, "deadline cannot be met")

    def _next_waiter(self):
        eligible = [w for w in self._queue if self._has_free_slot(w.request)]
        clients = {w.request.client for w in self._queue} | set(self._by_client)
        share = max(1, self.capacity() // max(1, len(clients)))
        key_share = max(1, self.capacity() // 2)

        def rank(waiter):
            request = waiter.request
            over_share = self._by_client[request.client] >= share
            hot_key = request.key is not None and self._by_key[request.key] >= key_share
            return (over_share or hot_key, request.deadline)

        return min(eligible, key=rank, default=None)


def _decrement(counter, name):
    counter[name] -= 1
    if not counter[name]:
        del counter[name]
