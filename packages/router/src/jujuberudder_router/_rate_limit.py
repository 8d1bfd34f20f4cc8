"""Rate limit that a target states in its responses."""

from typing import NamedTuple


class RateLimit(NamedTuple):
    """Rate limit in a response: requests per second, or None for no limit."""

    per_s: float | None


class RateLimiter:
    """Rate limit of the target beside this node.

    Attributes
    ----------
    limit : float or None
        Requests per second that the target accepts; None if it states no limit.
    """

    def __init__(self):
        self.limit = None
        self._stated_at = -1.0

    def record(self, rate_limit, sent_at, now):
        """Record the ``RateLimit`` of a response.

        A response without a limit ends the limit only if its request was sent after the
        last response with one had arrived: responses overtake each other.

        Parameters
        ----------
        rate_limit : RateLimit
        sent_at, now : float
            When the request was sent, and the time now, on the node's clock in seconds.
        """
        if rate_limit.per_s is not None:
            self.limit, self._stated_at = rate_limit.per_s, now
        elif sent_at >= self._stated_at:
            self.limit = None
