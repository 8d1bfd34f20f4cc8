"""Effect of a section's keys on target selection, retries and slow start."""

import pytest
import trio

from jujuberudder_clients import RetryBudget, TargetSelector
from jujuberudder_clients._route import _weighted
from jujuberudder_core import Ownership, parse_section, records
from jujuberudder_core._sections import PublishedSection
from jujuberudder_targets import Admission, Limits

BASE = "service: jobs\nroutes: [{path_prefix: /jobs/}]\n"


class Context:
    """The attributes of a RouteContext that the weighting uses."""

    ownership = Ownership()


for number, zone in enumerate(("dar-a", "dar-b"), 1):
    addresses = ("127.0.0.1:1",) * 3
    admit = records.Admit("r", zone, zone, "jobs", zone, *addresses)
    Context.ownership.apply(number, admit)


WEIGHTS = {
    "none": ("{}", {"dar-a", "dar-b"}),
    "one zone has weight 0": ("{dar-a: 0, dar-b: 1}", {"dar-b"}),
    "zone without a weight": ("{dar-a: 0, dar-c: 1}", {"dar-b"}),
}


@pytest.mark.parametrize("text, expected", WEIGHTS.values(), ids=WEIGHTS)
def test_availability_zones_of_weight_0_are_excluded(text, expected):
    """Guards against requests to an availability zone that operators excluded."""
    body = parse_section(BASE + f"availability_zone_weights: {text}").unwrap()
    section = PublishedSection("jobs", 1, body, "")
    eligible, _ = _weighted(Context, section, {"dar-a": True, "dar-b": False})
    assert set(eligible) == expected


def test_weights_do_not_exclude_all_targets():
    """Guards against refused requests if only targets of weight 0 are available."""
    text = "availability_zone_weights: {dar-a: 0, dar-c: 1}"
    section = PublishedSection("jobs", 1, parse_section(BASE + text).unwrap(), "")
    eligible, weights = _weighted(Context, section, {"dar-a": True})
    assert (eligible, weights) == ({"dar-a": True}, {})


async def test_target_of_higher_weight_is_selected():
    """Guards against weights that have no effect on the selection."""
    selector = TargetSelector(lambda: "here", lambda: 0)
    both = {"dar-a": True, "dar-b": True}
    assert selector.choose(both, 6, {"dar-b": 5.0})[0] == "dar-b"
    assert selector.choose(both, 6, {"dar-a": 5.0})[0] == "dar-a"


@pytest.mark.parametrize("share, expected", [(0.0, 0), (0.5, 5), (1.0, 10)])
def test_retry_budget_follows_the_section(share, expected):
    """Guards against more retries than the share that the section allows."""
    budget = RetryBudget()
    while budget.spend():
        pass
    for _ in range(10):
        budget.earn(share)
    assert sum(budget.spend() for _ in range(20)) == expected


@pytest.mark.parametrize("slow_start_s, expected", [(0.0, 20), (5.0, 5)])
async def test_slow_start_follows_the_section(slow_start_s, expected):
    """Guards against a slow start that operators cannot disable."""
    now = trio.current_time()
    limits = Limits(20, 100, 0, slow_start_s)
    assert Admission(lambda: limits, lambda: now).capacity() in (expected, expected + 1)
