"""Whether the target beside this node is being emptied, and for how long."""

import trio

# New work ends this long after the drain began; the promise is 2 s.
GRACE_S = 1.5
POLL_S = 0.1


class Drain:
    """The time since which the node leaves or a section drains it.

    Parameters
    ----------
    leaving : callable
        Returns whether the node is leaving or drained now.
    """

    def __init__(self, leaving):
        self._leaving = leaving
        self._since = None

    @property
    def over(self):
        """Whether admitted requests must not start any more."""
        since = self._since
        return since is not None and trio.current_time() - since >= GRACE_S

    async def watch(self):
        """Note begin and end of a drain, for ever."""
        while True:
            if not self._leaving():
                self._since = None
            elif self._since is None:
                self._since = trio.current_time()
            await trio.sleep(POLL_S)
