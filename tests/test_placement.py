"""Placement policy: eligible targets, number of concurrent moves, convergence."""

from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jujuberudder._placement import (
    MIN_MOVES,
    MOVES_PER_TARGET,
    headroom,
    plan,
    successors,
)
from jujuberudder._placement_state import RATE_SCALE, PlacementState
from jujuberudder_core import Ownership, hash_bits, is_exact_cover, records
from jujuberudder_peers import Report

ZONES = ("dar-a", "dar-b", "dar-c")
ROUND_S = 1.0


class Round(NamedTuple):
    """Usable targets and number of moves before a plan, and the plan."""

    targets: frozenset
    moving: int
    plan: object


class Service:
    """Ownership fold with its placement state; the true load is given by key."""

    def __init__(self, targets, keys=None, weights=(1.0, 1.0, 1.0)):
        names = ("unavailable_time", "churn", "imbalance")
        self.section = {
            "service": "jobs",
            "drain": [],
            "slots": 20,
            "initial_shard_bits": 3,
            "placement_weights": dict(zip(names, weights)),
        }
        self.keys = {hash_bits(key): rate for key, rate in (keys or {}).items()}
        self.ownership = Ownership()
        self.placement = PlacementState("jobs", self.ownership)
        self.now = 0.0
        self.offset = 0
        self.suspected = set()
        for number in range(targets):
            self.admit(f"t{number}", ZONES[number % 3])

    def apply(self, record):
        """Apply a record and check that it takes effect."""
        self.offset += 1
        assert self.ownership.apply(self.offset, record)
        self.placement.observe(record, self.now)

    def admit(self, name, zone):
        """Admit a target."""
        self.apply(records.Admit("r", name, name, "jobs", zone, "", "", ""))

    def end(self, name):
        """End a target with a takeover; return the new owners of its shards."""
        shards = successors(
            self.ownership,
            {"jobs": self.section},
            {name},
            lambda service: None,
            self.suspected,
        )
        version = self.ownership.incarnations[name].version
        self.apply(records.Dead("d", "c", (records.Base(name, version),), shards))
        return shards

    @property
    def shards(self):
        """Shards by prefix."""
        return self.ownership.shards("jobs")

    def rate(self, prefix):
        """Return the true request rate of a shard."""
        return sum(r for bits, r in self.keys.items() if bits.startswith(prefix))

    def report(self):
        """Add a report of each target with the rates of the shards it owns."""
        for name in self.placement.members():
            owned = [prefix for _, prefix in self.ownership.owned(name)]
            shards = [(p, round(self.rate(p) * RATE_SCALE)) for p in sorted(owned)]
            hot = [
                (int(bits, 2), round(rate * RATE_SCALE))
                for bits, rate in self.keys.items()
                if any(bits.startswith(prefix) for prefix in owned)
            ]
            report = Report("lango", "jobs", name, self.offset, 0, 0, shards, hot)
            self.placement.add_report(report, self.now)

    def round(self):
        """Finish moves, add reports, make a plan and apply it."""
        self.now += ROUND_S
        for prefix in sorted(self.placement.moving):
            epoch = self.shards[prefix].epoch
            self.apply(records.Release("r", "jobs", prefix, epoch))
        self.report()
        moving = len(self.placement.moving)
        usable = frozenset(
            name
            for name in self.placement.members()
            if name not in self.section["drain"]
            and name not in self.suspected
            and self.placement.takes_shards(name)
        )
        new_plan = plan(
            self.placement, self.ownership, self.section, self.now, self.suspected
        )
        self.placement.clear_changed(new_plan.deferred)
        if new_plan.assigns:
            self.apply(records.Assign("a", "p", new_plan.assigns))
        if new_plan.moves:
            self.apply(records.Move("m", "p", new_plan.moves))
        for prefix, epoch in new_plan.splits:
            self.apply(records.Split("s", "jobs", prefix, epoch))
        for prefix, epochs in new_plan.merges:
            self.apply(records.Merge("g", "jobs", prefix, epochs))
        return Round(usable, moving, new_plan)

    def imbalance(self):
        """Return the maximum over the mean of the true rates of undrained targets."""
        usable = [n for n in self.placement.members() if n not in self.section["drain"]]
        rates = [
            sum(self.rate(p) for p, s in self.shards.items() if s.owner == name)
            for name in usable
        ]
        return max(rates) / (sum(rates) / len(rates))


EVENTS = st.lists(
    st.sampled_from(
        ["round", "join", "end", "leave", "drain", "suspect", "trust", "shift"]
    ),
    max_size=25,
)
KEY_LOADS = st.dictionaries(st.text(max_size=4), st.integers(1, 300), max_size=12)


def apply_event(service, event, number):
    """Apply one event, unless it would remove the last usable target."""
    members = sorted(service.placement.members())
    usable = [
        name
        for name in members
        if name not in service.section["drain"]
        and name not in service.suspected
        and service.placement.takes_shards(name)
    ]
    if event == "join":
        service.admit(f"j{number}", ZONES[number % 3])
    elif event == "trust":
        service.suspected.clear()
    elif event == "shift":
        rates = list(service.keys.values())
        service.keys = dict(zip(service.keys, rates[1:] + rates[:1]))
    elif len(usable) > 1 and event == "end":
        assigned = service.end(usable[number % len(usable)])
        for shard in assigned:
            assert shard.owner in usable
    elif len(usable) > 1 and event == "leave":
        name = usable[number % len(usable)]
        version = service.ownership.incarnations[name].version
        service.apply(records.Withdraw("w", name, version, ()))
    elif len(usable) > 1 and event == "drain":
        service.section["drain"].append(usable[number % len(usable)])
    elif len(usable) > 1 and event == "suspect":
        service.suspected.add(usable[number % len(usable)])


@given(history=EVENTS, keys=KEY_LOADS, targets=st.integers(2, 7))
def test_plans_are_valid_after_any_history(history, keys, targets):
    """Guards against plans that break an invariant after joins, losses and drains.

    Such plans assign shards to dead, drained or suspected targets, start too many moves
    at once, have records without effect, or leave gaps in the hash space or shards
    without an owner.
    """
    service = Service(targets, keys)
    service.round()
    for number, event in enumerate(history):
        apply_event(service, event, number)
        drained = set(service.section["drain"])
        drained |= {
            name
            for name in service.placement.members()
            if not service.placement.takes_shards(name)
        }
        evacuated = {
            prefix for name in drained for prefix in service.placement.held(name)
        }
        result = service.round()
        for shard in result.plan.assigns + result.plan.moves:
            assert shard.owner in result.targets
        balancing = [m for m in result.plan.moves if m.prefix not in evacuated]
        limit = max(MIN_MOVES, MOVES_PER_TARGET * len(result.targets) + 1)
        assert len(balancing) + result.moving <= max(limit, result.moving)
        assert is_exact_cover(service.shards)
        assert all(shard.owner for shard in service.shards.values())
        for prefix, shard in service.shards.items():
            assert service.placement.holder(prefix) == (
                shard.destination or shard.owner
            )


@given(keys=KEY_LOADS, targets=st.integers(2, 6))
def test_plans_converge_at_constant_load(keys, targets):
    """Guards against oscillation: a planner that never stops moving shards."""
    service = Service(targets, keys)
    for _ in range(80):
        service.round()
    last_plans = [service.round().plan for _ in range(30)]
    assert [made.moves + made.splits + made.merges for made in last_plans] == [()] * 30


@given(keys=KEY_LOADS, targets=st.integers(2, 6))
def test_incremental_loads_match_a_recount(keys, targets):
    """Guards against incrementally updated loads that drift from a full recount."""
    service = Service(targets, keys)
    for _ in range(10):
        service.round()
    for name in service.placement.members():
        held = [p for p in service.shards if service.placement.holder(p) == name]
        total = sum(map(service.placement.load, held))
        assert service.placement.load_of(name) == pytest.approx(total, abs=1e-6)


def test_single_hot_keys_are_placed_on_their_own():
    """Guards against several hot keys of one shard that no move can separate."""
    shard = hash_bits("gate-0")[:5]
    same_shard = [
        f"gate-{n}" for n in range(999) if hash_bits(f"gate-{n}")[:5] == shard
    ]
    service = Service(3, {key: 100 for key in same_shard[:6]})
    service.round()
    assert service.imbalance() == 3
    for _ in range(40):
        service.round()
    assert service.imbalance() == 1


def test_cold_siblings_merge_again():
    """Guards against split shards that stay split after their keys have cooled down."""
    service = Service(3, {f"gate-{n}": 50 for n in range(5)})
    service.round()
    before = len(service.shards)
    for _ in range(20):
        service.round()
    split = len(service.shards)
    service.keys = {hash_bits(f"other-{n}"): 2 for n in range(200)}
    for _ in range(60):
        service.round()
    assert split > before
    assert len(service.shards) < split


def test_drained_targets_are_empty_after_one_plan():
    """Guards against a drained target whose moves wait for the limit of moves."""
    service = Service(3, {f"gate-{n}": 10 for n in range(60)})
    service.round()
    service.section["drain"] = ["t1"]
    service.round()
    assert not service.placement.held("t1")


def test_a_joining_target_fills_gradually():
    """Guards against a cold target that gets its whole share of the load at once."""
    service = Service(3, {f"gate-{n}": 10 for n in range(300)})
    for _ in range(30):
        service.round()
    service.admit("late", "dar-a")
    filled = []
    for _ in range(60):
        service.round()
        filled.append(service.placement.load_of("late") / (service.placement.total / 4))
    assert filled[2] < 0.5
    assert filled[-1] > 0.8


@pytest.mark.parametrize(
    "suspected, expected",
    [
        (set(), {"t1", "t2", "t3", "t4", "t5"}),
        ({"t1"}, {"t2", "t3", "t4", "t5"}),
        # t0 and t3 are in the same availability zone.
        ({"t3"}, {"t1", "t2", "t4", "t5"}),
        ({"t1", "t2", "t3", "t4", "t5"}, set()),
    ],
)
def test_successors_are_distributed_over_unsuspected_targets(suspected, expected):
    """Guards against a takeover that assigns shards to another failing node."""
    service = Service(6, {})
    service.round()
    for shard in list(service.shards):
        if service.shards[shard].owner != "t0":
            epoch = service.shards[shard].epoch
            entry = records.ShardOwner("jobs", shard, epoch, "t0")
            service.apply(records.Move("m", "p", (entry,)))
            service.apply(records.Release("r", "jobs", shard, epoch))
    service.suspected = suspected
    assert {shard.owner for shard in service.end("t0")} == expected


@pytest.mark.parametrize(
    "by_target, owners",
    [
        ({"t1": 100.0, "t2": 100.0}, {"t1", "t2"}),
        ({"t1": 100.0, "t2": 0.0}, {"t2"}),
        ({"t1": 0.0, "t2": 100.0}, {"t1"}),
    ],
)
def test_successors_are_chosen_by_load(by_target, owners):
    """Guards against a takeover that balances shard counts although loads are known."""
    service = Service(3)
    service.round()
    shards = successors(
        service.ownership,
        {"jobs": service.section},
        {"t0"},
        lambda name: (by_target, lambda prefix, owner: 5.0),
    )
    assert {shard.owner for shard in shards} == owners


def test_a_report_of_a_shard_owned_elsewhere_is_ignored():
    """Guards against late reports that override the ownership in the fold."""
    service = Service(2, {})
    service.round()
    prefix = next(p for p, s in service.shards.items() if s.owner == "t0")
    for name, since, rate in (("t1", service.offset, 50), ("t0", 0, 70)):
        report = Report("lango", "jobs", name, since, 0, 0, [(prefix, rate)], [])
        service.placement.add_report(report, service.now)
        assert service.placement.rate(prefix) == 0


def test_reports_that_later_owners_contradict_are_corrected():
    """Guards against a target that reports ten times its load and loses its shards."""
    service = Service(2, {f"gate-{n}": 20 for n in range(64)})
    service.round()
    add_report = service.placement.add_report

    def exaggerate(report, now):
        if report.incarnation == "t0":
            shards = [(prefix, rate * 10) for prefix, rate in report.shards]
            report = report._replace(shards=shards)
        add_report(report, now)

    service.placement.add_report = exaggerate
    for _ in range(200):
        service.round()
    ratio = service.placement.correction("t1") / service.placement.correction("t0")
    assert 5 < ratio < 20
    assert service.imbalance() < 1.5


@pytest.mark.parametrize(
    "in_flight, room", [([0, 0, 0], 1.0), ([20, 10, 0], 0.25), ([20, 20, 20], -0.5)]
)
def test_headroom_for_the_loss_of_a_zone(in_flight, room):
    """Guards against a missing warning that the load of a lost zone does not fit."""
    service = Service(3)
    service.round()
    for name, count in zip(("t0", "t1", "t2"), in_flight):
        report = Report("lango", "jobs", name, 0, count, 0, [], [])
        service.placement.add_report(report, service.now)
    free_shares = headroom(service.placement, service.section, service.now)
    assert free_shares == {zone: pytest.approx(room) for zone in ZONES}
