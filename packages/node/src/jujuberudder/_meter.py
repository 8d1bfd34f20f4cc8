"""Request rates of the shards and keys that this node owns."""

from collections import Counter, deque
from typing import NamedTuple

import xxhash

TICK_S = 1.0
WINDOW_TICKS = 4
# 192 counters find the 8 hottest of a million keys; 48 find only 2 of the 8 at a Zipf
# exponent of 0.9, see bench/placement_sketch.py.
HOT_KEY_COUNTERS = 192
MAX_HOT_KEYS = 8


class HotKeys(dict):
    """Bounded counts of key hashes by the Misra-Gries algorithm.

    A count is too low by at most ``total / HOT_KEY_COUNTERS``. The sketch of
    ``datasketches`` would also do, but its import loads numpy, which takes 14 MB in a
    node that should stay within 32 MB.
    """

    def add(self, key):
        """Count a key hash once."""
        if key in self:
            self[key] += 1
        elif len(self) < HOT_KEY_COUNTERS:
            self[key] = 1
        else:
            for other in list(self):
                self[other] -= 1
                if not self[other]:
                    del self[other]


class TickCounts(NamedTuple):
    """Counts of one tick.

    Parameters
    ----------
    position : int
        Offset of the ownership fold at the start of the tick.
    started : float
        Start of the tick in seconds, by the clock of the runtime.
    counts : Counter
        Requests by ``(service, prefix)``.
    hot : HotKeys
        Requests by key hash.
    """

    position: int
    started: float
    counts: Counter
    hot: HotKeys


class LoadMeter:
    """Counts requests by shard and key over a sliding window.

    Parameters
    ----------
    position : callable
        Returns the offset of the ownership fold.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(self, position, clock):
        self._position = position
        self._clock = clock
        self._ticks = deque(maxlen=WINDOW_TICKS)
        self.start_tick()

    @property
    def since(self):
        """Offset of the ownership fold at the start of the window."""
        return self._ticks[0].position

    def count_request(self, service, prefix, key):
        """Count a request; ``key`` is None for a service without keys."""
        tick = self._ticks[-1]
        tick.counts[service, prefix] += 1
        if key is not None:
            tick.hot.add(xxhash.xxh3_64_intdigest(key.encode()))

    def start_tick(self):
        """Start a new tick; the oldest one leaves a full window."""
        tick = TickCounts(self._position(), self._clock(), Counter(), HotKeys())
        self._ticks.append(tick)

    def rates(self):
        """Return requests/s by ``(service, prefix)`` over the window."""
        total = sum((tick.counts for tick in self._ticks), Counter())
        return {name: count / self._window_s() for name, count in total.items()}

    def hot_keys(self):
        """Return ``(key hash, requests/s)`` of the hottest keys of the window."""
        total = Counter()
        for tick in self._ticks:
            total.update(tick.hot)
        window_s = self._window_s()
        hottest = total.most_common(MAX_HOT_KEYS)
        return [(key, count / window_s) for key, count in hottest]

    def _window_s(self):
        return max(self._clock() - self._ticks[0].started, TICK_S)
