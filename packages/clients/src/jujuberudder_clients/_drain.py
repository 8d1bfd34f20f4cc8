"""Drain state of the local target."""

import trio

# Time after the start of a drain from which no new work starts, below the guaranteed
# limit of 2 s.
GRACE_S = 1.5
POLL_S = 0.1


class Drain:
    """Tracks when the node began to leave or a section began to drain it.

    Parameters
    ----------
    leaving : callable
        Returns whether the node is leaving or being drained.
    """

    def __init__(self, leaving):
        self._leaving = leaving
        self._since = None

    @property
    def grace_elapsed(self):
        """Whether admitted requests may no longer start."""
        since = self._since
        return since is not None and trio.current_time() - since >= GRACE_S

    async def watch(self):
        """Record the start and the end of drains until cancelled."""
        while True:
            if not self._leaving():
                self._since = None
            elif self._since is None:
                self._since = trio.current_time()
            await trio.sleep(POLL_S)
