"""Which shards this node serves right now, and the requests in flight for them."""

from collections import Counter
from contextlib import contextmanager

import trio

GUARD_TICK_S = 0.05


class ServedShards:
    """Serving state of one incarnation.

    Parameters
    ----------
    incarnation : str
    ownership : Ownership
    lease : Lease
    """

    def __init__(self, incarnation, ownership, lease):
        self._incarnation = incarnation
        self._ownership = ownership
        self._lease = lease
        self._released = {}
        self._received = {}
        self._in_flight = Counter()
        self._idle = trio.Event()
        self._leaving = False
        self._guarded = set()

    @property
    def leaving(self):
        """Whether no further work is admitted."""
        return self._leaving

    def leave(self):
        """Admit no further work."""
        self._leaving = True

    def accept_handover(self, service, prefix, move_epoch):
        """Take the word of the former owner that it released a shard to this node."""
        self._received[service, prefix] = move_epoch

    def admitting_epoch(self, service, prefix):
        """Return the epoch under which new requests are admitted, or None."""
        if self._leaving or not self._lease.held(trio.current_time()):
            return None
        return self._epoch(service, prefix, moving=False)

    def finishing_epoch(self, service, prefix):
        """Return the epoch under which admitted requests may start, or None.

        A shard that is moving away still finishes what was admitted.
        """
        if not self._lease.held(trio.current_time()):
            return None
        return self._epoch(service, prefix, moving=True)

    def _epoch(self, service, prefix, moving):
        shard = self._ownership.shards(service).get(prefix)
        if shard is None:
            return None
        name = (service, prefix)
        if shard.owner == self._incarnation:
            if self._released.get(name) == shard.epoch:
                return None
            return None if shard.destination and not moving else shard.epoch
        arrived = shard.destination == self._incarnation
        if arrived and self._received.get(name) == shard.move_epoch:
            return shard.move_epoch
        return None

    @contextmanager
    def cancelled_on_lease_end(self):
        """Cancel the block when the lease lapses; yields the cancel scope.

        Work for a key that goes on past the lease would overlap with that of the next
        owner.
        """
        with trio.CancelScope() as scope:
            self._guarded.add(scope)
            try:
                yield scope
            finally:
                self._guarded.discard(scope)

    async def run_lease_guard(self):
        """Cancel what is guarded whenever the lease lapses, for ever."""
        while True:
            if self._lease.held(trio.current_time()):
                await trio.sleep_until(self._lease.until)
            else:
                self.cancel_guarded()
                await trio.sleep(GUARD_TICK_S)

    def cancel_guarded(self):
        """Cancel what is guarded."""
        for scope in self._guarded:
            scope.cancel()

    def release(self, service, prefix, epoch):
        """Stop serving a shard at an epoch for good."""
        self._released[service, prefix] = epoch

    def released(self, service, prefix, epoch):
        """Return whether this node released the shard at an epoch."""
        return self._released.get((service, prefix)) == epoch

    def kept_since(self, service, prefix, epoch):
        """Return whether a shard did not leave this incarnation since an epoch.

        Splits and merges raise the epoch without a change of owner.
        """
        return not any(
            name == service
            and released >= epoch
            and (other.startswith(prefix) or prefix.startswith(other))
            for (name, other), released in self._released.items()
        )

    def enter(self, service, prefix):
        """Count a request in flight."""
        self._in_flight[service, prefix] += 1

    def exit(self, service, prefix):
        """Count a request as finished."""
        self._in_flight[service, prefix] -= 1
        if not self._in_flight[service, prefix]:
            del self._in_flight[service, prefix]
            self._idle.set()
            self._idle = trio.Event()

    def in_flight(self, service=None, prefix=""):
        """Return the requests in flight for a shard, its ancestors and descendants.

        Parameters
        ----------
        service : str or None
            All services if None.
        """
        return sum(
            count
            for (name, other), count in self._in_flight.items()
            if service in (None, name)
            and (other.startswith(prefix) or prefix.startswith(other))
        )

    async def wait_idle(self, service=None, prefix=""):
        """Wait until nothing is in flight for a shard."""
        while self.in_flight(service, prefix):
            await self._idle.wait()
