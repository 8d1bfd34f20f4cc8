"""Load of the shards that this node owns, measured per request."""

from collections import Counter, deque
from typing import NamedTuple

import xxhash

TICK_S = 1.0
WINDOW_TICKS = 4
# 192 counters found the 8 hottest of a million keys (bench/placement_sketch.py);
# 48 found 2 of 8 at a Zipf exponent of 0.9.
HOT_KEY_COUNTERS = 192
MAX_HOT_KEYS = 8


class HotKeys(dict):
    """Counts of key hashes, bounded as Misra and Gries describe.

    A count is too low by at most ``total / HOT_KEY_COUNTERS``. The sketch of
    ``datasketches`` counts as well, but importing it loads numpy: 14 MB in a node that
    shall have 32 MB.
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


class Tick(NamedTuple):
    """Counts of one tick.

    Parameters
    ----------
    position : int
        Offset of the ownership fold when the tick began.
    started : float
        Time of the runtime's clock in seconds.
    counts : Counter
        Requests by ``(service, prefix)``.
    hot : HotKeys
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
        """Offset of the ownership fold when the window began."""
        return self._ticks[0].position

    def count_request(self, service, prefix, key):
        """Count a request; ``key`` is None for a service without keys."""
        tick = self._ticks[-1]
        tick.counts[service, prefix] += 1
        if key is not None:
            tick.hot.add(xxhash.xxh3_64_intdigest(key.encode()))

    def start_tick(self):
        """Begin a new tick."""
        tick = Tick(self._position(), self._clock(), Counter(), HotKeys())
        self._ticks.append(tick)

    def rates(self):
        """Return requests/s by ``(service, prefix)`` over the window."""
        total = sum((tick.counts for tick in self._ticks), Counter())
        return {name: count / self._seconds() for name, count in total.items()}

    def hot_keys(self):
        """Return ``(key hash, requests/s)`` of the hottest keys of the window."""
        total = Counter()
        for tick in self._ticks:
            total.update(tick.hot)
        seconds = self._seconds()
        hottest = total.most_common(MAX_HOT_KEYS)
        return [(key, count / seconds) for key, count in hottest]

    def _seconds(self):
        return max(self._clock() - self._ticks[0].started, TICK_S)
