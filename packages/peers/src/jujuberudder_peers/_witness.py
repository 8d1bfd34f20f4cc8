"""The witness, which grants renewals of the leases of other incarnations."""

from ._lease import LEASE_S
from ._messages import Granted, Refused, Sealed

# Largest difference between the rates of two clocks, as a share of the time measured.
CLOCK_DRIFT = 0.01
GRANT_S = LEASE_S * (1 + CLOCK_DRIFT)
# A witness refuses to seal an incarnation that renewed within this time. It is longer
# than the renewal interval of a third of a second and shorter than the time after
# which a coordinator starts a takeover. Without the refusal, the loss of one link ends
# the lease of a healthy incarnation.
RENEWED_WITHIN_S = 0.4


def log_grant_s(state):
    """Return how long an incarnation may hold a lease that a record of the log grants.

    Parameters
    ----------
    state : Incarnation

    Returns
    -------
    grant_s : float
        Seconds, counted from the time at which the newest record of the incarnation
        was read.
    """
    return state.log_lease_s * (1 + CLOCK_DRIFT)


class Witness:
    """Grants that this node has issued to other incarnations.

    Parameters
    ----------
    lease : Lease
        This node's own lease. The node issues grants only while it holds this lease,
        because a witness that the log records as dead counts as sealed.
    alive : callable
        Whether an incarnation is alive in this node's fold of the log. The witness
        refuses incarnations that are dead there, so their state can be dropped.
    """

    def __init__(self, lease, alive):
        self._lease = lease
        self._alive = alive
        self._grant_expires_at = {}
        self._last_seen_at = {}
        self._sealed = set()

    def watch(self, incarnation, now):
        """Expect renewals of an incarnation that named this node as a witness."""
        self._last_seen_at[incarnation] = now

    def forget(self, incarnation):
        """Drop the state of an incarnation that is dead in the fold."""
        self._grant_expires_at.pop(incarnation, None)
        self._last_seen_at.pop(incarnation, None)
        self._sealed.discard(incarnation)

    def last_seen_at(self, incarnation):
        """Return the time of the last renewal request of an incarnation, or None.

        Without a request, it is the time at which ``watch`` was called.
        """
        return self._last_seen_at.get(incarnation)

    def has_granted(self, incarnation):
        """Return whether the witness has granted a renewal, or sealed the incarnation.

        The state is kept until ``forget``.
        """
        return incarnation in self._grant_expires_at

    def watched(self):
        """Return the incarnations whose renewals this node expects."""
        return list(self._last_seen_at)

    def silent(self, now, threshold_s):
        """Return the incarnations without a renewal request for ``threshold_s``."""
        return [
            incarnation
            for incarnation, seen_at in self._last_seen_at.items()
            if now - seen_at >= threshold_s
        ]

    def renew(self, incarnation, now):
        """Grant or refuse a renewal request.

        Returns
        -------
        reply : Granted or Refused
        """
        if not self._alive(incarnation):
            return Refused("not alive in the log")
        self._last_seen_at[incarnation] = now
        if incarnation in self._sealed:
            return Refused("sealed")
        if not self._lease.held(now):
            return Refused("witness holds no lease")
        self._grant_expires_at[incarnation] = now + GRANT_S
        return Granted()

    def seal(self, incarnation, now):
        """Seal an incarnation unless it has renewed within ``RENEWED_WITHIN_S``.

        The witness never grants another renewal to a sealed incarnation.

        Returns
        -------
        reply : Sealed or Refused
            ``Sealed`` contains the time until the last grant expires, in seconds;
            ``GRANT_S`` if nothing was ever granted.
        """
        if incarnation not in self._sealed and self._renewed_recently(incarnation, now):
            return Refused("renews")
        self._sealed.add(incarnation)
        expires_at = self._grant_expires_at.setdefault(incarnation, now + GRANT_S)
        return Sealed(max(0.0, expires_at - now))

    def _renewed_recently(self, incarnation, now):
        expires_at = self._grant_expires_at.get(incarnation, float("-inf"))
        return expires_at - now > GRANT_S - RENEWED_WITHIN_S
