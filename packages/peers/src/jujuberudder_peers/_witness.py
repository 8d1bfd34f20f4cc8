"""The witness: promises to incarnations that renew their leases with this node."""

from ._lease import LEASE_S
from ._messages import Granted, Refused, Sealed

DRIFT = 0.01
GRANT_S = LEASE_S * (1 + DRIFT)
# Above the renewal interval of a third of a second, and below the time after which a
# coordinator acts. Without this refusal, the loss of one link ended a healthy lease.
RENEWING_S = 0.4


def log_grant_s(state):
    """Return how long after its newest record was read an incarnation may hold a lease.

    Parameters
    ----------
    state : Incarnation
    """
    return state.log_lease_s * (1 + DRIFT)


class Witness:
    """Grants given by this node.

    Parameters
    ----------
    lease : Lease
        This node's own lease: it acknowledges others only while holding it, because a
        witness that the log records as dead counts as sealed.
    alive : callable
        Whether an incarnation is alive in this node's fold. What is dead there is
        refused, so that the state of dead incarnations can be dropped.
    """

    def __init__(self, lease, alive):
        self._lease = lease
        self._alive = alive
        self._granted_until = {}
        self._last_seen = {}
        self._sealed = set()

    def watch(self, incarnation, now):
        """Expect renewals of an incarnation that named this node as its witness."""
        self._last_seen[incarnation] = now

    def forget(self, incarnation):
        """Drop the state of an incarnation that the fold records as dead."""
        self._granted_until.pop(incarnation, None)
        self._last_seen.pop(incarnation, None)
        self._sealed.discard(incarnation)

    def last_seen_at(self, incarnation):
        """Return when an incarnation was last heard of, or None."""
        return self._last_seen.get(incarnation)

    def granted(self, incarnation):
        """Return whether a renewal of the incarnation was ever acknowledged."""
        return incarnation in self._granted_until

    def watched(self):
        """Return the incarnations that this node expects renewals of."""
        return list(self._last_seen)

    def silent(self, now, threshold_s):
        """Return the incarnations not heard of for ``threshold_s``."""
        return [k for k, seen in self._last_seen.items() if now - seen >= threshold_s]

    def renew(self, incarnation, now):
        """Acknowledge a renewal.

        Returns
        -------
        reply : Granted or Refused
        """
        if not self._alive(incarnation):
            return Refused("not alive in the log")
        self._last_seen[incarnation] = now
        if incarnation in self._sealed:
            return Refused("sealed")
        if not self._lease.held(now):
            return Refused("witness holds no lease")
        self._granted_until[incarnation] = now + GRANT_S
        return Granted()

    def seal(self, incarnation, now):
        """Never acknowledge the incarnation again, unless it renews at present.

        Returns
        -------
        reply : Sealed or Refused
            Sealed with the full grant time if nothing was ever granted.
        """
        if incarnation not in self._sealed and self._renews(incarnation, now):
            return Refused("renews")
        self._sealed.add(incarnation)
        until = self._granted_until.setdefault(incarnation, now + GRANT_S)
        return Sealed(max(0.0, until - now))

    def _renews(self, incarnation, now):
        granted_until = self._granted_until.get(incarnation, float("-inf"))
        return granted_until - now > GRANT_S - RENEWING_S
