"""Placement policy: who may take shards, how many move, and when moving ends."""

from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jujuberudder._board import RATE_SCALE, Board
from jujuberudder._placement import (
    MIN_MOVES,
    MOVES_PER_TARGET,
    headroom,
    plan,
    successors,
)
from jujuberudder_core import Ownership, hash_bits, is_exact_cover, records
from jujuberudder_peers import Report

ZONES = ("dar-a", "dar-b", "dar-c")
ROUND_S = 1.0


class Moment(NamedTuple):
    """What a plan was made from, and the plan."""

    targets: frozenset
    moving: int
    plan: object


class Service:
    """An ownership fold with its board; the true load belongs to keys."""

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
        self.board = Board("jobs", self.ownership)
        self.now = 0.0
        self.offset = 0
        self.suspected = set()
        for number in range(targets):
            self.admit(f"t{number}", ZONES[number % 3])

    def apply(self, record):
        """Apply a record, which must take effect."""
        self.offset += 1
        assert self.ownership.apply(self.offset, record)
        self.board.observe(record, self.now)

    def admit(self, name, zone):
        """Admit a target."""
        self.apply(records.Admit("r", name, name, "jobs", zone, "", "", ""))

    def end(self, name):
        """Take a target over."""
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
        """Return the true rate of a shard."""
        return sum(r for bits, r in self.keys.items() if bits.startswith(prefix))

    def report(self):
        """Let each target report what it owns."""
        for name in self.board.members():
            owned = [prefix for _, prefix in self.ownership.owned(name)]
            shards = [(p, round(self.rate(p) * RATE_SCALE)) for p in sorted(owned)]
            hot = [
                (int(bits, 2), round(rate * RATE_SCALE))
                for bits, rate in self.keys.items()
                if any(bits.startswith(prefix) for prefix in owned)
            ]
            report = Report("lango", "jobs", name, self.offset, 0, 0, shards, hot)
            self.board.add_report(report, self.now)

    def round(self):
        """Finish moves, report, plan and apply the plan."""
        self.now += ROUND_S
        for prefix in sorted(self.board.moving):
            epoch = self.shards[prefix].epoch
            self.apply(records.Release("r", "jobs", prefix, epoch))
        self.report()
        moving = len(self.board.moving)
        usable = frozenset(
            name
            for name in self.board.members()
            if name not in self.section["drain"]
            and name not in self.suspected
            and self.board.takes_shards(name)
        )
        made = plan(self.board, self.ownership, self.section, self.now, self.suspected)
        self.board.clear_changed(made.deferred)
        if made.assigns:
            self.apply(records.Assign("a", "p", made.assigns))
        if made.moves:
            self.apply(records.Move("m", "p", made.moves))
        for prefix, epoch in made.splits:
            self.apply(records.Split("s", "jobs", prefix, epoch))
        for prefix, epochs in made.merges:
            self.apply(records.Merge("g", "jobs", prefix, epochs))
        return Moment(usable, moving, made)

    def imbalance(self):
        """Return max over mean of the true rates of the targets in use."""
        usable = [n for n in self.board.members() if n not in self.section["drain"]]
        rates = [
            sum(self.rate(p) for p, s in self.shards.items() if s.owner == name)
            for name in usable
        ]
        return max(rates) / (sum(rates) / len(rates))


events = st.lists(
    st.sampled_from(
        ["round", "join", "end", "leave", "drain", "suspect", "trust", "shift"]
    ),
    max_size=25,
)
loads = st.dictionaries(st.text(max_size=4), st.integers(1, 300), max_size=12)


def happen(service, event, number):
    """Let one event happen if the service stands it."""
    members = sorted(service.board.members())
    spare = [
        name
        for name in members
        if name not in service.section["drain"]
        and name not in service.suspected
        and service.board.takes_shards(name)
    ]
    if event == "join":
        service.admit(f"j{number}", ZONES[number % 3])
    elif event == "trust":
        service.suspected.clear()
    elif event == "shift":
        rates = list(service.keys.values())
        service.keys = dict(zip(service.keys, rates[1:] + rates[:1]))
    elif len(spare) > 1 and event == "end":
        given = service.end(spare[number % len(spare)])
        for shard in given:
            assert shard.owner in spare
    elif len(spare) > 1 and event == "leave":
        name = spare[number % len(spare)]
        version = service.ownership.incarnations[name].version
        service.apply(records.Withdraw("w", name, version, ()))
    elif len(spare) > 1 and event == "drain":
        service.section["drain"].append(spare[number % len(spare)])
    elif len(spare) > 1 and event == "suspect":
        service.suspected.add(spare[number % len(spare)])


@given(history=events, keys=loads, targets=st.integers(2, 7))
def test_plans_are_allowed_whatever_happens(history, keys, targets):
    """Guards against shards for dead, drained or suspected targets, too many moves at
    once, records without effect, gaps in the hash space and shards without an owner."""
    service = Service(targets, keys)
    service.round()
    for number, event in enumerate(history):
        happen(service, event, number)
        drained = set(service.section["drain"])
        drained |= {
            name
            for name in service.board.members()
            if not service.board.takes_shards(name)
        }
        evacuated = {prefix for name in drained for prefix in service.board.held(name)}
        moment = service.round()
        for shard in moment.plan.assigns + moment.plan.moves:
            assert shard.owner in moment.targets
        balancing = [m for m in moment.plan.moves if m.prefix not in evacuated]
        limit = max(MIN_MOVES, MOVES_PER_TARGET * len(moment.targets) + 1)
        assert len(balancing) + moment.moving <= max(limit, moment.moving)
        assert is_exact_cover(service.shards)
        assert all(shard.owner for shard in service.shards.values())
        for prefix, shard in service.shards.items():
            assert service.board.holder(prefix) == (shard.destination or shard.owner)


@given(keys=loads, targets=st.integers(2, 6))
def test_moves_to_a_fixed_load_end(keys, targets):
    """Guards against oscillation: a planner that never stops moving shards."""
    service = Service(targets, keys)
    for _ in range(80):
        service.round()
    late = [service.round().plan for _ in range(30)]
    assert [made.moves + made.splits + made.merges for made in late] == [()] * 30


@given(keys=loads, targets=st.integers(2, 6))
def test_sums_of_the_board_follow_the_fold(keys, targets):
    """Guards against loads kept by changes that drift from a full recount."""
    service = Service(targets, keys)
    for _ in range(10):
        service.round()
    for name in service.board.members():
        held = [p for p in service.shards if service.board.holder(p) == name]
        total = sum(map(service.board.load, held))
        assert service.board.load_of(name) == pytest.approx(total, abs=1e-6)


def test_single_hot_keys_are_placed_on_their_own():
    """Guards against hot keys of one shard that no move can spread."""
    shard = hash_bits("gate-0")[:5]
    near = [f"gate-{n}" for n in range(999) if hash_bits(f"gate-{n}")[:5] == shard]
    service = Service(3, {key: 100 for key in near[:6]})
    service.round()
    assert service.imbalance() == 3
    for _ in range(40):
        service.round()
    assert service.imbalance() == 1


def test_cold_siblings_merge_again():
    """Guards against shards of keys that are no longer hot and are kept for ever."""
    service = Service(3, {f"gate-{n}": 50 for n in range(5)})
    service.round()
    first = len(service.shards)
    for _ in range(20):
        service.round()
    split = len(service.shards)
    service.keys = {hash_bits(f"other-{n}"): 2 for n in range(200)}
    for _ in range(60):
        service.round()
    assert split > first
    assert len(service.shards) < split


def test_drained_targets_are_empty_after_one_plan():
    """Guards against a drained target that keeps shards until the budget allows."""
    service = Service(3, {f"gate-{n}": 10 for n in range(60)})
    service.round()
    service.section["drain"] = ["t1"]
    service.round()
    assert not service.board.held("t1")


def test_a_joining_target_fills_gradually():
    """Guards against a cold target that is given its whole share at once."""
    service = Service(3, {f"gate-{n}": 10 for n in range(300)})
    for _ in range(30):
        service.round()
    service.admit("late", "dar-a")
    filled = []
    for _ in range(60):
        service.round()
        filled.append(service.board.load_of("late") / (service.board.total / 4))
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
def test_successors_are_spread_over_trusted_targets(suspected, expected):
    """Guards against a takeover that gives shards to a node that is failing as well."""
    service = Service(6, {})
    service.round()
    for shard in list(service.shards):
        if service.shards[shard].owner != "t0":
            epoch = service.shards[shard].epoch
            give = records.ShardOwner("jobs", shard, epoch, "t0")
            service.apply(records.Move("m", "p", (give,)))
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
    """Guards against a takeover that counts shards where load is known."""
    service = Service(3)
    service.round()
    shards = successors(
        service.ownership,
        {"jobs": service.section},
        {"t0"},
        lambda name: (by_target, lambda prefix, owner: 5.0),
    )
    assert {shard.owner for shard in shards} == owners


def test_a_report_of_a_shard_owned_elsewhere_is_dropped():
    """Guards against late reports that undo what the fold shows."""
    service = Service(2, {})
    service.round()
    prefix = next(p for p, s in service.shards.items() if s.owner == "t0")
    for name, since, rate in (("t1", service.offset, 50), ("t0", 0, 70)):
        report = Report("lango", "jobs", name, since, 0, 0, [(prefix, rate)], [])
        service.board.add_report(report, service.now)
        assert service.board.rate(prefix) == 0


def test_reports_that_later_owners_contradict_are_corrected():
    """Guards against a target that claims ten times its load and is emptied."""
    service = Service(2, {f"gate-{n}": 20 for n in range(64)})
    service.round()
    honest = service.board.add_report

    def take(report, now):
        if report.incarnation == "t0":
            shards = [(prefix, rate * 10) for prefix, rate in report.shards]
            report = report._replace(shards=shards)
        honest(report, now)

    service.board.add_report = take
    for _ in range(200):
        service.round()
    ratio = service.board.correction("t1") / service.board.correction("t0")
    assert 5 < ratio < 20
    assert service.imbalance() < 1.5


@pytest.mark.parametrize(
    "in_flight, room", [([0, 0, 0], 1.0), ([20, 10, 0], 0.25), ([20, 20, 20], -0.5)]
)
def test_headroom_for_the_loss_of_a_zone(in_flight, room):
    """Guards against a deployment that silently has no room for a lost zone."""
    service = Service(3)
    service.round()
    for name, count in zip(("t0", "t1", "t2"), in_flight):
        report = Report("lango", "jobs", name, 0, count, 0, [], [])
        service.board.add_report(report, service.now)
    found = headroom(service.board, service.section, service.now)
    assert found == {zone: pytest.approx(room) for zone in ZONES}
