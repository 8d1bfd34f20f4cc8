"""Contents and size of load reports."""

from types import SimpleNamespace

import pytest

from jujuberudder._meter import MAX_HOT_KEYS
from jujuberudder._placement_state import SUMMARY_TARGETS, PlacementState
from jujuberudder._reports import MAX_REPORTED_SHARDS, Reporter
from jujuberudder_core import Ownership, records, uniform_prefixes
from jujuberudder_peers import Summary
from jujuberudder_peers._messages import encode_message

# The control traffic of a node is at most 3 KB/s in total; renewals use most of it.
MAX_REPORT_BYTES = 1024
MAX_SUMMARY_BYTES = 768


def make_owner(bits):
    """Return an incarnation that owns all shards, its meter, rates and reporter."""
    ownership = Ownership()
    owner = "0123456789abcdef"
    ownership.apply(1, records.Admit("r", owner, "n", "jobs", "dar-a", "", "", ""))
    shards = tuple(
        records.ShardOwner("jobs", prefix, 0, owner)
        for prefix in uniform_prefixes(bits)
    )
    ownership.apply(2, records.Assign("a", "p", shards))
    local = SimpleNamespace(
        settings=SimpleNamespace(deployment="lango-gatefix", service="jobs"),
        incarnation=owner,
        ownership=ownership,
        served_shards=SimpleNamespace(in_flight=lambda: 20),
    )
    rates = {("jobs", prefix): 10_000.0 for prefix in uniform_prefixes(bits)}
    meter = SimpleNamespace(since=2)
    meter.rates = lambda: rates
    meter.hot_keys = lambda: [(2**64 - 1 - n, 9_999.9) for n in range(MAX_HOT_KEYS)]
    return local, meter, rates, Reporter(meter)


def test_a_report_is_bounded():
    """Guards against reports that grow with the number of shards of a node."""
    local, _, _, reporter = make_owner(9)
    report = reporter.make_report(local, "planner")
    assert len(report.shards) == MAX_REPORTED_SHARDS
    assert len(encode_message(report)) <= MAX_REPORT_BYTES


def test_a_summary_is_bounded_and_rotates():
    """Guards against replies that grow with the number of targets.

    Also guards against replies that always list the same targets.
    """
    ownership = Ownership()
    for number in range(500):
        name = f"{number:016x}"
        admit = records.Admit("r", name, name, "jobs", "dar-a", "", "", "")
        ownership.apply(number + 1, admit)
    placement = PlacementState("jobs", ownership)
    first, second = Summary(placement.summary()), Summary(placement.summary())
    assert len(first.loads) == SUMMARY_TARGETS
    assert not {load[0] for load in first.loads} & {load[0] for load in second.loads}
    assert len(encode_message(first)) <= MAX_SUMMARY_BYTES


def test_acknowledged_shards_are_reported_again_only_if_changed():
    """Guards against shards that are never reported, and against repeated reports."""
    local, _, rates, reporter = make_owner(6)
    reported = set()
    for _ in range(3):
        report = reporter.make_report(local, "planner")
        reported |= {prefix for prefix, _ in report.shards}
        reporter.record_reply(local, report, Summary([]), 0.0)
    assert reported == set(uniform_prefixes(6))
    assert reporter.make_report(local, "planner").shards == []
    rates["jobs", "000111"] = 20_000.0
    assert [prefix for prefix, _ in reporter.make_report(local, "planner").shards] == [
        "000111"
    ]
    assert (
        len(reporter.make_report(local, "another planner").shards)
        == MAX_REPORTED_SHARDS
    )


@pytest.mark.parametrize("since, listed", [(1, 0), (2, 8)])
def test_shards_owned_for_part_of_the_window_are_not_listed(since, listed):
    """Guards against a new owner that reports a newly received shard as idle."""
    local, meter, _, reporter = make_owner(3)
    meter.since = since
    assert len(reporter.make_report(local, "planner").shards) == listed


@pytest.mark.parametrize(
    "measured, low, high", [(105.0, 100.0, 102.0), (200.0, 200.0, 200.0)]
)
def test_estimates_follow_changes_and_not_noise(measured, low, high):
    """Guards against moves caused by counting noise, and hot shards reported late."""
    local, _, rates, reporter = make_owner(0)
    rates["jobs", ""] = 100.0
    reporter.make_report(local, "planner")
    rates["jobs", ""] = measured
    report = reporter.make_report(local, "planner")
    assert low <= report.shards[0][1] / 10 <= high
