"""The lease of this node's incarnation and the tasks that renew it."""

import trio

from jujuberudder_core import records

from ._messages import Granted, Refused, Renew

LEASE_S = records.LOG_LEASE_MIN_S
RENEW_INTERVAL_S = LEASE_S / 3
RENEW_TIMEOUT_S = 0.5


class Lease:
    """Lease of one incarnation by this node's own clock."""

    def __init__(self):
        self._until = float("-inf")
        self._until_by_set = {}
        self._ended = trio.Event()
        self._sealed_by = set()

    @property
    def until(self):
        """Time at which the lease ends, in the runtime's clock."""
        return self._until

    @property
    def ended(self):
        """Whether the incarnation is dead or sealed and never holds a lease again."""
        return self._ended.is_set()

    @property
    def sealed_by(self):
        """Witnesses that refuse the incarnation for good."""
        return self._sealed_by

    def held(self, now):
        """Return whether the lease is held."""
        return not self.ended and now < self._until

    def remaining_s(self, now):
        """Return the seconds left, 0 if it is not held."""
        return max(0.0, self._until - now) if not self.ended else 0.0

    def extend(self, sent_at, witnesses=(), lease_s=LEASE_S):
        """Extend the lease to ``lease_s`` after the send time of what was granted.

        Parameters
        ----------
        sent_at : float
        witnesses : tuple of str
            The set that granted it; empty for a record of the log.
        lease_s : float
            Longer than ``LEASE_S`` only if a record of the log says so.
        """
        until = sent_at + lease_s
        self._until = max(self._until, until)
        self._until_by_set = {witnesses: until}

    def held_by_witnesses(self, witnesses, now):
        """Return whether the lease is held on the word of a witness set."""
        return not self.ended and now < self._until_by_set.get(witnesses, now)

    def end(self):
        """End the lease for good."""
        self._ended.set()

    async def wait_ended(self):
        """Wait until the lease has ended for good."""
        await self._ended.wait()


def majority_sent(sent_by_witness, witnesses):
    """Return the send time that a majority of the witnesses has acknowledged.

    Parameters
    ----------
    sent_by_witness : dict of str to float
        Send time of the last acknowledged renewal, by witness.
    witnesses : tuple of str

    Returns
    -------
    sent_at : float or None
    """
    times = [sent_by_witness[w] for w in witnesses if w in sent_by_witness]
    needed = len(witnesses) // 2 + 1
    if len(times) < needed:
        return None
    return sorted(times, reverse=True)[needed - 1]


async def run_renewals(
    lease, incarnation, witnesses, deployment, call, address_of, counts=True
):
    """Renew the lease with a set of witnesses until a majority refuses for good.

    Parameters
    ----------
    lease : Lease
    incarnation : str
    witnesses : tuple of str
    counts : bool
        False for the old set during a change of witnesses: its members must not find
        the incarnation silent, but only the new set extends the lease.
    call : async callable
        ``call(address, message)`` returning ``Result[reply, Failure]``.
    address_of : callable
        Control address of a witness, or None if it is dead.
    """
    sent_by_witness = {}

    async def renew(witness):
        while not lease.ended:
            sent_at = trio.current_time()
            address = address_of(witness)
            if address is not None:
                message = Renew(deployment, witness, incarnation)
                reply = await call(address, message, RENEW_TIMEOUT_S)
                if counts:
                    take(witness, sent_at, reply.ok())
            await trio.sleep_until(sent_at + RENEW_INTERVAL_S)

    def take(witness, sent_at, reply):
        if isinstance(reply, Granted):
            sent_by_witness[witness] = sent_at
            acknowledged = majority_sent(sent_by_witness, witnesses)
            if acknowledged is not None:
                lease.extend(acknowledged, witnesses)
        elif reply == Refused("sealed"):
            lease.sealed_by.add(witness)
            if len(lease.sealed_by & set(witnesses)) > len(witnesses) // 2:
                lease.end()

    async with trio.open_nursery() as nursery:
        for witness in witnesses:
            nursery.start_soon(renew, witness)
