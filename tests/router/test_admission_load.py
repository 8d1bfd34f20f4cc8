"""Goodput of clients when the load exceeds the capacity of a target."""

import pytest

from .admission_load import ARCHIVE, BOOKINGS, LOOKUPS, MEDIA, simulate

# Least share of the goodput at full load that remains at twice the load: the goal
# stated in the README.
MIN_GOODPUT_SHARE = 0.9
# A kind of request counts as starved below this share of the credit of all requests:
# the users' rule.
STARVATION_SHARE = 0.25


@pytest.mark.parametrize(
    "kinds, slots",
    [(LOOKUPS, 6), (BOOKINGS, 6), (MEDIA, 18)],
    ids=["lookups", "bookings", "media"],
)
def test_goodput_at_twice_the_load(kinds, slots):
    """Guards against a queue that makes all requests late or starves one kind."""
    full = simulate(kinds, slots, load=1.0, duration_s=20.0)
    double = simulate(kinds, slots, load=2.0, duration_s=20.0)
    assert 2 * double.credit >= MIN_GOODPUT_SHARE * full.credit
    assert min(double.by_kind) >= STARVATION_SHARE * double.credit


@pytest.mark.parametrize("load", [1.0, 1.3, 2.0])
def test_calls_beside_long_requests(load):
    """Guards against refused calls of requests that hold a slot while they wait.

    The calls need little of the capacity, so nearly all can be served; each one that is
    refused makes the request fail that waits for it.
    """
    outcome = simulate(ARCHIVE, 6, load, duration_s=20.0)
    assert outcome.served_by_kind[1] >= 0.97
