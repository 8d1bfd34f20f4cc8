"""Chooses a target for a request without a key."""

import math
import random

import trio

# Weight of the newest observation in a mean.
OBSERVED_WEIGHT = 0.2
FIRST_LATENCY_S = 0.01
LATENCY_FLOOR_S = 0.001
# With 1, targets are 3 to 8 points more imbalanced in bench/choice.py.
QUEUE_WEIGHT = 4.0
# Price and delay of crossing availability zones. A fourth of it crosses 1.2 to 1.7
# times as often in bench/choice.py, at the same latency.
CROSSING_S = 0.032
# A target whose last requests all failed costs as much as this delay.
FAILURE_S = 1.0
# What was seen of a target that gets no requests fades, so that it is tried again.
FORGET_S = 5.0
# After a failure a target gets no request for a moment.
AVOID_S = 0.5


class TargetObservations:
    """What this node saw of one target."""

    def __init__(self):
        self.in_flight = 0
        self.latency_s = FIRST_LATENCY_S
        self.failures = 0.0
        self.avoid_until = -math.inf
        self.seen_at = -math.inf

    def fade(self, now):
        """Move what was seen towards what is assumed of an unknown target."""
        kept = math.exp(-(now - self.seen_at) / FORGET_S)
        self.latency_s = FIRST_LATENCY_S + (self.latency_s - FIRST_LATENCY_S) * kept
        self.failures *= kept
        self.seen_at = now


class TrackedRequest:
    """A request in flight to a target; a context manager."""

    def __init__(self, observed):
        self._observed = observed
        self._started = trio.current_time()
        self.failed = False

    def __enter__(self):
        self._observed.in_flight += 1
        return self

    def record_response(self, answer):
        """Note the head of an answer."""
        observed, now = self._observed, trio.current_time()
        # A target that fails fast must not look like a fast one.
        self.failed = answer.status >= 500
        observed.fade(now)
        _approach(observed, "latency_s", now - self._started)

    def __exit__(self, *error):
        observed = self._observed
        observed.in_flight -= 1
        observed.fade(trio.current_time())
        _approach(observed, "failures", float(self.failed))
        if self.failed:
            observed.avoid_until = trio.current_time() + AVOID_S


def _approach(observed, name, value):
    before = getattr(observed, name)
    setattr(observed, name, before + (value - before) * OBSERVED_WEIGHT)


class TargetSelector:
    """Chooses the target with the least expected delay.

    Parameters
    ----------
    here : callable
        Returns the incarnation of this node.
    load : callable
        Returns the requests at the target beside this node.
    generator : random.Random, default=None
        Breaks ties.
    """

    def __init__(self, here, load, generator=None):
        self._here = here
        self._load = load
        self._random = generator or random.Random()
        self._observed = {}

    def track(self, incarnation):
        """Return the TrackedRequest of a request to a node."""
        return TrackedRequest(
            self._observed.setdefault(incarnation, TargetObservations())
        )

    def choose(self, candidates, slots, weights=None):
        """Return ``(incarnation, reason)``.

        Parameters
        ----------
        candidates : dict of str to bool
            Whether each incarnation is in the availability zone of this node.
        slots : int
            Of each target.
        weights : dict of str to float, default=None
            Divide the expected delay of each incarnation; 1 if missing.
        """
        for gone in self._observed.keys() - candidates.keys():
            if not self._observed[gone].in_flight:
                del self._observed[gone]
        now = trio.current_time()
        weights = weights or {}
        costs = {
            c: self._cost(c, same, slots, now) / weights.get(c, 1.0)
            for c, same in candidates.items()
        }
        chosen = min(costs, key=lambda c: (costs[c], self._random.random()))
        return chosen, f"least expected delay {costs[chosen] * 1000:.1f} ms"

    def _cost(self, incarnation, same_zone, slots, now):
        observed = self._observed.setdefault(incarnation, TargetObservations())
        queued = observed.in_flight
        if incarnation == self._here():
            queued = self._load()
        observed.fade(now)
        service_s = max(LATENCY_FLOOR_S, observed.latency_s)
        cost = service_s * (1 + QUEUE_WEIGHT * queued / slots)
        cost += observed.failures * FAILURE_S
        cost += 0 if same_zone else CROSSING_S
        return cost + (FAILURE_S if now < observed.avoid_until else 0)
