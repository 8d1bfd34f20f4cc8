"""Pacing of long bodies to the capacity of the VM's network link.

The load that this answers: a few services respond with bodies of 100 KB, while short
requests and replies of calls pass over the same link of 10 Mbit/s. All that is handed
to the system is sent in its order, so that each short frame waits behind all bodies in
the buffers of all connections: 0.4 s with eight of them. Bodies are therefore handed
over no faster than the link sends them, in parts, and short frames at once.
"""

import contextlib
import itertools

import trio
from sortedcontainers import SortedList

# Share of the link that bodies may take; the rest is for short frames.
BODY_SHARE = 0.9
# Time in which the link sends one part of a body: a short frame waits about as long,
# less than a tenth of the shortest latency goal of the users' calls (155 ms).
PART_S = 0.01
# Least length of a part: shorter ones would cost more processor time than they gain.
MIN_PART_BYTES = 8192
# Greatest length of a part; a link that sends it in ``PART_S`` needs no pacing.
MAX_PART_BYTES = 65536
# Time for which the link may be ahead of the bodies: a late timer leaves no gap.
BURST_S = 0.005
# Weight of the newest response in the mean length of a route's responses.
LENGTH_WEIGHT = 0.1
# Share of a request's remaining time within which its response has to be sent.
USABLE_TIME_SHARE = 0.85
# Bounds of the retry delay of a request that is refused for the link, in seconds:
# shorter ones are not worth a connection, and clients wait no longer.
RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S = 0.1, 2.0


def link_refusal(run_s, wait_s, send_s, latency_goal_s, remaining_s):
    """Return the retry delay if the link has no room for a response, else None.

    The load: clients ask for more bytes than the links of a service's VMs can send.
    What is accepted is sent within its latency goal; otherwise the link would carry as
    much, but all of it late. A response that takes longer than its goal on an idle link
    may wait up to its deadline.

    Parameters
    ----------
    run_s : float
        Time that the target is expected to take, in seconds.
    wait_s, send_s : float
        Time until the link has sent the bodies before this one, and time that it takes
        for this one, in seconds.
    latency_goal_s, remaining_s : float
        Times until the response is due, and until the deadline, in seconds.

    Returns
    -------
    retry_after_s : float or None
    """
    limit_s = USABLE_TIME_SHARE * remaining_s
    if run_s + send_s <= latency_goal_s:
        limit_s = min(limit_s, latency_goal_s)
    late_s = max(run_s, wait_s) + send_s - limit_s
    # A short frame that was just sent, as a ping, is no body before this one.
    if late_s <= 0 or wait_s <= BURST_S:
        return None
    return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, late_s))


class ResponseLengths:
    """Mean length of the responses of each route at the target of this VM, in bytes."""

    def __init__(self):
        self._means = {}

    def record(self, route, size):
        """Record the length of a response."""
        last = self._means.get(route, size)
        self._means[route] = last + LENGTH_WEIGHT * (size - last)

    def mean(self, route):
        """Return the mean length; 0 before the first response."""
        return self._means.get(route, 0.0)


class LinkPacer:
    """Times at which parts of bodies are sent, for all connections of a node.

    Parts of the body that began first are sent first: if all bodies shared the link,
    all of them would be late.

    Parameters
    ----------
    bytes_per_s : float
        Capacity of the VM's network link.

    Attributes
    ----------
    part_bytes : int
        Length of a part of a body; longer bodies are sent in parts.
    waited_s : float
        Time in seconds for which parts have waited so far.
    """

    def __init__(self, bytes_per_s):
        self._bytes_per_s = bytes_per_s
        part_bytes = int(min(bytes_per_s * PART_S, MAX_PART_BYTES))
        self.part_bytes = min(MAX_PART_BYTES, max(MIN_PART_BYTES, part_bytes))
        self.paced = part_bytes < MAX_PART_BYTES
        # When the link has sent all that was handed over.
        self._free_at = 0.0
        # Bodies of which a part waits, the first one first, and bytes of all bodies
        # that have begun and are not handed over yet.
        self._waiting = SortedList(key=lambda body: body.number)
        self._numbers = itertools.count()
        self.unsent_bytes = 0
        self.waited_s = 0.0

    def inline_limit(self, max_bytes):
        """Return the longest body that is sent within its frame."""
        return min(max_bytes, self.part_bytes) if self.paced else max_bytes

    def body_wait_s(self, now):
        """Return the time in seconds until a body that begins now would be sent."""
        if not self.paced:
            return 0.0
        bodies_s = self.unsent_bytes / (BODY_SHARE * self._bytes_per_s)
        return max(0.0, self._free_at - now) + bodies_s

    def send_s(self, size):
        """Return the time in seconds that the link takes for a body."""
        return size / (BODY_SHARE * self._bytes_per_s) if self.paced else 0.0

    def count(self, size):
        """Count the bytes of a frame that is sent at once."""
        if self.paced:
            self._take(size, self._bytes_per_s)

    def _take(self, size, bytes_per_s):
        self._free_at = max(trio.current_time(), self._free_at) + size / bytes_per_s

    @contextlib.contextmanager
    def expect(self, size):
        """Count a body that will be sent when its response is there."""
        self.unsent_bytes += size
        try:
            yield
        finally:
            self.unsent_bytes -= size

    def begin(self, size):
        """Return a ``PacedBody`` of ``size`` bytes, a context manager."""
        return PacedBody(self, next(self._numbers), size)

    async def _wait(self, body, size):
        started = trio.current_time()
        self._waiting.add(body)
        try:
            while True:
                if self._waiting[0] is body:
                    delay_s = self._free_at - BURST_S - trio.current_time()
                    if delay_s <= 0:
                        break
                    with trio.move_on_after(delay_s):
                        await body.woken.wait()
                else:
                    await body.woken.wait()
                body.woken = trio.Event()
        finally:
            self._waiting.remove(body)
            if self._waiting:
                self._waiting[0].woken.set()
        self.waited_s += trio.current_time() - started
        self._take(size, BODY_SHARE * self._bytes_per_s)


class PacedBody:
    """A body that is being sent in parts."""

    def __init__(self, pacer, number, size):
        self._pacer = pacer
        self._unsent_bytes = size
        self.number = number
        self.woken = trio.Event()

    def __enter__(self):
        self._pacer.unsent_bytes += self._unsent_bytes
        return self

    def __exit__(self, *error):
        self._pacer.unsent_bytes -= self._unsent_bytes

    @contextlib.contextmanager
    def stalled(self):
        """Do not count the rest of the body, which its receiver does not read."""
        unsent_bytes = self._unsent_bytes
        self._pacer.unsent_bytes -= unsent_bytes
        try:
            yield
        finally:
            self._pacer.unsent_bytes += unsent_bytes

    async def wait(self, size):
        """Wait until the next part may be sent, and count it."""
        if self._pacer.paced:
            await self._pacer._wait(self, size)
        self._unsent_bytes -= size
        self._pacer.unsent_bytes -= size
