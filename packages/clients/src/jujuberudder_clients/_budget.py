"""Retry budget: a limit on the share of requests that may be retried."""

RETRY_BURST = 10.0


class RetryBudget:
    """Token bucket for retries: a request adds a share of a token, a retry takes one.

    Without a limit, retries multiply the load of targets that already fail under it.
    """

    def __init__(self):
        self._tokens = RETRY_BURST
        self._spent = 0

    @property
    def tokens(self):
        """Number of retries that remain."""
        return self._tokens

    @property
    def spent(self):
        """Number of retries so far."""
        return self._spent

    def earn(self, share):
        """Add the share of a token that a section allows for each new request."""
        self._tokens = min(RETRY_BURST, self._tokens + share)

    def spend(self):
        """Take a token and return True, or return False if none remains."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        self._spent += 1
        return True
