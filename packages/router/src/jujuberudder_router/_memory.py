"""Account of the bytes that a node holds for clients, other nodes and its target.

A body up to ``SMALL_BYTES`` is counted when it has arrived, and refused if there is no
room. Room for a longer one is reserved before it is read: the sender is slowed down by
flow control meanwhile. Such a reservation belongs to a stage of the way of a request,
and each stage may fill the account further than the one before it. So a request never
waits for room that only requests behind it will give back.

Source: the structured buffer pool of Raubold and Haenle, A Method of Deadlock-Free
Resource Allocation and Flow Control in Packet Networks, ICCC 1976.
"""

import math
from collections import deque

import trio

# Longest body that is counted without a reservation: most bodies arrive in one read.
SMALL_BYTES = 65536
# Memory that is not for bodies: the program and its records, and the state of as many
# connections as a VM has descriptors (3,900 of up to 16 KB).
PROGRAM_BYTES, CONNECTIONS_BYTES = 35_000_000, 62_000_000
# Share of the rest for bodies; the allocator keeps some memory that was given back.
BODY_SHARE = 0.9
# Least share of all memory for bodies: a VM with little memory has fewer connections.
MIN_BODY_SHARE = 0.2
# Shares of short and of long bodies of that, and of frames that wait to be sent.
SMALL_SHARE, LARGE_SHARE, FRAME_SHARE = 0.15, 0.75, 0.1
# Longest request for which the last part of the room for short bodies is kept, and the
# share of that room beyond which longer ones are refused.
TINY_BYTES, TINY_RESERVE_SHARE = 16384, 0.8
# Stages of a request: from a client, from another node, response of the target, and
# response that another node passes on to the client.
CLIENT_REQUEST, PEER_REQUEST, TARGET_RESPONSE, CLIENT_RESPONSE = range(4)
# Share of the room for long bodies up to which each stage may fill it.
STAGE_SHARES = (0.6, 0.75, 0.9, 1.0)
# Time without progress after which a body loses its room to one that waits.
STALL_S = 1.0
# Time between two checks in which a body makes no progress: after a pause of the
# process, what has arrived meanwhile is read first.
STALL_CONFIRM_S = 0.1
# Least time between two checks for such bodies by one that waits.
MIN_STALL_CHECK_S = 0.01


def body_limit(memory_bytes):
    """Return how many bytes a process may hold for bodies.

    Parameters
    ----------
    memory_bytes : int
        Memory that the process may use.
    """
    rest_bytes = memory_bytes - PROGRAM_BYTES - CONNECTIONS_BYTES
    return max(MIN_BODY_SHARE * memory_bytes, BODY_SHARE * rest_bytes)


def fits(stage, size, used_bytes, limit_bytes, own_bytes=0):
    """Return whether a reservation of ``size`` bytes may be made at a stage.

    A body that exceeds the share of its stage may be held alone.

    Parameters
    ----------
    stage : int
    size, used_bytes, limit_bytes : int
        Bytes to reserve, reserved bytes of all stages, and their limit.
    own_bytes : int, default=0
        Those of the reserved bytes that belong to the same body.
    """
    if used_bytes + size <= STAGE_SHARES[stage] * limit_bytes:
        return True
    return used_bytes == own_bytes and used_bytes + size <= limit_bytes


class MemoryAccount:
    """Bytes that a node holds, and requests that wait for room.

    Parameters
    ----------
    limit_bytes : float, default=math.inf
        All bytes that may be held.
    log : callable, default=None
        Called for each body that loses its room.

    Attributes
    ----------
    small_limit_bytes, large_limit_bytes, frame_limit_bytes : float
    small_bytes, large_bytes : int
        Bytes counted, and bytes reserved.
    frame_bytes : int
        Bytes of frames that are queued for other nodes.
    """

    def __init__(self, limit_bytes=math.inf, log=None):
        self.small_limit_bytes = SMALL_SHARE * limit_bytes
        self.large_limit_bytes = LARGE_SHARE * limit_bytes
        self.frame_limit_bytes = FRAME_SHARE * limit_bytes
        self.small_bytes = self.large_bytes = self.frame_bytes = 0
        self._log = log
        self._holds = set()
        # Those that wait at each stage, in their order.
        self._queues = [deque() for _ in STAGE_SHARES]

    @property
    def used_bytes(self):
        """All bytes that are counted or reserved."""
        return self.small_bytes + self.large_bytes + self.frame_bytes

    @property
    def waiting(self):
        """Number of bodies that wait for room."""
        return sum(len(queue) for queue in self._queues)

    @property
    def frames_full(self):
        """Whether no body is to be queued for another node at once."""
        return self.frame_bytes >= self.frame_limit_bytes

    def open(self):
        """Return a ``Hold`` without bytes."""
        return Hold(self)

    def count_unsent(self, size):
        """Count bytes of frames that are queued for another node, less if negative."""
        self.frame_bytes += size

    async def _reserve(self, hold, stage, size, timeout_s):
        queue = self._queues[stage]
        if not queue and self._fits(hold, stage, size):
            self._take(hold, size)
            return True
        if hold.large_bytes + size > self.large_limit_bytes:
            return False
        waiter = _Waiter()
        queue.append(waiter)
        try:
            with trio.move_on_after(timeout_s):
                while queue[0] is not waiter:
                    await waiter.wait()
                while not self._take_next(hold, stage, size):
                    with trio.move_on_after(self._next_stall_s()):
                        await waiter.wait()
                return True
        finally:
            queue.remove(waiter)
            self._notify()
        return False

    def _take_next(self, hold, stage, size):
        """Reserve room for the first one in the queue of a stage, if there is any."""
        if not self._fits(hold, stage, size):
            self._evict_stalled()
            if not self._fits(hold, stage, size):
                return False
        self._take(hold, size)
        return True

    def _fits(self, hold, stage, size):
        return fits(
            stage, size, self.large_bytes, self.large_limit_bytes, hold.large_bytes
        )

    def _take(self, hold, size):
        hold.large_bytes += size
        hold.progressed()
        self.large_bytes += size
        self._holds.add(hold)

    def _next_stall_s(self):
        """Return the seconds until a body may lose its room if it makes no progress."""
        now = trio.current_time()
        loses_at = (h.loses_room_at(now) for h in self._holds if h.on_evict is not None)
        return max(MIN_STALL_CHECK_S, min(loses_at, default=now + STALL_S) - now)

    def _evict_stalled(self):
        """Take the room of the body that has made no progress for the longest time."""
        now = trio.current_time()
        stalled = [
            hold
            for hold in self._holds
            if hold.on_evict is not None and hold.confirm_stall(now)
        ]
        if not stalled:
            return
        hold = min(stalled, key=lambda hold: hold.progressed_at)
        if self._log is not None:
            self._log(
                "body_evicted", stalled_s=now - hold.progressed_at,
                held_bytes=hold.large_bytes, waiting=self.waiting,
            )  # fmt: skip
        on_evict, hold.on_evict = hold.on_evict, None
        on_evict()

    def _release(self, hold, small, large):
        hold.small_bytes -= small
        hold.large_bytes -= large
        self.small_bytes -= small
        self.large_bytes -= large
        if not hold.large_bytes:
            self._holds.discard(hold)
        if large:
            self._notify()

    def _notify(self):
        """Wake the first one in the queue of each stage."""
        for queue in self._queues:
            if queue:
                queue[0].wake()


class _Waiter:
    """Place of a body in a queue for room."""

    def __init__(self):
        self._event = trio.Event()

    def wake(self):
        self._event.set()

    async def wait(self):
        await self._event.wait()
        self._event = trio.Event()


class Hold:
    """Bytes that a node holds for one request; a context manager that releases them.

    Parameters
    ----------
    account : MemoryAccount

    Attributes
    ----------
    small_bytes, large_bytes : int
        Bytes counted, and bytes reserved.
    on_evict : callable or None
        Called once if the body loses its room; None while it cannot.
    progressed_at : float
        When the body last made progress, on the node's clock in seconds.
    """

    __slots__ = (
        "_account", "small_bytes", "large_bytes", "on_evict", "progressed_at",
        "_stalled_at",
    )  # fmt: skip

    def __init__(self, account):
        self._account = account
        self.small_bytes = self.large_bytes = 0
        self.on_evict = None
        self.progressed_at = 0.0
        # When a check first found that it makes no progress.
        self._stalled_at = None

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.close()

    def try_count(self, size, may_be_tiny=True):
        """Count bytes of a short body, and return whether there is room for them.

        Parameters
        ----------
        size : int
        may_be_tiny : bool, default=True
            False if the bytes may be the first ones of a longer body.
        """
        account = self._account
        limit_bytes = account.small_limit_bytes
        if not may_be_tiny or self.small_bytes + size > TINY_BYTES:
            limit_bytes *= TINY_RESERVE_SHARE
        if account.small_bytes + size > limit_bytes:
            return False
        self.small_bytes += size
        account.small_bytes += size
        return True

    def count(self, size):
        """Count bytes that are here already and cannot be refused, as a response."""
        self.small_bytes += size
        self._account.small_bytes += size

    async def reserve(self, stage, size, timeout_s=math.inf):
        """Wait until room for a long body is reserved.

        Parameters
        ----------
        stage : int
            One of the stages of this module.
        size : int
        timeout_s : float
            None is left if it is negative.

        Returns
        -------
        reserved : bool
            False if there was no room in time, or never will be.
        """
        return await self._account._reserve(self, stage, size, max(0.0, timeout_s))

    def progressed(self):
        """Record that the body makes progress, so that it keeps its room."""
        self.progressed_at, self._stalled_at = trio.current_time(), None

    def loses_room_at(self, now):
        """Return when the body may lose its room if it makes no progress until then."""
        stalls_at = self.progressed_at + STALL_S
        if self._stalled_at is not None:
            return max(stalls_at, self._stalled_at + STALL_CONFIRM_S)
        return stalls_at if now < stalls_at else now

    def confirm_stall(self, now):
        """Return whether two checks have found that the body makes no progress."""
        if now - self.progressed_at < STALL_S:
            return False
        if self._stalled_at is None:
            self._stalled_at = now
        return now - self._stalled_at >= STALL_CONFIRM_S

    def shrink(self, size):
        """Give back ``size`` reserved bytes."""
        self._account._release(self, 0, size)

    def split(self):
        """Return a new hold with all bytes of this one, which has none then."""
        other = Hold(self._account)
        other.small_bytes, self.small_bytes = self.small_bytes, 0
        if self.large_bytes:
            other.large_bytes, self.large_bytes = self.large_bytes, 0
            self._account._holds.discard(self)
            self._account._holds.add(other)
            other.progressed()
        self.on_evict = None
        return other

    def close(self):
        """Release all bytes."""
        self.on_evict = None
        if self.small_bytes or self.large_bytes:
            self._account._release(self, self.small_bytes, self.large_bytes)
