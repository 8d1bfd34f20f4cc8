"""Placement weights of a section."""

import pytest

from jujuberudder_core import parse_section

SECTION = "{service: jobs, routes: [{host: a}], placement_weights: %s}"


@pytest.mark.parametrize(
    "weights, expected",
    [
        ("{}", {"unavailable_time": 1.0, "churn": 1.0, "imbalance": 1.0}),
        ("{churn: 2.5}", {"unavailable_time": 1.0, "churn": 2.5, "imbalance": 1.0}),
        ("{churn: -1}", None),
        ("{churn: .inf}", None),
        ("{churn: .nan}", None),
        ("{churn: high}", None),
    ],
)
def test_placement_weights(weights, expected):
    """Guards against weights with which the planner cannot compare costs."""
    parsed = parse_section(SECTION % weights)
    assert (
        parsed.ok_value["placement_weights"] if parsed.is_ok() else None
    ) == expected
