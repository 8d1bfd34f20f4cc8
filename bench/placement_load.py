"""Load sequences for the placement bench: shifting Zipf keys and membership events."""

from typing import NamedTuple

import numpy as np

HASH_BITS = 64
SHIFT_S = 60
SHIFTED_KEYS = 90


class Deployment(NamedTuple):
    """Size of a deployment; ``rate`` is requests/s per target at the start."""

    targets: int
    zones: int
    slots: int
    rate: float
    keys: int
    exponent: float
    weights: dict


class Scenario(NamedTuple):
    """What happens during a run.

    Parameters
    ----------
    shift : bool
        Whether the 90 hottest keys change every 60 s.
    members : bool
        Whether targets join, drain and are lost, and whether they join cold.
    lag_s : float
        Delay of load reports.
    misleading : float
        Share of targets whose reports are wrong by a constant factor of 0.3 to 3.
    """

    shift: bool = False
    members: bool = False
    lag_s: float = 0.0
    misleading: float = 0.0


LANGO = {"unavailable_time": 2.0, "churn": 0.5, "imbalance": 0.5}
CASA_PLUMA = {"unavailable_time": 0.5, "churn": 1.0, "imbalance": 1.0}
EVEN = {"unavailable_time": 1.0, "churn": 1.0, "imbalance": 1.0}
# The exponent falls with the size so that the hottest key alone stays below the mean
# load of a target; no placement can divide one key.
DEPLOYMENTS = {
    "lango": Deployment(3, 3, 20, 200.0, 20_000, 1.0, LANGO),
    "casa-pluma": Deployment(3, 3, 6, 60.0, 20_000, 1.0, CASA_PLUMA),
    "30 targets": Deployment(30, 3, 20, 200.0, 100_000, 0.8, EVEN),
    "300 targets": Deployment(300, 10, 20, 200.0, 300_000, 0.6, EVEN),
}
SCENARIOS = {
    "steady": Scenario(),
    "shifting": Scenario(shift=True),
    "members": Scenario(members=True),
    "lagging": Scenario(shift=True, lag_s=10.0),
    "misleading": Scenario(shift=True, misleading=0.3),
    "all": Scenario(True, True, 10.0, 0.3),
}


class Load:
    """Rates of keys, sorted by hash.

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
        rates = 1 / ranks**deployment.exponent
        self._by_rank = rates / rates.sum() * deployment.rate * deployment.targets
        self._order = rng.permutation(deployment.keys)
        self._set()

    def _set(self):
        self.rates = np.empty_like(self._by_rank)
        self.rates[self._order] = self._by_rank
        self._sums = np.concatenate([[0.0], np.cumsum(self.rates)])

    def shift(self):
        """Let 90 cold keys change places with the hottest ones."""
        cold = self._rng.choice(
            np.arange(SHIFTED_KEYS, len(self._order)), SHIFTED_KEYS, replace=False
        )
        hot = self._order[:SHIFTED_KEYS].copy()
        self._order[:SHIFTED_KEYS] = self._order[cold]
        self._order[cold] = hot
        self._set()

    @property
    def hottest(self):
        """Indices of the hottest keys."""
        return self._order[:2000]

    def of_prefixes(self, prefixes):
        """Return the true rates of shards."""
        starts = [int(p.ljust(HASH_BITS, "0"), 2) for p in prefixes]
        ends = [int(p.ljust(HASH_BITS, "1"), 2) for p in prefixes]
        low = np.searchsorted(self.hashes, np.array(starts, dtype=np.uint64))
        high = np.searchsorted(self.hashes, np.array(ends, dtype=np.uint64), "right")
        return self._sums[high] - self._sums[low]


def events(deployment, duration_s):
    """Return ``(second, kind)`` of membership events: a tenth of the targets each."""
    count = max(1, deployment.targets // 10)
    kinds = ("join", "lose", "join", "drain")
    return [
        (duration_s * (n + 1) / (len(kinds) + 1), kind, count)
        for n, kind in enumerate(kinds)
    ]
