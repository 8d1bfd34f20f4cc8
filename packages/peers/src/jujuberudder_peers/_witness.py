"""The witness: promises to incarnations that renew their leases with this node."""

from jujuberudder_core import Failure

from ._lease import LEASE_S
from ._messages import Granted, Refused, Sealed

DRIFT = 0.01
GRANT_S = LEASE_S * (1 + DRIFT)


class Witness:
    """Grants given by this node.

    Parameters
    ----------
    lease : Lease
        This node's own lease: it acknowledges others only while holding it, because a
        witness that the log records as dead counts as sealed.
    """

    def __init__(self, lease):
        self._lease = lease
        self._granted_until = {}
        self._last_seen = {}
        self._sealed = set()

    def watch(self, incarnation, now):
        """Expect renewals of an incarnation that named this node as its witness."""
        self._last_seen.setdefault(incarnation, now)

    def forget(self, incarnation):
        """Drop the state of a dead incarnation; it stays sealed through the log."""
        self._granted_until.pop(incarnation, None)
        self._last_seen.pop(incarnation, None)
        self._sealed.discard(incarnation)

    def heard_at(self, incarnation):
        """Return when an incarnation was last heard of, or None."""
        return self._last_seen.get(incarnation)

    def silent(self, now, threshold_s):
        """Return the incarnations not heard of for ``threshold_s``."""
        return [k for k, seen in self._last_seen.items() if now - seen >= threshold_s]

    def renew(self, incarnation, now):
        """Acknowledge a renewal.

        Returns
        -------
        reply : Granted or Refused
        """
        if incarnation in self._sealed:
            return Refused("sealed")
        if not self._lease.held(now):
            return Refused("witness holds no lease")
        self._last_seen[incarnation] = now
        self._granted_until[incarnation] = now + GRANT_S
        return Granted()

    def seal(self, incarnation, now):
        """Never acknowledge the incarnation again.

        Returns
        -------
        reply : Sealed
            With the full grant time if nothing was ever granted.
        """
        self._sealed.add(incarnation)
        until = self._granted_until.setdefault(incarnation, now + GRANT_S)
        return Sealed(max(0.0, until - now))


def refuse_foreign(deployment, message):
    """Return a failure if a message belongs to another deployment, else None."""
    if message.deployment == deployment:
        return None
    reason = f"deployment {message.deployment!r} is not {deployment!r}"
    return Failure("accept", "peer", reason)
