"""Choose a target for a request without a key."""

import math
import random

import trio

# Weight of the newest observation in a moving average.
OBSERVED_WEIGHT = 0.2
INITIAL_LATENCY_S = 0.01
LATENCY_FLOOR_S = 0.001
# Weight of the queue length in the expected delay. With 1, targets are 3 to 8 points
# more imbalanced in bench/choice.py.
QUEUE_WEIGHT = 4.0
# Penalty for the price and delay of crossing availability zones. With a fourth of it,
# requests cross zones 1.2 to 1.7 times as often in bench/choice.py, at the same
# latency.
CROSSING_S = 0.032
# Penalty of a target whose recent requests all failed, as a delay.
FAILURE_S = 1.0
# Time constant with which observations of a target without requests decay, so that it
# is tried again.
FORGET_S = 5.0
# Time after a failure during which a target is avoided.
AVOID_S = 0.5


class TargetObservations:
    """Observations of one target by this node."""

    def __init__(self):
        self.in_flight = 0
        self.latency_s = INITIAL_LATENCY_S
        self.failures = 0.0
        self.avoid_until = -math.inf
        self.decayed_at = -math.inf

    def decay(self, now):
        """Decay the observations towards the assumptions about an unknown target."""
        factor = math.exp(-(now - self.decayed_at) / FORGET_S)
        self.latency_s = (
            INITIAL_LATENCY_S + (self.latency_s - INITIAL_LATENCY_S) * factor
        )
        self.failures *= factor
        self.decayed_at = now


class TrackedRequest:
    """Context manager that observes a request in flight to a target."""

    def __init__(self, observations):
        self._observations = observations
        self._started = trio.current_time()
        self.failed = False

    def __enter__(self):
        self._observations.in_flight += 1
        return self

    def record_response(self, response):
        """Record the latency and the status of a response when its head arrives."""
        observations, now = self._observations, trio.current_time()
        # A target that fails quickly must not count as a fast one.
        self.failed = response.status >= 500
        observations.decay(now)
        _update_mean(observations, "latency_s", now - self._started)

    def __exit__(self, *error):
        observations = self._observations
        observations.in_flight -= 1
        observations.decay(trio.current_time())
        _update_mean(observations, "failures", float(self.failed))
        if self.failed:
            observations.avoid_until = trio.current_time() + AVOID_S


def _update_mean(observations, name, value):
    before = getattr(observations, name)
    setattr(observations, name, before + (value - before) * OBSERVED_WEIGHT)


class TargetSelector:
    """Chooses the target with the least expected delay.

    Parameters
    ----------
    own_incarnation : callable
        Returns the incarnation of this node.
    load : callable
        Returns the number of requests at the local target, queued ones included.
    generator : random.Random, default=None
        Breaks ties.
    """

    def __init__(self, own_incarnation, load, generator=None):
        self._own_incarnation = own_incarnation
        self._load = load
        self._random = generator or random.Random()
        self._observations = {}

    def track(self, incarnation):
        """Return a TrackedRequest for a request to an incarnation."""
        return TrackedRequest(
            self._observations.setdefault(incarnation, TargetObservations())
        )

    def choose(self, candidates, slots, weights=None):
        """Choose a target.

        Parameters
        ----------
        candidates : dict of str to bool
            Whether each incarnation is in the availability zone of this node.
        slots : int
            Number of slots of each target.
        weights : dict of str to float, default=None
            Weights by incarnation, 1 if missing. The expected delay is divided by the
            weight.

        Returns
        -------
        incarnation : str
        reason : str
        """
        for removed in self._observations.keys() - candidates.keys():
            if not self._observations[removed].in_flight:
                del self._observations[removed]
        now = trio.current_time()
        weights = weights or {}
        costs = {
            c: self._cost(c, same_zone, slots, now) / weights.get(c, 1.0)
            for c, same_zone in candidates.items()
        }
        chosen = min(costs, key=lambda c: (costs[c], self._random.random()))
        return chosen, f"least expected delay {costs[chosen] * 1000:.1f} ms"

    def _cost(self, incarnation, same_zone, slots, now):
        observations = self._observations.setdefault(incarnation, TargetObservations())
        queued = observations.in_flight
        if incarnation == self._own_incarnation():
            queued = self._load()
        observations.decay(now)
        service_s = max(LATENCY_FLOOR_S, observations.latency_s)
        cost = service_s * (1 + QUEUE_WEIGHT * queued / slots)
        cost += observations.failures * FAILURE_S
        cost += 0 if same_zone else CROSSING_S
        return cost + (FAILURE_S if now < observations.avoid_until else 0)
