"""Uneven targets: service times by route, and the choice of a VM by them."""

import math

import pytest

from jujuberudder_router._choice import Candidate, choose
from jujuberudder_router._speeds import (
    MAX_ROUTES,
    MAX_VMS,
    SpeedTable,
    expected_time,
    relative_times,
)


@pytest.mark.parametrize(
    "times, route, expected_s",
    [
        ({}, "long", 0.0),
        ({"a": {"long": 0.3}}, "long", 0.3),
        ({"b": {"long": 0.2}, "c": {"long": 0.4}}, "long", 0.3),
        (
            {"a": {"call": 0.06}, "b": {"call": 0.02, "long": 0.2}},
            "long", 0.2 * 0.06 / 0.04,
        ),
        ({"a": {"call": 0.06}, "b": {"long": 0.2}}, "long", 0.2),
    ],
    ids=["nothing known", "own time", "mean", "mean by relative speed", "no ratio"],
)  # fmt: skip
def test_expected_time(times, route, expected_s):
    """Guards against a VM that is judged by the times of another route."""
    relative = relative_times(times)
    assert expected_time(times, relative, "a", route) == pytest.approx(expected_s)


def test_times_are_bounded_and_dropped_with_the_process():
    """Guards against implausible times, and times of processes that have ended."""
    table = SpeedTable()
    for service_s in (0.0, -1.0, math.nan, math.inf, 1e9):
        table.record("s", "a", "r", service_s)
    assert table.expected_s("s", "a", "r", 0.0) == 0.0
    for number in range(MAX_VMS + 9):
        for route in range(MAX_ROUTES + 9):
            table.record("s", f"vm-{number}", f"r-{route}", 0.1)
    assert len(table._times["s"]) == MAX_VMS
    assert {len(routes) for routes in table._times["s"].values()} == {MAX_ROUTES}
    table.record("s", "a", "r", 0.5)
    assert table.expected_s("s", "a", "r", 1.0) == 0.5
    table.forget("a")
    assert table.expected_s("s", "a", "r", 2.0) == 0.0


def test_vm_that_ran_long_requests_of_another_route_is_chosen():
    """Guards against VMs that look slow because they ran requests of a longer route.

    The mean over all routes of the nearest VM is 0.3 s, that of its calls 0.03 s.
    """
    near = Candidate("near", True, 1, 0, 6, 0.3, 0, 0.0)
    far = Candidate("far", False, 1, 0, 6, 0.05, 0, 0.0)
    assert choose([near, far], 0, lambda: 0.0).vm == "far"
    candidates = [near._replace(run_s=0.03), far._replace(run_s=0.03)]
    assert choose(candidates, 0, lambda: 0.0).vm == "near"
