"""The lease of this node's incarnation and the tasks that renew it."""

import trio

from jujuberudder_core import records

from ._messages import Granted, Refused, Renew

LEASE_S = records.LOG_LEASE_MIN_S
RENEWAL_INTERVAL_S = LEASE_S / 3
RENEWAL_TIMEOUT_S = 0.5


class Lease:
    """Lease of one incarnation, measured by this node's own clock."""

    def __init__(self):
        self._until = float("-inf")
        self._until_by_set = {}
        self._ended = trio.Event()
        self._sealed_by = set()

    @property
    def until(self):
        """Time at which the lease expires, on trio's clock."""
        return self._until

    @property
    def ended(self):
        """Whether the incarnation is dead or sealed and never holds a lease again."""
        return self._ended.is_set()

    @property
    def sealed_by(self):
        """Witnesses that have sealed the incarnation and refuse all its renewals."""
        return self._sealed_by

    def held(self, now):
        """Return whether the lease is held."""
        return not self.ended and now < self._until

    def remaining_s(self, now):
        """Return the seconds until the lease expires; 0 if it is not held."""
        return max(0.0, self._until - now) if not self.ended else 0.0

    def extend(self, sent_at, witnesses=(), lease_s=LEASE_S):
        """Extend the lease to ``lease_s`` after the request for it was sent.

        Parameters
        ----------
        sent_at : float
            Send time of the granted renewal or of the append.
        witnesses : tuple of str
            The witness set that granted it; empty for a record of the log.
        lease_s : float
            Length in seconds; longer than ``LEASE_S`` only if a record of the log
            grants that.
        """
        until = sent_at + lease_s
        self._until = max(self._until, until)
        self._until_by_set = {witnesses: until}

    def held_by_witnesses(self, witnesses, now):
        """Return whether a witness set granted the last extension and it still runs."""
        return not self.ended and now < self._until_by_set.get(witnesses, now)

    def end(self):
        """End the lease permanently."""
        self._ended.set()

    async def wait_ended(self):
        """Wait until the lease has ended permanently."""
        await self._ended.wait()


def majority_sent_at(sent_at_by_witness, witnesses):
    """Return the latest time such that a majority granted renewals sent since then.

    Parameters
    ----------
    sent_at_by_witness : dict of str to float
        Send time of the last granted renewal, by witness.
    witnesses : tuple of str

    Returns
    -------
    sent_at : float or None
        None if no majority has granted a renewal.
    """
    times = [sent_at_by_witness[w] for w in witnesses if w in sent_at_by_witness]
    needed = len(witnesses) // 2 + 1
    if len(times) < needed:
        return None
    return sorted(times, reverse=True)[needed - 1]


async def run_renewals(
    lease, incarnation, witnesses, deployment, call, address_of, extends_lease=True
):
    """Renew the lease with a witness set until the lease has ended.

    The lease ends here when a majority of the set has sealed the incarnation.

    Parameters
    ----------
    lease : Lease
    incarnation : str
    witnesses : tuple of str
    deployment : str
    call : async callable
        ``call(address, message, timeout_s)`` returning ``Result[reply, Failure]``.
    address_of : callable
        Returns the control address of a witness, or None if it is dead.
    extends_lease : bool
        False for the old set during a change of witnesses: the old witnesses still
        receive renewals so that they do not start a takeover, but only the new set
        extends the lease.
    """
    sent_at_by_witness = {}

    async def renew(witness):
        while not lease.ended:
            sent_at = trio.current_time()
            address = address_of(witness)
            if address is not None:
                message = Renew(deployment, witness, incarnation)
                reply = await call(address, message, RENEWAL_TIMEOUT_S)
                if extends_lease:
                    apply_reply(witness, sent_at, reply.ok())
            await trio.sleep_until(sent_at + RENEWAL_INTERVAL_S)

    def apply_reply(witness, sent_at, reply):
        if isinstance(reply, Granted):
            sent_at_by_witness[witness] = sent_at
            granted_at = majority_sent_at(sent_at_by_witness, witnesses)
            if granted_at is not None:
                lease.extend(granted_at, witnesses)
        elif reply == Refused("sealed"):
            lease.sealed_by.add(witness)
            if len(lease.sealed_by & set(witnesses)) > len(witnesses) // 2:
                lease.end()

    async with trio.open_nursery() as nursery:
        for witness in witnesses:
            nursery.start_soon(renew, witness)
