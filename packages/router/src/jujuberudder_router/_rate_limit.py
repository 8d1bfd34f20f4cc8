"""Rate limit that a target states in its responses, and the rate at which it is used.

Only the node beside a target sends requests to it, so the rate is kept in one place.
"""

from typing import NamedTuple

# Requests that may be sent at once after a pause, as the time in seconds for which the
# limit allows them: requests do not arrive evenly.
BURST_S = 0.25
# Requests per second that are sent however low the limit is: only a response tells
# that it has ended.
MIN_RATE = 0.5


class RateLimit(NamedTuple):
    """Rate limit in a response: requests per second, or None for no limit."""

    per_s: float | None


def usable_slots(slots, mean_s, limit):
    """Return how many slots of a target its rate limit keeps busy.

    Parameters
    ----------
    slots : int
    mean_s : float
        Mean time that a request runs, in seconds.
    limit : float or None
        Requests per second.

    Returns
    -------
    usable : float
        Mean number of requests that run at the rate of the limit, by Little's law, at
        most ``slots``.
    """
    if limit is None:
        return slots
    return min(slots, max(limit, MIN_RATE) * mean_s)


class RateLimiter:
    """Keeps the rate limit that the target beside this node states, as a token bucket.

    Attributes
    ----------
    limit : float or None
        Requests per second that the target accepts; None if it states no limit.
    """

    def __init__(self):
        self.limit = None
        self._stated_at = -1.0
        self._tokens = 0.0
        self._filled_at = 0.0

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
            self._fill(now)
            self.limit, self._stated_at = rate_limit.per_s, now
        elif sent_at >= self._stated_at:
            self.limit = None

    def permits(self, now):
        """Whether a request may be sent now."""
        if self.limit is None:
            return True
        self._fill(now)
        return self._tokens >= 1.0

    def count_request(self, now):
        """Count a request that is sent now."""
        if self.limit is not None:
            self._fill(now)
            self._tokens -= 1.0

    def _fill(self, now):
        if self.limit is None:
            # Nothing was counted, so the bucket is empty when a limit begins.
            self._tokens = 0.0
        else:
            rate = max(self.limit, MIN_RATE)
            added = (now - self._filled_at) * rate
            self._tokens = min(self._tokens + added, max(1.0, BURST_S * rate))
        self._filled_at = now
