"""Schema of sections and fold of their versions."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jujuberudder_core import Sections, match_section, parse_section, records

BASE = "service: jobs\nroutes: [{path_prefix: /jobs/}]\n"
DASHBOARDS = "service: dashboards\ndashboards:\n  instruments:\n"
REQUESTS = "    jujuberudder_requests_total: "
LATENCY = "    jujuberudder_request_seconds: "

INVALID = {
    "not yaml": ("service: [", "line 1: $: "),
    "empty": ("", "line 1: $: the document is empty"),
    "a list": ("- service", "line 1: $: expected `object`"),
    "duplicate key": (BASE + "slots: 1\nslots: 2", "line 4: $.slots: duplicate key"),
    "alias": ("service: &a jobs\nteam: *a", "line 2: $.team: aliases"),
    "key that is not a string": (BASE + "1: 2", "line 3: $: expected a key"),
    "unknown key": (BASE + "slotz: 6", "line 3: $.slotz: unknown key"),
    "unknown nested key": (
        BASE + "key:\n  source: query\n  nam: id",
        "line 5: $.key.nam: unknown key",
    ),
    "unknown key in a list": (
        "service: jobs\nroutes:\n- path_prefix: /a\n- pathprefix: /b",
        "line 4: $.routes[1].pathprefix: unknown key",
    ),
    "no service": ("team: a", "line 1: $.service: missing"),
    "service in capitals": ("service: Jobs", "line 1: $.service: expected"),
    "no routes": ("service: jobs", "line 1: $.routes: missing"),
    "empty route": ("service: jobs\nroutes:\n- {}", "line 3: $.routes[0]: expected"),
    "route twice": (
        "service: jobs\nroutes:\n- path_prefix: /a\n- path_prefix: /a",
        "line 4: $.routes[1]: duplicate route",
    ),
    "path without slash": (
        "service: jobs\nroutes: [{path_prefix: a}]",
        "line 2: $.routes[0].path_prefix: expected",
    ),
    "wrong type": (BASE + "slots: many", "line 3: $.slots: expected `int`"),
    "value too small": (BASE + "\nslots: 0", "line 4: $.slots: expected"),
    "percentage above 100": (
        BASE + "retry_budget_percent: 101",
        "line 3: $.retry_budget_percent:",
    ),
    "unknown key below a required one": (
        DASHBOARDS + REQUESTS + "\n      nam: a",
        "line 5: $.dashboards.instruments.jujuberudder_requests_total.nam: unknown",
    ),
    "unknown key source": (BASE + "key: {source: x}", "line 3: $.key.source: invalid"),
    "key without index": (
        BASE + "key: {source: path_segment}",
        "line 3: $.key.index: missing",
    ),
    "key with unused name": (
        BASE + "key: {source: path_segment, index: 1, name: a}",
        "line 3: $.key.name: not used",
    ),
    "negative zone weight": (
        BASE + "availability_zone_weights:\n  dar-a: 1\n  dar-b: -1",
        "line 5: $.availability_zone_weights.dar-b: expected",
    ),
    "all zones 0": (
        BASE + "availability_zone_weights: {dar-a: 0}",
        "line 3: $.availability_zone_weights.dar-a: expected",
    ),
    "all placement weights 0": (
        BASE + "placement_weights: {unavailable_time: 0, churn: 0, imbalance: 0}",
        "line 3: $.placement_weights: expected",
    ),
    "dashboards in another section": (
        BASE + "dashboards: {instruments: {}}",
        "line 3: $.dashboards: only allowed",
    ),
    "routes in the dashboards section": (
        DASHBOARDS + "    {}\nroutes: [{path_prefix: /}]",
        "line 5: $.routes: not allowed",
    ),
    "unknown instrument": (
        DASHBOARDS + "    nope: {name: a}",
        "line 4: $.dashboards.instruments.nope: no such instrument",
    ),
    "rename to a name in use": (
        DASHBOARDS + REQUESTS + "{name: jujuberudder_retries_total}",
        "line 4: $.dashboards.instruments.jujuberudder_requests_total.name: "
        "'jujuberudder_retries_total' is already in use",
    ),
    "counter name without _total": (
        DASHBOARDS + REQUESTS + "{name: hits}",
        "line 4: $.dashboards.instruments.jujuberudder_requests_total.name: the name",
    ),
    "unknown label": (
        DASHBOARDS + REQUESTS + "{labels: {colour: hue}}",
        "line 4: $.dashboards.instruments.jujuberudder_requests_total.labels.colour",
    ),
    "label name that is invalid in Prometheus": (
        DASHBOARDS + REQUESTS + "{labels: {outcome: out-come}}",
        "line 4: $.dashboards.instruments.jujuberudder_requests_total.labels.outcome",
    ),
    "two labels with one name": (
        DASHBOARDS + REQUESTS + "{labels: {outcome: reason}}",
        "line 4: $.dashboards.instruments.jujuberudder_requests_total.labels.outcome: "
        "two labels",
    ),
    "unknown bucket bound": (
        DASHBOARDS + LATENCY + "\n      buckets: [0.1, 0.3]",
        "line 5: $.dashboards.instruments.jujuberudder_request_seconds.buckets[1]:",
    ),
}


@pytest.mark.parametrize("text, expected", INVALID.values(), ids=INVALID)
def test_errors_name_path_and_line(text, expected):
    """Guards against invalid sections in force and errors without a location."""
    assert parse_section(text).err_value.reason.startswith(expected)


KEYS = list(parse_section(BASE).ok_value) + ["key", "dashboards", "other"]
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda below: st.lists(below, max_size=3) | st.dictionaries(st.text(), below),
    max_leaves=6,
)


@given(text=st.text() | st.dictionaries(st.sampled_from(KEYS), VALUES).map(repr))
def test_any_text_is_parsed_or_refused(text):
    """Guards against a section in the log that ends its reader with an exception."""
    parsed = parse_section(text)
    assert parsed.is_ok() or parsed.err_value.reason.startswith("line ")


def section(name, base, text):
    """Return a section record."""
    return records.Section("x", name, base, text)


def versions_in_force(history):
    """Return the versions in force after applying the records of a history."""
    sections = Sections()
    for position, record in history:
        sections.apply(position, record)
    return {name: published.version for name, published in sections.all.items()}


OTHER = "service: other\nroutes: [{path_prefix: /other/}, {path_prefix: /jobs/}]"
ON_HOST = "service: other\nroutes: [{path_prefix: /jobs/, host: jobs.example}]"
HISTORIES = {
    "record read twice": ([(1, section("jobs", 0, BASE))] * 2, {"jobs": 1}),
    "second editor on a superseded base": (
        [(1, section("jobs", 0, BASE)), (2, section("jobs", 0, BASE))],
        {"jobs": 1},
    ),
    "next version": (
        [(1, section("jobs", 0, BASE)), (2, section("jobs", 1, BASE))],
        {"jobs": 2},
    ),
    "stale read after a newer one": (
        [
            (1, section("jobs", 0, BASE)),
            (3, section("jobs", 1, BASE)),
            (1, section("jobs", 0, BASE)),
            (2, section("jobs", 3, BASE)),
        ],
        {"jobs": 3},
    ),
    "invalid version": (
        [(1, section("jobs", 0, BASE)), (2, section("jobs", 1, "slots: 1"))],
        {"jobs": 1},
    ),
    "version after an invalid one": (
        [
            (1, section("jobs", 0, BASE)),
            (2, section("jobs", 1, "slots: 1")),
            (3, section("jobs", 1, BASE)),
        ],
        {"jobs": 3},
    ),
    "name of another service": ([(1, section("other", 0, BASE))], {}),
    "record of another kind": (
        [(1, records.Keep("x", "jobs", 0)), (2, section("jobs", 0, BASE))],
        {"jobs": 2},
    ),
    "same path with and without host": (
        [(1, section("jobs", 0, BASE)), (2, section("other", 0, ON_HOST))],
        {"jobs": 1, "other": 2},
    ),
    "colliding routes": (
        [(1, section("jobs", 0, BASE)), (2, section("other", 0, OTHER))],
        {"jobs": 1},
    ),
    "colliding routes in the other order": (
        [(1, section("other", 0, OTHER)), (2, section("jobs", 0, BASE))],
        {"other": 1},
    ),
}


@pytest.mark.parametrize("history, expected", HISTORIES.values(), ids=HISTORIES)
def test_versions_in_force(history, expected):
    """Guards against sections that revert, disappear or share a route."""
    assert versions_in_force(history) == expected


MATCHES = [
    ("a.example", "/jobs/1", "jobs"),
    ("jobs.example", "/jobs/1", "other"),
    ("JOBS.example", "/jobs/1", "other"),
    ("jobs.example", "/nowhere", None),
]


@pytest.mark.parametrize("host, path, expected", MATCHES)
def test_most_specific_route_wins(host, path, expected):
    """Guards against requests that are routed by a less specific route."""
    sections = Sections()
    sections.apply(1, section("jobs", 0, BASE))
    sections.apply(2, section("other", 0, ON_HOST))
    matched = match_section(sections.all, host, path)
    assert (matched.name if matched else None) == expected


def test_collision_names_the_line_and_the_other_section():
    """Guards against an error that does not name the two colliding routes."""
    sections = Sections()
    sections.apply(1, section("jobs", 0, BASE))
    reason = sections.check("other", OTHER).err_value.reason
    expected = "line 2: $.routes[1]: collides with a route of section 'jobs'"
    assert reason == expected
