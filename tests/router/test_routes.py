"""Routes, traffic splits and the retry budget."""

import pytest

from jujuberudder_router._routes import (
    RetryBudget,
    TrafficSplitter,
    match_route,
    order_routes,
)
from jujuberudder_router._types import Configuration, Limits, Route, WeightedService


def route(name, prefix, weighted_services=(WeightedService("s", 1),)):
    """Return a route of the host ``h``."""
    return Route(name, "h", prefix, weighted_services, True, 1.0, 0.5, 2, 1)


ROUTES = order_routes([route("all", "/"), route("a", "/a/"), route("ab", "/a/b/")])
CONFIGURATION = Configuration(1, ROUTES, {}, Limits())


@pytest.mark.parametrize(
    "host, path, expected",
    [
        ("h", "/a/b/c", "ab"),
        ("h", "/a/c", "a"),
        ("h", "/a/b", "a"),
        ("h", "/ab/", "all"),
        ("other", "/a/", None),
    ],
)
def test_match_route_returns_longest_prefix(host, path, expected):
    """Guards against requests that are routed to the wrong service."""
    matched = match_route(CONFIGURATION, host, path)
    assert (matched and matched.name) == expected


@pytest.mark.parametrize("weights", [(90, 10), (1, 1, 1), (50, 30, 20), (1, 0)])
def test_services_get_their_shares(weights):
    """Guards against shares that deviate from their weights over few requests."""
    weighted_services = tuple(
        WeightedService(f"s{i}", w) for i, w in enumerate(weights)
    )
    splitter, split = TrafficSplitter(), route("split", "/", weighted_services)
    picks = [splitter.pick(split) for _ in range(200)]
    for weighted_service in weighted_services:
        share = picks.count(weighted_service.service) / 200
        assert abs(share - weighted_service.weight / sum(weights)) <= 0.01


def test_retry_budget():
    """Guards against more retries by all nodes together than are allowed."""
    budget = RetryBudget(ratio=0.2, slack=8, window_s=10)
    for _ in range(50):
        budget.count_request("s", 100.0)
    allowed = sum(budget.try_spend("s", 4, 101.0) for _ in range(50))
    assert allowed == 12
    assert not budget.try_spend("s", 4, 109.0)
    assert budget.try_spend("s", 4, 112.0)
