"""The store comes back from an older copy: acknowledged records are lost.

The nodes of ``test_ownership_protocol`` run here with the real ``Membership`` against a
store that states an era, can be restored from a copy, and loses what came after it.
"""

import itertools
import json
from types import SimpleNamespace
from unittest import mock

import pytest
import trio
from hypothesis import given
from result import Err, Ok

from jujuberudder_base import Failure
from jujuberudder_emulator import CONFIGURATION, StoreStandin
from jujuberudder_platform.__main__ import ADAPTER
from jujuberudder_router import (
    MEMBERSHIP_TOPIC,
    Appended,
    Conflict,
    KeyMap,
    Page,
    Record,
    Store,
    Truncated,
)
from jujuberudder_router import _era as era_module
from jujuberudder_router import _membership as membership_module
from jujuberudder_router import _ownership as ownership_module
from jujuberudder_router._directory import Directory
from jujuberudder_router._era import (
    FENCE_STEP,
    KEEP_MISSING_S,
    EraState,
    is_unsettled,
    keeps_missing,
    may_apply,
    reads_extend_lease,
    restored_keymap,
    settled_keymap,
)
from jujuberudder_router._follower import PEER_ERA_INTERVAL_S, Follower
from jujuberudder_router._frames import ReadProgress, Update
from jujuberudder_router._given_up import GivenUpKeys
from jujuberudder_router._grant_calls import GrantCaller
from jujuberudder_router._kept_leavings import KeptLeavings
from jujuberudder_router._membership import Membership
from jujuberudder_router._ownership import TAKEOVER_DELAY_S, OwnershipManager
from jujuberudder_router._placement import SuddenDemand
from jujuberudder_router._relay import decode_result, encode_result
from jujuberudder_router._types import KeyRange

from . import test_ownership_protocol as protocol
from .test_ownership_protocol import SERVICE, TRANSPORTS, VMS
from .test_store_out_of_reach import make_node


class CopiedStore(protocol.SimulatedStore):
    """A store that states its era, and may be restored from a copy."""

    def __init__(self, nursery):
        super().__init__(nursery)
        self.era, self.copy = 1, []

    def restore(self):
        """Lose what was appended since the copy."""
        self.records, self.era = list(self.copy), self.era + 1
        self.changed.set()
        self.changed = trio.Event()

    def store_of(self, vm):
        """Return the store with the faults of one VM."""
        store = super().store_of(vm)

        async def append(topic, key, value, expected_end):
            result = await store.append(topic, key, value, expected_end)
            era = self.era
            await trio.sleep(0.004)
            match result:
                case Ok(Appended(offset)):
                    return Ok(Appended(offset, era))
                case Ok(Conflict(end)):
                    return Ok(Conflict(end, era))
            return result

        async def read(topic, start, wait_s, on_data=None):
            if self.modes[vm] == "store down":
                await trio.sleep(1.0)
                return Err(Failure("read", "store", "down"))
            with trio.move_on_after(wait_s):
                while len(self.records) == start:
                    await self.changed.wait()
            era, end = self.era, len(self.records)
            records = [
                Record(start + i, *r) for i, r in enumerate(self.records[start:])
            ]
            await trio.sleep(0.004 if start % 3 else 0.5)
            return Ok(Truncated(0, era) if start > end else Page(records, end, era))

        async def newest(topic, on_data=None):
            era, result = self.era, await store.newest(topic)
            if isinstance(result, Err):
                return result
            return Ok(Page(result.ok_value.records, result.ok_value.end, era))

        return SimpleNamespace(append=append, read=read, newest=newest)


class EraSimulation(protocol.Simulation):
    """Simulation with the real ``Membership`` and a ``CopiedStore``."""

    def __init__(self, nursery, transport, heartbeats):
        super().__init__(nursery, transport, heartbeats)
        self.store = CopiedStore(nursery)
        # Events of all nodes that were logged: (time, VM, event).
        self.events = []
        # Event and VM: the node is killed when it logs the event.
        self.crash_on = None

    def start_node(self, vm):
        """Start a new process of the node, without state."""
        if self.nodes[vm] is not None:
            return
        scope, node, store = trio.CancelScope(), self._make_node(vm), None
        node.draining, node.vms = False, Directory()
        node.settings.peer_address, node.settings.zone = "127.0.0.1:1", "z"
        node.settings.link_bytes_per_s = 1e6

        def log(event, **fields):
            self.events.append((trio.current_time(), vm, event))
            if (event, vm) == self.crash_on:
                self.kill_node(vm)

        node.log = log
        node.peers.drop = lambda name: None
        node.on_own_keymap = lambda: node.grant_caller.check_now()
        node.check_leaving = node.on_entry_written = lambda: None
        node.leavings, node.with_kept_leaving = KeptLeavings(), lambda entry: entry
        store = self.store.store_of(vm)
        node.membership = Membership(node, store)
        node.node_incarnation = node.membership.node_incarnation
        self.last_processes[vm] = node.node_incarnation

        def on_era(follower, previous_end):
            node.ownership.on_era(previous_end)
            node.membership.on_era(previous_end, ownership_module.TAKEOVER_DELAY_S)

        follower = Follower(
            store, MEMBERSHIP_TOPIC, lambda: 1.0, node.membership.apply, node.log,
            on_era=on_era,
        )  # fmt: skip
        node.follower = node.membership_follower = follower

        def apply(record):
            node.era, node.era_changed = follower.era, follower.era_changed
            node.membership.apply(record)

        follower._apply = apply
        node.entry_confirmed = lambda: node.membership.entry_confirmed(follower.end)
        node.incarnation_of = lambda other: getattr(
            node.vms.get(other), "node_incarnation", None
        )
        node.sharing.update_since = lambda topic, since: Update(
            topic, since, follower.end, follower.records_since(since), follower.era
        )
        node.ownership = OwnershipManager(node, store, follower)
        node.grant_caller = GrantCaller(node, node.ownership, self._make_calls(vm))
        self.nodes[vm] = (node, scope)
        self.call_peers[vm] = None

        async def run():
            with scope:
                async with trio.open_nursery() as nursery:
                    for task in (
                        node.membership, follower, node.ownership, node.grant_caller,
                    ):  # fmt: skip
                        nursery.start_soon(task.run)

        self.nursery.start_soon(run)

    async def _send_heartbeat(self, vm, target, node):
        await super()._send_heartbeat(vm, target, node)
        node.membership.announce()

    async def _deliver(self, frame, vm, other):
        if isinstance(frame, Update) and self.nodes[other] is not None:
            if not self.nodes[other][0].follower.same_era(frame.era):
                return
        await super()._deliver(frame, vm, other)

    async def share_progress(self, vm, other):
        """Send a node the read progress of another one, with its era."""
        for number in itertools.count():
            await trio.sleep(0.5)
            if self.nodes[vm] is None or self.nodes[other] is None:
                continue
            receiver, sender = self.nodes[vm][0].follower, self.nodes[other][0].follower
            sent, read_at, era = trio.current_time(), sender.read_at, sender.era
            if read_at is None:
                continue
            end = sender.end
            await trio.sleep(0.02 if number % 3 else 1.5)
            if end is not None and receiver.same_era(era):
                receiver.confirm_read(end, min(sent, read_at))

    def apply_event(self, kind, vm):
        """Apply one event to a VM, or to the store."""
        if kind == "copy":
            self.store.copy = list(self.store.records)
        elif kind == "restore":
            self.store.restore()
        elif kind.startswith("crash at "):
            self.crash_on = (kind.removeprefix("crash at "), vm)
        else:
            super().apply_event(kind, vm)


def run(events, settle_s=0.0, transport="heartbeat"):
    """Simulate events on a clock that skips idle time."""
    with mock.patch.object(protocol, "Simulation", EraSimulation):
        return protocol.run(events, settle_s, transport)


ERA_EVENTS = ("copy", "restore", "restore")


@given(protocol.event_lists(protocol.EVENTS + ERA_EVENTS))
def test_no_two_targets_serve_a_key(events):
    """Guards against two targets that serve a key, and fences that fall."""
    run(events)


@pytest.mark.parametrize("transport", TRANSPORTS)
@given(
    protocol.event_lists(
        protocol.EVENTS + protocol.EVACUATION_EVENTS + ERA_EVENTS,
        protocol.SHORT_PAUSES,
    )
)
def test_no_two_targets_serve_a_key_after_evacuations(transport, events):
    """Guards against keys granted again after a release, or its handover, was lost."""
    run(events, transport=transport)


@given(protocol.event_lists(protocol.EVENTS + protocol.CALL_EVENTS + ERA_EVENTS))
def test_no_two_targets_serve_a_key_granted_by_call(events):
    """Guards against the same with grants by calls."""
    run(events, transport="call")


# A move from VM b to c that the copy does not have; VM a writes it.
LOST_MOVE = [("copy", "a", 0), ("move keys", "b", 1.0)]
RESTART = [("kill node", "b", 0), ("start node", "b", 0)]
# fmt: off
CRASHES = {
    "no crash": lambda vm: [("restore", "a", 0)],
    "before it noticed": lambda vm: [
        ("restore", "a", 0), ("kill node", vm, 0.5), ("start node", vm, 0)],
    "after it noticed": lambda vm: [
        ("crash at store_era", vm, 0), ("restore", "a", 1), ("start node", vm, 0)],
    "after its append": lambda vm: [
        ("crash at key_map_restored", vm, 0), ("restore", "a", 3),
        ("start node", vm, 0)],
    "append without answer": lambda vm: [
        ("store lost", vm, 0), ("restore", "a", 0.4), ("kill node", vm, 0.5),
        ("store ok", vm, 0), ("start node", vm, 0)],
    "append executed late": lambda vm: [
        ("store late", vm, 0), ("restore", "a", 0.4), ("kill node", vm, 0.5),
        ("store ok", vm, 0), ("start node", vm, 0)],
    "all nodes": lambda vm: [
        *(("kill node", name, 0) for name in VMS), ("restore", "a", 0),
        *(("start node", name, 0) for name in VMS)],
    "restored twice": lambda vm: [
        ("restore", "a", 0.5), ("kill node", vm, 0), ("restore", "a", 0.5),
        ("start node", vm, 0)],
}
# fmt: on


@pytest.mark.parametrize("transport", TRANSPORTS)
@pytest.mark.parametrize("vm", VMS)
@pytest.mark.parametrize("crash", CRASHES)
def test_state_after_a_crash_at_each_step(crash, vm, transport):
    """Guards against a crash that leaves keys without an owner, or old records.

    The crashed VM wrote the lost key map (a), gave keys up (b), or got them (c).
    """
    events = [*LOST_MOVE, *CRASHES[crash](vm)]
    simulation = run(events, TAKEOVER_DELAY_S + 8.0, transport)
    held = sorted(r for target in simulation.targets.values() for r in target.held)
    ends = [-1, *(end for _, end in held)]
    assert [start for start, _ in held] == [end + 1 for end in ends[:-1]]
    assert ends[-1] == 65535
    newest = dict(simulation.store.records)
    for name in VMS:
        entry = membership_module._vm_decoder.decode(newest[f"vm/{name}"])
        assert entry.node_incarnation == simulation.nodes[name][0].node_incarnation
    keymap = membership_module._keymap_decoder.decode(newest[f"keys/{SERVICE}"])
    assert (keymap.era, keymap.provisional) == (simulation.store.era, False)


@pytest.mark.parametrize("transport", TRANSPORTS)
def test_targets_keep_their_keys(transport):
    """Guards against keys that no target serves because the store came back older."""
    events = [("copy", "a", 0), ("move keys", "b", 2), ("restore", "a", 0)]
    simulation = run(events, 0.0, transport)
    before = {vm: sorted(t.held) for vm, t in simulation.targets.items()}
    for settle_s in (1.0, 4.0, TAKEOVER_DELAY_S, TAKEOVER_DELAY_S + 4.0):
        simulation = run(events, settle_s, transport)
        after = {vm: sorted(t.held) for vm, t in simulation.targets.items()}
        assert after == before, f"{settle_s} s after the restore"
    events = [event for _, _, event in simulation.events]
    assert events.count("key_map_restored") == events.count("key_map_settled") == 1


def test_no_split_of_a_hot_range_while_the_owners_stay(monkeypatch):
    """Guards against hot keys that are given up 10 s before they can be handed over."""
    make_node_of, planned = EraSimulation._make_node, []

    def make_hot_node(self, vm):
        node = make_node_of(self, vm)
        node.admission.sudden_demand = lambda now: SuddenDemand({1: 9.0}, 100, 1.0)
        return node

    monkeypatch.setattr(EraSimulation, "_make_node", make_hot_node)
    monkeypatch.setattr(
        OwnershipManager, "_plan_move",
        lambda manager, now: planned.append(manager._is_unsettled(now)),
    )  # fmt: skip
    run([("copy", "a", 1), ("restore", "a", 0)], TAKEOVER_DELAY_S + 4.0, "call")
    assert planned and not any(planned)


def forget_given_up(manager, previous_end):
    """Keep none of what the VM gave up in the previous era."""
    manager._knew_keymap = manager._held_lease_at_era = True
    manager._released, manager._pending_moves = {}, {}
    manager._given_up_keys = GivenUpKeys()


def settle_with_old_fences(keymap, state):
    """Settle a key map without fences above those that were lost."""
    return KeyMap(keymap.service, keymap.next_fence, keymap.ranges, era=state.era)


# The new owner of a lost move is cut off, and the writer and the old owner restart.
CUT_OFF = [
    *LOST_MOVE, ("partition", "c", 0), ("kill node", "b", 0), ("kill node", "a", 0),
    ("restore", "a", 0), ("start node", "a", 0), ("start node", "b", 8),
]  # fmt: skip
# Rules: the function that implements each, a replacement that disables it, and events
# in which two targets then serve a key or a fence falls.
# fmt: off
RULES = {
    "owners stay until the key map is settled": (
        (era_module, "is_unsettled", lambda keymap, state: False), CUT_OFF,
    ),
    "only a lease of the previous era is extended before": (
        (era_module, "reads_extend_lease", lambda keymap, state, valid: True), CUT_OFF,
    ),
    "an older key map is not applied": (
        (membership_module, "may_apply", lambda known, read, era, changed: True),
        [("copy", "a", 0), ("move keys", "b", 2), ("restore", "a", 6)],
    ),
    "settled fences are above lost ones": (
        (era_module, "settled_keymap", settle_with_old_fences), CUT_OFF,
    ),
    "what was given up is not granted again": (
        (OwnershipManager, "on_era", forget_given_up),
        [
            ("copy", "a", 0), ("delay reports", "a", 0), ("store down", "b", 0),
            ("move keys", "b", 1.0), ("kill node", "a", 0), ("partition", "c", 0),
            ("store ok", "b", 0), ("restore", "a", 0), ("start node", "a", 8),
        ],
    ),
}
# fmt: on


@pytest.mark.parametrize("rule", RULES)
def test_disabled_rule_is_detected(rule):
    """Guards against tests of this file that pass although a rule is missing."""
    (place, name, value), events = RULES[rule]
    run(events)
    with mock.patch.object(place, name, value):
        with pytest.raises((AssertionError, ExceptionGroup)):
            run(events)


def keymap_of(next_fence, era, provisional=False, vm="a"):
    """Return a key map with one range."""
    key_range = KeyRange(0, 65535, next_fence - 1, vm, "i@1")
    return KeyMap(SERVICE, next_fence, (key_range,), (), era, provisional)


@pytest.mark.parametrize(
    "known, read, era, changed, expected",
    [
        (None, keymap_of(3, 1), 2, False, True),
        (keymap_of(4, 0), keymap_of(3, 0), 0, False, True),
        (keymap_of(4, 2), keymap_of(3, 2), 2, False, False),
        (keymap_of(4, 1), keymap_of(3, 2, True), 2, True, False),
        (keymap_of(4, 1), keymap_of(4, 2, True), 2, True, True),
        (keymap_of(4, 1), keymap_of(4, 2, True, "b"), 2, True, False),
        (keymap_of(4, 1), keymap_of(5, 1), 2, True, False),
        (keymap_of(4, 1), keymap_of(5, 1), 2, False, True),
        (keymap_of(4, 2), keymap_of(9, 1), 2, True, False),
        (keymap_of(4, 2), keymap_of(4, 2, False, "b"), 2, True, True),
    ],
    ids=[
        "none known", "no era", "lower fence", "lower fence restored", "restored",
        "same fence, other owner", "older era, late", "copy in a new process",
        "older era, higher fence", "same era",
    ],
)  # fmt: skip
def test_key_map_that_replaces_the_known_one(known, read, era, changed, expected):
    """Guards against fences that fall, and late appends of an earlier era."""
    assert may_apply(known, read, era, changed) is expected


KNEW = EraState(2, 1.0, True, True, keymap_of(3, 1))
FRESH = EraState(2, 1.0, False, False, keymap_of(3, 1))


@pytest.mark.parametrize(
    "keymap, state, delay_s, expected",
    [
        (keymap_of(4, 1), KNEW, 0.0, keymap_of(4, 2, True)),
        (keymap_of(3, 1), KNEW, 0.0, keymap_of(3, 2, True)),
        (keymap_of(4, 1), KNEW, 1.5, None),
        (keymap_of(4, 1), KNEW._replace(age_s=4.1), 30.0, keymap_of(4, 2, True)),
        (keymap_of(3, 1), FRESH, 0.0, None),
        (keymap_of(2, 1), KNEW, 0.0, None),
        (keymap_of(4, 2), KNEW, 0.0, keymap_of(4, 2)),
        (keymap_of(4, 2), KNEW._replace(stored=keymap_of(4, 2)), 0.0, None),
        (keymap_of(4, 0), EraState(), 0.0, None),
    ],
    ids=[
        "newer", "same", "rank", "last rank", "new process", "older", "late append",
        "stored", "no era",
    ],
)  # fmt: skip
def test_restored_key_map(keymap, state, delay_s, expected):
    """Guards against key maps that are lost, or restored by one who has read none."""
    assert restored_keymap(keymap, state, delay_s) == expected


@pytest.mark.parametrize(
    "keymap, state, lease_valid, expected",
    [
        (keymap_of(4, 0), EraState(), False, True),
        (keymap_of(4, 2), KNEW._replace(stored=keymap_of(4, 2)), False, True),
        (keymap_of(4, 2, True), KNEW._replace(stored=keymap_of(4, 2)), True, True),
        (keymap_of(4, 2, True), KNEW._replace(stored=keymap_of(4, 2)), False, False),
        (keymap_of(4, 1), KNEW, True, False),
        (keymap_of(3, 1), FRESH, True, False),
        (None, FRESH._replace(stored=None), True, False),
        (None, FRESH._replace(stored=None, era=1), True, True),
    ],
    ids=[
        "no era", "settled", "lease held", "lease ended", "not stored", "not read",
        "no key map", "new service",
    ],
)  # fmt: skip
def test_reads_that_extend_a_lease(keymap, state, lease_valid, expected):
    """Guards against a lease on keys that a lost record gave to another VM."""
    assert reads_extend_lease(keymap, state, lease_valid) is expected


def test_settled_fences_exceed_those_of_lost_changes():
    """Guards against fences that were used by lost changes, also doubled ones."""
    settled = settled_keymap(keymap_of(4, 1), KNEW._replace(stored=keymap_of(9, 1)))
    assert settled.ranges[0].fence >= 2 * 9 + FENCE_STEP
    assert not is_unsettled(settled, KNEW)
    for era in range(3, 200):
        settled = settled_keymap(settled, KNEW._replace(era=era))
    assert settled.next_fence < 2**53
    # A restore may lose the settled key map too, with the changes made after it.
    known = keymap_of(9, 1)
    lost = settled_keymap(known, EraState(2, stored=known))
    again = settled_keymap(known, EraState(3, stored=known))
    assert again.ranges[0].fence >= lost.next_fence + 1000
    # In the first era, a service without a key map is new, and waits for nothing.
    assert not is_unsettled(KeyMap(SERVICE), EraState(1, 0.0))
    assert is_unsettled(KeyMap(SERVICE), EraState(2, 0.0))


class ScriptedStore:
    """Responses of a store: to reads by offset, and to reads of the newest records."""

    def __init__(self):
        self.era, self.records, self.reads = 1, [], []

    def restore(self, records, era=2):
        """Come back with other records."""
        self.records, self.era = records, era

    async def read(self, topic, start, wait_s, on_data=None):
        """Return the records from an offset on, after the wait if there are none."""
        self.reads.append(start)
        await trio.sleep(0.01 if len(self.records) > start else wait_s)
        if start > len(self.records):
            return Ok(Truncated(0, self.era))
        return Ok(Page(self.records[start:], len(self.records), self.era))

    async def newest(self, topic, on_data=None):
        """Return all records."""
        self.reads.append("newest")
        await trio.sleep(0.01)
        return Ok(Page(list(self.records), len(self.records), self.era))


def records_of(*values):
    """Return records with these values."""
    return [Record(i, f"k{i}", value) for i, value in enumerate(values)]


@pytest.mark.parametrize(
    "after",
    [
        records_of(b"a"),
        records_of(b"a", b"B", b"C"),
        records_of(b"a", b"B", b"C", b"D"),
    ],
    ids=["410", "same end", "later end"],
)
async def test_follower_starts_again_in_a_new_era(after, autojump_clock, nursery):
    """Guards against offsets of one era that are used in another one."""
    store, applied, eras = ScriptedStore(), [], []
    store.restore(records_of(b"a", b"b", b"c"), 1)
    follower = Follower(
        Store(None, store.read, store.newest), MEMBERSHIP_TOPIC, lambda: 1.0,
        lambda record: applied.append(record.value), lambda *a, **k: None,
        on_era=lambda follower, previous_end: eras.append(previous_end),
    )  # fmt: skip
    nursery.start_soon(follower.run)
    await trio.sleep(1.0)
    del applied[:]
    restored_at = trio.current_time()
    store.restore(after)
    await trio.sleep(1.5)
    assert applied == [record.value for record in after]
    assert (follower.era, follower.end, eras) == (2, len(after), [3])
    assert follower.read_at >= restored_at - 1.0 and follower.era_read_at is not None
    # Neither an earlier era nor a missing one begins an era.
    for late_era in (1, 0):
        store.era = late_era
        await trio.sleep(3.0)
        assert (follower.era, follower.end) == (2, len(after))


async def test_calls_of_many_nodes_in_a_new_era(autojump_clock, nursery):
    """Guards against a store that all nodes of a deployment call again and again."""
    store, nodes = ScriptedStore(), 81
    store.restore(records_of(*[b"x"] * 90), 1)
    for _ in range(nodes):
        follower = Follower(
            Store(None, store.read, store.newest), MEMBERSHIP_TOPIC, lambda: 0.6,
            lambda record: None, lambda *a, **k: None, lambda: 0.25,
        )  # fmt: skip
        nursery.start_soon(follower.run)
    await trio.sleep(2.0)
    store.restore(records_of(*[b"y"] * 80))
    del store.reads[:]
    await trio.sleep(2.0)
    assert store.reads.count("newest") == nodes
    assert len(store.reads) <= 5 * nodes


async def test_words_of_other_nodes_about_another_era(autojump_clock, nursery):
    """Guards against records and leases of another era, and a wrong era of a node."""
    store = ScriptedStore()
    store.restore(records_of(b"a"), 2)
    follower = Follower(
        Store(None, store.read, store.newest), MEMBERSHIP_TOPIC, lambda: 1.0,
        lambda record: None, lambda *a, **k: None,
        read_delay_s=lambda f: 0.0 if f.end is None else 1e3,
    )  # fmt: skip
    nursery.start_soon(follower.run)
    await trio.sleep(0.1)
    assert not follower.merge(1, 2, [(1, "k", b"old")], 1)
    assert follower.merge(1, 2, [(1, "k", b"new")], 2)
    # A node that has read further causes a read of its own, which decides.
    store.restore(records_of(b"x"), 3)
    assert not follower.merge(0, 9, [(0, "k", b"other")], 3)
    await trio.sleep(0.1)
    assert (follower.era, follower.end) == (3, 1)
    await trio.sleep(2.0)
    count = len(store.reads)
    for _ in range(100):
        follower.same_era(10**9)
        await trio.sleep(0.1)
    assert follower.era == 3
    assert len(store.reads) - count <= 10.0 / PEER_ERA_INTERVAL_S + 1


async def test_first_read_of_a_slow_store(autojump_clock, nursery):
    """Guards against a node that never starts, since others state the era meanwhile."""

    async def newest(topic, on_data=None):
        await trio.sleep(2.0)
        return Ok(Page(records_of(b"a"), 1, 1))

    follower = Follower(
        Store(None, None, newest), MEMBERSHIP_TOPIC, lambda: 1.0,
        lambda record: None, lambda *a, **k: None,
        read_delay_s=lambda f: 0.0 if f.end is None else 1e3,
    )  # fmt: skip
    nursery.start_soon(follower.run)
    for _ in range(20):
        await trio.sleep(0.5)
        follower.same_era(1)
    assert follower.started


@pytest.mark.parametrize("operator_era", [1, 2])
@pytest.mark.parametrize("operator_end, confirmed", [(0, False), (3, True), (6, False)])
async def test_read_progress_without_operator_records(
    operator_era, operator_end, confirmed, autojump_clock
):
    """Guards against keys served too long in a zone whose record was read late."""
    node = make_node("vm-0", Store(None, None, None))
    node.membership_follower.accept_era(2)
    node.configuration_follower.accept_era(operator_era)
    node.configuration_follower.end = 5
    progress = ReadProgress(operator_end, 2, 0.0, False, 2)
    node.on_pong("vm-1", progress, trio.current_time())
    known = node.evacuations._current_at is not None
    assert known == (confirmed and operator_era == 2)


@pytest.mark.parametrize("era, expected", [(0, 2), (2, 2), (1, 0), (3, 0)])
async def test_read_progress_of_another_era(era, expected, autojump_clock):
    """Guards against a lease that a read of another era extends."""
    node = make_node("vm-0", Store(None, None, None))
    node.membership_follower.accept_era(2)
    node.membership_follower.end = 2
    node.on_pong("vm-1", ReadProgress(0, 2, 0.0, False, era), trio.current_time())
    read_at = node.membership_follower.read_at
    assert (read_at is not None) == bool(expected)
    assert node.read_progress().era == 2


@pytest.mark.parametrize(
    "value",
    [Page(records_of(b"a"), 1, 7), Appended(3, 7), Conflict(3, 7), Truncated(3, 7)],
)
def test_relayed_results_state_the_era(value):
    """Guards against a relayed response that hides a new era."""
    assert decode_result(encode_result(value)) == value


async def test_configuration_and_missing_records(autojump_clock):
    """Guards against a configuration that goes back, and evacuations that end at once.

    The operator writes again what was lost, within 5 s.
    """
    node = make_node("vm-0", Store(None, None, None))
    follower = node.configuration_follower

    def read(version, era):
        value = json.dumps(CONFIGURATION | {"version": f"{version:08x}"}).encode()
        records = [(0, ADAPTER.configuration_key, value)]
        follower.accept_era(era)
        assert follower.merge(0, 1, records, era)

    read(5, 1)
    assert not node.keeps_missing_operator_records()
    follower.accept_era(2)
    assert node.keeps_missing_operator_records()
    await trio.sleep(9.0)
    read(4, 2)
    assert node.config_version == 5
    await trio.sleep(KEEP_MISSING_S - 0.1)
    assert node.keeps_missing_operator_records()
    await trio.sleep(0.2)
    assert not node.keeps_missing_operator_records()
    assert not keeps_missing(None, 0.0)


def test_standin_comes_back_from_a_copy():
    """Guards against a stand-in that keeps records or offsets of the previous era."""
    store = StoreStandin(era=1)
    store.put("keyed.op", "config", b"1")
    copied = store.copy()
    store.put("keyed.op", "config", b"2")
    store.put("keyed.fleet", "vm/a", b"a")
    store.restore(copied)
    assert store.era == 2
    operator, fleet = store.partition("keyed.op"), store.partition("keyed.fleet")
    assert (operator.end, operator.newest["config"]) == (1, (0, b"1"))
    assert operator.read(2, 1024) is None and fleet.end == 0 and not fleet.newest
