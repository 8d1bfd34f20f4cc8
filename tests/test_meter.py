"""Request rates and hot keys measured at the owner of a shard."""

from collections import Counter

import xxhash
from hypothesis import given
from hypothesis import strategies as st

from jujuberudder._meter import (
    HOT_KEY_COUNTERS,
    WINDOW_TICKS,
    HotKeys,
    LoadMeter,
)


class Clock:
    """Clock and position of the ownership fold, set by the tests."""

    def __init__(self):
        self.now = 0.0
        self.position = 0

    def make_meter(self):
        """Return a meter that uses this clock and position."""
        return LoadMeter(lambda: self.position, lambda: self.now)


def test_rates_cover_the_window_only():
    """Guards against rates that still count requests from before the window."""
    clock = Clock()
    meter = clock.make_meter()
    for _ in range(WINDOW_TICKS):
        for _ in range(10):
            meter.count_request("jobs", "01", "gate-7")
        clock.now += 1
        clock.position += 5
        meter.start_tick()
    rate = meter.rates()["jobs", "01"]
    assert rate == 10
    assert meter.hot_keys() == [(xxhash.xxh3_64_intdigest(b"gate-7"), 10)]
    assert meter.since == 5
    for _ in range(WINDOW_TICKS):
        clock.now += 1
        meter.start_tick()
    assert meter.rates() == {}


@given(st.lists(st.integers(0, 400), max_size=3000))
def test_hot_keys_are_bounded_and_nearly_exact(keys):
    """Guards against memory that grows with the number of keys, and lost hot keys."""
    hot = HotKeys()
    for key in keys:
        hot.add(key)
    assert len(hot) <= HOT_KEY_COUNTERS
    for key, count in Counter(keys).items():
        assert count - len(keys) / HOT_KEY_COUNTERS <= hot.get(key, 0) <= count


def test_unkeyed_requests_have_no_hot_keys():
    """Guards against an exception in the request task for a request without a key."""
    meter = Clock().make_meter()
    meter.count_request("dispatch", "", None)
    assert meter.hot_keys() == []
