"""Counters and histograms of a node, and the documentation that lists them."""

import re
from pathlib import Path

import pytest

from jujuberudder_router._metrics import EVENTS, HISTOGRAMS, Histogram, Metrics

ROOT = Path(__file__).parent.parent.parent
PACKAGE = ROOT / "packages/router/src/jujuberudder_router"
PAGE = (ROOT / "docs/OPERATIONS.md").read_text(encoding="utf-8")


def test_documentation_lists_each_counter_and_histogram():
    """Guards against an undocumented metric."""
    listed = set(re.findall(r"^\| `(\w+)` \|", PAGE, re.MULTILINE))
    assert set(EVENTS) | set(HISTOGRAMS) <= listed


def test_code_counts_each_listed_metric():
    """Guards against a counter that is counted but not exported, or never counted."""
    code = "".join(path.read_text() for path in PACKAGE.glob("*.py"))
    counted = set(re.findall(r'metrics\.count\("(\w+)"\)', code))
    counted |= {f"own_{status}" for status in (404, 502, 503, 504)}
    assert counted == set(EVENTS)
    observed = set(re.findall(r'metrics\.observe\("(\w+)"', code))
    assert observed == set(HISTOGRAMS)


def test_histogram_buckets_are_cumulative():
    """Guards against buckets that do not include those with lower bounds."""
    histogram = Histogram()
    for duration in (0.001, 0.005, 0.3, 99.0):
        histogram.observe(duration)
    lines = histogram.lines("x")
    assert 'x_bucket{le="0.005"} 2' in lines
    assert 'x_bucket{le="0.5"} 3' in lines
    assert 'x_bucket{le="+Inf"} 4' in lines and lines[-1] == "x_count 4"


def test_text_format():
    """Guards against metrics text that Prometheus cannot parse."""
    metrics = Metrics()
    metrics.count("completed")
    text = metrics.text({"ready": 1})
    assert 'jujuberudder_events_total{event="completed"} 1\n' in text
    assert "\njujuberudder_ready 1\n" in text


def test_route_times_start_anew_after_each_report():
    """Guards against route times that include requests of earlier reports."""
    metrics = Metrics()
    for duration_s, route in ((0.1, "a"), (0.3, "a"), (0.5, "b"), (0.7, None)):
        metrics.observe("target", duration_s, route)
    metrics.observe("request", 1.0, "a")
    ((route, times),) = metrics.take_route_times(1)
    assert route == "a"
    assert times["target_n"] == 2 and times["request_n"] == 1
    assert times["target_mean_s"] == pytest.approx(0.2)
    assert times["target_max_s"] == 0.3
    assert metrics.take_route_times(10) == []
