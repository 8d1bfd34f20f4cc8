"""Load of the placement benchmark: shifting Zipf keys and membership events."""

from typing import NamedTuple

import numpy as np

HASH_BITS = 64
SHIFT_INTERVAL_S = 60
SHIFTED_KEYS = 90


class Deployment(NamedTuple):
    """Size, load and planner weights of a deployment.

    Parameters
    ----------
    targets, zones : int
    slots : int
        Slots of each target.
    rate_per_target : float
        Requests/s per target at the start.
    keys : int
        Number of keys.
    zipf_exponent : float
        Exponent of the distribution of requests over keys.
    placement_weights : dict
        Weights of the planner's cost terms.
    """

    targets: int
    zones: int
    slots: int
    rate_per_target: float
    keys: int
    zipf_exponent: float
    placement_weights: dict


class Scenario(NamedTuple):
    """Changes of load and membership, and faults of reports, during a run.

    Parameters
    ----------
    shift_hot_keys : bool
        Whether the 90 hottest keys change every 60 s.
    membership_changes : bool
        Whether targets join (with reduced capacity at first), drain and fail.
    report_lag_s : float
        Delay of load reports.
    misleading_share : float
        Share of targets whose reports are wrong by a constant factor of 0.3 to 3.
    """

    shift_hot_keys: bool = False
    membership_changes: bool = False
    report_lag_s: float = 0.0
    misleading_share: float = 0.0


LANGO_WEIGHTS = {"unavailable_time": 2.0, "churn": 0.5, "imbalance": 0.5}
CASA_PLUMA_WEIGHTS = {"unavailable_time": 0.5, "churn": 1.0, "imbalance": 1.0}
EVEN_WEIGHTS = {"unavailable_time": 1.0, "churn": 1.0, "imbalance": 1.0}
# The exponent decreases with the size so that the hottest key alone stays below the
# mean load of a target: no placement can divide a key.
DEPLOYMENTS = {
    "lango": Deployment(3, 3, 20, 200.0, 20_000, 1.0, LANGO_WEIGHTS),
    "casa-pluma": Deployment(3, 3, 6, 60.0, 20_000, 1.0, CASA_PLUMA_WEIGHTS),
    "30 targets": Deployment(30, 3, 20, 200.0, 100_000, 0.8, EVEN_WEIGHTS),
    "300 targets": Deployment(300, 10, 20, 200.0, 300_000, 0.6, EVEN_WEIGHTS),
}
SCENARIOS = {
    "steady": Scenario(),
    "shifting": Scenario(shift_hot_keys=True),
    "members": Scenario(membership_changes=True),
    "lagging": Scenario(shift_hot_keys=True, report_lag_s=10.0),
    "misleading": Scenario(shift_hot_keys=True, misleading_share=0.3),
    "all": Scenario(True, True, 10.0, 0.3),
}


class KeyLoad:
    """Request rates of keys, sorted by key hash.

    Parameters
    ----------
    deployment : Deployment
    rng : numpy.random.Generator
    """

    def __init__(self, deployment, rng):
        self._rng = rng
        hashes = rng.integers(0, 2**HASH_BITS, deployment.keys, dtype=np.uint64)
        self.hashes = np.sort(hashes)
        ranks = np.arange(1, deployment.keys + 1)
        rates = 1 / ranks**deployment.zipf_exponent
        self._rates_by_rank = (
            rates / rates.sum() * deployment.rate_per_target * deployment.targets
        )
        self._keys_by_rank = rng.permutation(deployment.keys)
        self._update_rates()

    def _update_rates(self):
        self.rates = np.empty_like(self._rates_by_rank)
        self.rates[self._keys_by_rank] = self._rates_by_rank
        self._cumulative_rates = np.concatenate([[0.0], np.cumsum(self.rates)])

    def shift_hot_keys(self):
        """Swap the rates of the 90 hottest keys with those of 90 random colder keys."""
        cold = self._rng.choice(
            np.arange(SHIFTED_KEYS, len(self._keys_by_rank)),
            SHIFTED_KEYS,
            replace=False,
        )
        hot = self._keys_by_rank[:SHIFTED_KEYS].copy()
        self._keys_by_rank[:SHIFTED_KEYS] = self._keys_by_rank[cold]
        self._keys_by_rank[cold] = hot
        self._update_rates()

    @property
    def hottest(self):
        """Indices of the hottest keys, hottest first."""
        return self._keys_by_rank[:2000]

    def shard_rates(self, prefixes):
        """Return the true rates of shards in requests/s, in the order given."""
        starts = [int(p.ljust(HASH_BITS, "0"), 2) for p in prefixes]
        ends = [int(p.ljust(HASH_BITS, "1"), 2) for p in prefixes]
        low = np.searchsorted(self.hashes, np.array(starts, dtype=np.uint64))
        high = np.searchsorted(self.hashes, np.array(ends, dtype=np.uint64), "right")
        return self._cumulative_rates[high] - self._cumulative_rates[low]


def membership_events(deployment, duration_s):
    """Return ``(second, kind, count)`` of membership events.

    Each event concerns a tenth of the targets, at least one.
    """
    count = max(1, deployment.targets // 10)
    kinds = ("join", "lose", "join", "drain")
    return [
        (duration_s * (n + 1) / (len(kinds) + 1), kind, count)
        for n, kind in enumerate(kinds)
    ]
