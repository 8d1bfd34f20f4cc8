"""Shards that this node currently serves, and their requests in flight."""

from collections import Counter
from contextlib import contextmanager

import trio

EXPIRED_CHECK_INTERVAL_S = 0.05


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
        self._released_epochs = {}
        self._handover_epochs = {}
        self._in_flight = Counter()
        self._shard_idle = trio.Event()
        self._leaving = False
        self._guarded_scopes = set()

    @property
    def leaving(self):
        """Whether new requests are no longer admitted."""
        return self._leaving

    def leave(self):
        """Stop admitting new requests."""
        self._leaving = True

    def accept_handover(self, service, prefix, move_epoch):
        """Record that the previous owner released a shard to this node."""
        self._handover_epochs[service, prefix] = move_epoch

    def admitting_epoch(self, service, prefix):
        """Return the epoch under which new requests are admitted, or None."""
        if self._leaving or not self._lease.held(trio.current_time()):
            return None
        return self._serving_epoch(service, prefix, include_moving=False)

    def finishing_epoch(self, service, prefix):
        """Return the epoch under which admitted requests may start, or None.

        A shard that is moving away still finishes its admitted requests.
        """
        if not self._lease.held(trio.current_time()):
            return None
        return self._serving_epoch(service, prefix, include_moving=True)

    def _serving_epoch(self, service, prefix, include_moving):
        shard = self._ownership.shards(service).get(prefix)
        if shard is None:
            return None
        shard_id = (service, prefix)
        if shard.owner == self._incarnation:
            if self._released_epochs.get(shard_id) == shard.epoch:
                return None
            return None if shard.destination and not include_moving else shard.epoch
        is_destination = shard.destination == self._incarnation
        if is_destination and self._handover_epochs.get(shard_id) == shard.move_epoch:
            return shard.move_epoch
        return None

    @contextmanager
    def cancelled_on_lease_end(self):
        """Cancel the block when the lease expires; yields the cancel scope.

        A request that continues after the lease could run concurrently with requests
        of the next owner for the same key.
        """
        with trio.CancelScope() as scope:
            self._guarded_scopes.add(scope)
            try:
                yield scope
            finally:
                self._guarded_scopes.discard(scope)

    async def run_lease_guard(self):
        """Cancel the guarded blocks each time the lease expires; never returns."""
        while True:
            if self._lease.held(trio.current_time()):
                await trio.sleep_until(self._lease.until)
            else:
                self.cancel_guarded()
                await trio.sleep(EXPIRED_CHECK_INTERVAL_S)

    def cancel_guarded(self):
        """Cancel all blocks inside `cancelled_on_lease_end`."""
        for scope in self._guarded_scopes:
            scope.cancel()

    def release(self, service, prefix, epoch):
        """Stop serving a shard at an epoch permanently."""
        self._released_epochs[service, prefix] = epoch

    def released(self, service, prefix, epoch):
        """Return whether this node released the shard at an epoch."""
        return self._released_epochs.get((service, prefix)) == epoch

    def kept_since(self, service, prefix, epoch):
        """Return whether no part of a shard was released by this node since an epoch.

        Splits and merges raise the epoch without changing the owner.
        """
        return not any(
            other_service == service
            and released >= epoch
            and (other_prefix.startswith(prefix) or prefix.startswith(other_prefix))
            for (other_service, other_prefix), released in self._released_epochs.items()
        )

    def enter(self, service, prefix):
        """Count a request in flight."""
        self._in_flight[service, prefix] += 1

    def exit(self, service, prefix):
        """Count a request as finished."""
        self._in_flight[service, prefix] -= 1
        if not self._in_flight[service, prefix]:
            del self._in_flight[service, prefix]
            self._shard_idle.set()
            self._shard_idle = trio.Event()

    def in_flight(self, service=None, prefix=""):
        """Return the number of requests in flight for a shard and overlapping shards.

        Overlapping shards are ancestors and descendants: requests admitted before a
        split or merge are counted under the earlier prefix.

        Parameters
        ----------
        service : str or None
            All services if None.
        """
        return sum(
            count
            for (other_service, other_prefix), count in self._in_flight.items()
            if service in (None, other_service)
            and (other_prefix.startswith(prefix) or prefix.startswith(other_prefix))
        )

    async def wait_idle(self, service=None, prefix=""):
        """Wait until `in_flight` is 0; parameters as there."""
        while self.in_flight(service, prefix):
            await self._shard_idle.wait()
