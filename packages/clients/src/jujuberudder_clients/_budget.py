"""The share of requests that may be repeated."""

RETRY_BURST = 10.0


class RetryBudget:
    """Tokens for repeats: each request adds a share of one, each repeat takes one.

    Without a limit, repeats multiply the load of targets that already fail under it.
    """

    def __init__(self):
        self._tokens = RETRY_BURST
        self._spent = 0

    @property
    def tokens(self):
        """Repeats that are left."""
        return self._tokens

    @property
    def spent(self):
        """Repeats so far."""
        return self._spent

    def earn(self, share):
        """Note a new request of a section that allows a share of repeats."""
        self._tokens = min(RETRY_BURST, self._tokens + share)

    def spend(self):
        """Return whether a request may be repeated now."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        self._spent += 1
        return True
