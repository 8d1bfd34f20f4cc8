"""The share of requests that may be repeated."""

RETRY_SHARE = 0.1
RETRY_BURST = 10.0


class RetryBudget:
    """Tokens for repeats: each request adds a share of one, each repeat takes one.

    Without a limit, repeats multiply the load of targets that already fail under it.
    """

    def __init__(self):
        self._tokens = RETRY_BURST

    def earn(self):
        """Note a new request."""
        self._tokens = min(RETRY_BURST, self._tokens + RETRY_SHARE)

    def spend(self):
        """Return whether a request may be repeated now."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
