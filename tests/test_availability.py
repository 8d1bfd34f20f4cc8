"""The longest time without service is computed from the results of probes.

A wrong figure hides an outage.
"""

import time

import pytest

from jujuberudder_standins import Availability


@pytest.mark.parametrize(
    "probes, least_s",
    [
        ([(9.0, True)], 9.0),
        ([(9.0, False), (1.0, True)], 9.0),
        ([(9.0, True), (5.0, False)], 9.0),
        ([(9.0, False), (5.0, False)], 9.0),
    ],
)
def test_longest_time_without_service(probes, least_s):
    """Guards against an outage that is not counted because no later probe is served."""
    availability = Availability()
    for started_ago_s, served in probes:
        availability.record_request("key", time.monotonic() - started_ago_s, served)
    availability.close()
    assert availability.worst_s == pytest.approx(least_s, abs=1.0)
