"""Called routes, priorities of callers, and clients that return after a refusal."""

import pytest

from jujuberudder_router._urgency import (
    CALLED_AFTER_REQUESTS,
    MAX_REFUSED_REMEMBERED,
    CalledRoutes,
    RecentRefusals,
    RefusedRequests,
    RunningPriorities,
    effective_priority,
    urgency,
)

N = CALLED_AFTER_REQUESTS


@pytest.mark.parametrize(
    "callers, called",
    [
        (["a"] * N, True),
        (["a"] * (N - 1), False),
        (["b"] + ["a"] * N, True),
        (["a"] * N + ["b"], False),
        (["a", "b"] * N, False),
        ([], False),
    ],
)
def test_called_route(callers, called):
    """Guards against client requests that get the priority of a caller, or calls not.

    A route is called while its last requests began beside targets of one service.
    """
    routes = CalledRoutes()
    routes.record("other", "a")
    routes.record("other", "b")
    for caller in callers:
        routes.record("r", caller)
    assert routes.is_called("r") == called


def test_no_route_is_called_in_a_deployment_of_one_service():
    """Guards against clients that count as callers, as all begin beside one service."""
    routes = CalledRoutes()
    for _ in range(2 * N):
        routes.record("r", "a")
    assert not routes.is_called("r")


@pytest.mark.parametrize(
    "priority, caller, called, expected",
    [
        (2, 0, True, 0), (2, 0, False, 2), (1, 2, True, 1), (1, None, True, 1),
        (1, -1, True, 1),
    ],
)  # fmt: skip
def test_effective_priority(priority, caller, called, expected):
    """Guards against calls less urgent than the request for which they are made."""
    assert effective_priority(priority, caller, called) == expected


def test_call_is_more_urgent_than_client_request():
    """Guards against calls behind client requests of the same effective priority."""
    assert urgency(0, True) < urgency(0, False) < urgency(1, True)


def test_priority_of_running_requests():
    """Guards against a caller's priority that outlasts the request."""
    running = RunningPriorities()
    assert running.most_urgent is None
    for priority in (2, 0, 0):
        running.add(priority)
    running.remove(0)
    assert running.most_urgent == 0
    running.remove(0)
    assert running.most_urgent == 2


def test_return_is_recognised_once_and_for_three_seconds():
    """Guards against new clients that count as returning, and entries used twice."""
    refused = RefusedRequests()
    refused.remember(("r", 7), 0.0, -0.1)
    refused.remember(("r", 7), 1.0, 0.9)
    assert refused.take(("r", 8), 1.0) is None
    assert [refused.take(("r", 7), 3.0) for _ in range(3)] == [-0.1, 0.9, None]
    refused.remember(("r", 7), 10.0, 9.9)
    assert refused.take(("r", 7), 13.1) is None


def test_expired_entry_does_not_use_up_a_later_one():
    """Guards against an entry that a return has used and that ends another one."""
    refused = RefusedRequests()
    refused.remember("m", 0.0, 0.0)
    assert refused.take("m", 0.5) == 0.0
    refused.remember("m", 1.0, 0.9)
    assert refused.take("m", 3.5) == 0.9


def test_refused_requests_are_bounded():
    """Guards against memory that grows with the refusals of an overload."""
    refused = RefusedRequests()
    for number in range(MAX_REFUSED_REMEMBERED + 10):
        refused.remember(number, 0.0, 0.0)
    assert len(refused) == MAX_REFUSED_REMEMBERED
    assert [refused.take(number, 0.0) for number in (9, 10)] == [None, 0.0]


def test_recent_refusals():
    """Guards against reports of refusals that are long past."""
    refusals = RecentRefusals()
    for level, at in ((1, 0.0), (1, 0.5), (4, 0.9)):
        refusals.record(level, at)
    assert dict(refusals.report(0.9)) == {1: 2, 4: 1}
    assert dict(refusals.report(1.2)) == {1: 1, 4: 1}
    assert refusals.report(2.0) == ()
