"""At every instant at most one target serves a key, despite faults.

Each node runs the real ``OwnershipManager`` and ``Follower`` against a simulated store
with faults, on a simulated clock. Targets measure the duration of their grants with a
clock that runs slow by as much as the platform allows. Keys are granted by the
responses to heartbeats, or by calls of the real ``GrantCaller`` that may get no
response and may be applied seconds later. ``RULES`` lists the rules that are disabled
in turn to verify that these tests detect it.
"""

import itertools
from types import SimpleNamespace
from typing import NamedTuple
from unittest import mock

import msgspec
import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from jujuberudder_base import Failure
from jujuberudder_emulator import uncovered_ranges
from jujuberudder_router import (
    MEMBERSHIP_TOPIC,
    Appended,
    Conflict,
    Heartbeat,
    KeyMap,
    Page,
    Record,
)
from jujuberudder_router import _ownership as ownership_module
from jujuberudder_router._follower import Follower
from jujuberudder_router._frames import Update
from jujuberudder_router._given_up import GivenUpKeys
from jujuberudder_router._grant_calls import GrantCaller, GrantCalls
from jujuberudder_router._held_keys import HeldKeys
from jujuberudder_router._keymap import Owner
from jujuberudder_router._ownership import OwnershipManager
from jujuberudder_router._placement import SuddenDemand
from jujuberudder_router._target import Target

VMS = ("a", "b", "c")
SERVICE = "jobs"
HEARTBEAT_INTERVAL_S = 0.87
CLOCK_DRIFT_FACTOR = 1.02
PAUSE_UNIT_S = 2.0
PROCESS_EVENTS = (
    "kill node", "start node", "kill target", "start target", "leave", "lose address",
)  # fmt: skip
STORE_EVENTS = ("store ok", "store down", "store lost", "store late")
NETWORK_EVENTS = (
    "partition", "reconnect", "freeze", "thaw", "move keys", "delay reports",
)  # fmt: skip
EVACUATION_EVENTS = (
    "evacuate", "end evacuation", "store slow", "stop reports", "topic busy",
)  # fmt: skip
CALL_EVENTS = (
    "calls ok", "calls unsent", "grants lost", "grants late", "releases lost",
    "releases late", "calls slow",
)  # fmt: skip
# Heartbeats of incarnations that no process is: one that is ready or leaves, and one
# that reports all keys as released.
CLAIM_EVENTS = ("claim start", "claim leaving", "claim releases")
# Delay of a call that is applied late, in seconds, and of a slow one.
LATE_CALL_S, SLOW_CALL_S = (2.0, 2.3, 5.0, 12.0), 0.25
# Ways in which keys are granted.
TRANSPORTS = ("heartbeat", "call")
# Delay of the reports of released ranges by "delay reports", in seconds.
REPORT_DELAY_S = 1.5
# Delay of a call of a slow store, in seconds.
SLOW_STORE_S = 0.3
# Interval in seconds between two records of other VMs in a busy topic, most of which
# make a change of the key map fail that waits for a slow store.
BUSY_INTERVAL_S = 0.4


class Heartbeats(NamedTuple):
    """When targets send heartbeats: their phases, and the interval after a release."""

    phases_s: tuple = (0.0, 0.0, 0.0)
    release_interval_s: float = HEARTBEAT_INTERVAL_S


class SimulatedStore:
    """The membership topic in memory, with a fault mode for each VM."""

    def __init__(self, nursery):
        self._nursery = nursery
        self.records = []
        self.modes = dict.fromkeys(VMS, "store ok")
        self.changed = trio.Event()

    def _append(self, key, value, expected_end):
        if expected_end is not None and expected_end != len(self.records):
            return Conflict(len(self.records))
        self.records.append((key, value))
        self.changed.set()
        self.changed = trio.Event()
        return Appended(len(self.records) - 1)

    async def append_for_others(self):
        """Append records of other VMs until cancelled."""
        while True:
            self._append("other/z", b"", None)
            await trio.sleep(BUSY_INTERVAL_S)

    def store_of(self, vm):
        """Return the store with the faults of one VM."""

        async def append(topic, key, value, expected_end):
            mode = self.modes[vm]
            await trio.sleep(SLOW_STORE_S if mode == "store slow" else 0.004)
            if mode == "store down":
                await trio.sleep(1.0)
                return Err(Failure("append", "store", "down", True))
            if mode == "store late":

                async def later():
                    await trio.sleep(3.0)
                    self._append(key, value, expected_end)

                self._nursery.start_soon(later)
                await trio.sleep(1.0)
                return Err(Failure("append", "store", "late", True))
            done = self._append(key, value, expected_end)
            if mode == "store slow":
                await trio.sleep(SLOW_STORE_S)
            if mode == "store lost":
                await trio.sleep(1.0)
                return Err(Failure("append", "store", "lost", True))
            return Ok(done)

        async def read(topic, start, wait_s, on_data=None):
            if self.modes[vm] == "store down":
                await trio.sleep(1.0)
                return Err(Failure("read", "store", "down"))
            with trio.move_on_after(wait_s):
                while len(self.records) <= start:
                    await self.changed.wait()
            records = [
                Record(start + i, *r) for i, r in enumerate(self.records[start:])
            ]
            page = Page(records, len(self.records))
            # Reads from every third offset are answered only after 0.5 s.
            slow = self.modes[vm] == "store slow"
            await trio.sleep(SLOW_STORE_S if slow else 0.004 if start % 3 else 0.5)
            return Ok(page)

        async def newest(topic, on_data=None):
            if self.modes[vm] == "store down":
                await trio.sleep(1.0)
                return Err(Failure("newest", "store", "down"))
            last = {}
            for offset, (key, value) in enumerate(self.records):
                last[key] = Record(offset, key, value)
            return Ok(Page(list(last.values()), len(self.records)))

        return SimpleNamespace(append=append, read=read, newest=newest)


class SimulatedTarget:
    """One incarnation of a target: the ranges that it holds, and until when.

    ``taken`` are the ranges with the fences under which it ever held them.
    """

    _start_numbers = itertools.count(1)

    def __init__(self, vm):
        self.vm = vm
        self.id, self.started_ms = f"i-{vm}", next(self._start_numbers)
        # (start, end) to (fence, expiry).
        self.held = {}
        self.taken = []
        self.released = []
        self.leaving = False
        self.sequence = 0

    @property
    def incarnation(self):
        """Name of this incarnation."""
        return f"{self.id}@{self.started_ms}"

    def served_ranges(self, now):
        """Return the ranges (start, end) that the target may serve at a time."""
        self.held = {r: h for r, h in self.held.items() if now < h[1]}
        return list(self.held)

    def hold(self, start, end, fence, expiry):
        """Hold a range, unless a higher fence was seen; return whether it does."""
        if any(f > fence and s <= end and start <= e for s, e, f in self.taken):
            return False
        self.drop(start, end)
        self.held[(start, end)] = (fence, expiry)
        self.taken.append((start, end, fence))
        return True

    def drop(self, start, end):
        """Hold a range no more, and return the parts that were held."""
        dropped = []
        for (low, high), held in list(self.held.items()):
            if low <= end and start <= high:
                del self.held[(low, high)]
                for part in uncovered_ranges(low, high, [(start, end)]):
                    self.held[part] = held
                dropped.append((max(low, start), min(high, end)))
        return dropped


class Simulation:
    """Nodes, targets and partitions, with a check after each grant."""

    def __init__(self, nursery, transport, heartbeats=Heartbeats()):
        self.nursery = nursery
        self.transport, self.heartbeats = transport, heartbeats
        self.store = SimulatedStore(nursery)
        # Mode of the calls to each target, and incarnation at the other end of the
        # connection of each node.
        self.call_modes = dict.fromkeys(VMS, "calls ok")
        self.call_peers = {}
        self._late_calls = itertools.cycle(LATE_CALL_S)
        self.targets = dict.fromkeys(VMS)
        self.nodes = dict.fromkeys(VMS)
        self.unreachable_since = dict.fromkeys(VMS)
        # VM to when it lost its address, and the last process before.
        self.displaced = {}
        self.last_processes = {}
        self.frozen = dict.fromkeys(VMS, False)
        self.evacuated = dict.fromkeys(VMS, False)
        # All incarnations so far.
        self.incarnations = []
        self._process_numbers = itertools.count(1)
        self.reports_delayed = dict.fromkeys(VMS, False)
        # VMs that get no reports and records from others, but still read and append.
        self.reports_stopped = dict.fromkeys(VMS, False)

    def add_target(self, vm, late=False):
        """Start a new incarnation of a target, which sends a heartbeat at once.

        It does so one interval later if ``late`` is true.
        """
        self.targets[vm] = target = SimulatedTarget(vm)
        self.incarnations.append(target)
        if self.nodes[vm] is not None and not late:
            self.nursery.start_soon(self._send_heartbeat, vm, target, self.nodes[vm][0])

    def check(self, target, now):
        """Check that no other target serves a key that was just granted.

        Its fence must be higher than all fences under which others held the key.
        """
        for other in self.targets.values():
            if other is None or other is target:
                continue
            for start, end in other.served_ranges(now):
                for low, high in target.held:
                    assert end < low or start > high, (
                        f"{target.incarnation} and {other.incarnation} serve "
                        f"{low}-{high} at {now}"
                    )
        for other in self.incarnations:
            if other is target:
                continue
            for start, end, seen in other.taken:
                for (low, high), (fence, _) in target.held.items():
                    assert end < low or start > high or fence > seen, (
                        f"{target.incarnation} holds {low}-{high} under {fence}, "
                        f"{other.incarnation} did under {seen}"
                    )

    def start_node(self, vm):
        """Start a new process of the node, without state."""
        if self.nodes[vm] is not None:
            return
        scope = trio.CancelScope()
        node = self._make_node(vm)
        follower = Follower(
            self.store.store_of(vm),
            MEMBERSHIP_TOPIC,
            lambda: 1.0,
            node.apply,
            lambda *a, **f: None,
        )
        node.follower = follower
        node.ownership = OwnershipManager(node, self.store.store_of(vm), follower)
        node.grant_caller = GrantCaller(node, node.ownership, self._make_calls(vm))
        self.nodes[vm] = (node, scope)
        self.call_peers[vm] = None

        async def announce():
            append, result = self.store.store_of(vm).append, None
            while not isinstance(result, Ok):
                result = await append(
                    MEMBERSHIP_TOPIC, f"vm/{vm}", node.node_incarnation, None
                )

        async def run():
            with scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(announce)
                    nursery.start_soon(follower.run)
                    nursery.start_soon(node.ownership.run)
                    nursery.start_soon(node.grant_caller.run)

        self.nursery.start_soon(run)

    def _make_node(self, vm):
        node_incarnation = f"{vm}#{next(self._process_numbers)}"
        self.last_processes[vm] = node_incarnation
        node = SimpleNamespace(
            node_incarnation=node_incarnation, entries={},
            settings=SimpleNamespace(vm=vm, service=SERVICE, hold_limit_s=10.0),
            target=Target("127.0.0.1:1"), keymaps={}, links={},
            is_keyed=lambda service: True,
            grants_by_call=self.transport == "call",
            encode_keymap=msgspec.msgpack.encode,
            log=lambda event, **fields: None,
            metrics=SimpleNamespace(count=lambda event: None),
            admission=SimpleNamespace(
                load=lambda: None, recent_work=lambda: [], demand=dict,
                sudden_demand=lambda now: SuddenDemand({}, 0, 1.0),
                sample_usage=lambda now: None, dispatch=lambda: None,
            ),
        )  # fmt: skip

        node.target.evacuated = self.evacuated[vm]

        def apply(record):
            if record.key.startswith("other/"):
                return
            if record.key.startswith("vm/"):
                entry = (record.value, record.offset)
                node.entries[record.key.removeprefix("vm/")] = entry
                return
            node.keymaps[SERVICE] = msgspec.msgpack.decode(record.value, type=KeyMap)
            node.grant_caller.check_now()

        node.apply = apply
        node.entry_confirmed = lambda: self.entry_confirmed(node)
        node.incarnation_of = lambda other: node.entries.get(other, (None, 0))[0]
        node.owners = lambda service: self._owners(vm)
        node.unreachable_s = lambda other: self._unreachable_s(other)
        node.displaced_s = lambda other: self._displaced_s(node, other)
        node.load_of = lambda other, now: None
        place = VMS.index(vm)
        watched = VMS[place + 1 :] + VMS[:place]
        node.watch_rank = lambda other: watched.index(other)
        node.peers = SimpleNamespace(
            send_soon=lambda other, frame: self.nursery.start_soon(
                self._deliver, frame, vm, other
            ),
        )
        node.sharing = SimpleNamespace(
            update_since=lambda topic, since: Update(
                topic, since, node.follower.end, node.follower.records_since(since)
            )
        )
        node.store_failing = False
        return node

    def entry_confirmed(self, node):
        """Whether a node has read its own entry and all records before it."""
        incarnation, offset = node.entries.get(node.settings.vm, (None, 0))
        return incarnation == node.node_incarnation and node.follower.end > offset

    async def _deliver(self, frame, vm, other):
        """Deliver a report of released ranges, or records."""
        await trio.sleep(REPORT_DELAY_S if self.reports_delayed[vm] else 0.01)
        reachable = not (self._unreachable_s(vm) or self._unreachable_s(other))
        stopped = self.reports_stopped[other]
        if self.nodes[other] is None or not reachable or stopped:
            return
        node = self.nodes[other][0]
        if isinstance(frame, Update):
            node.follower.merge(frame.since, frame.end, frame.records)
        else:
            node.ownership.on_releases(frame)

    def _owners(self, vm):
        owners = []
        for name, target in self.targets.items():
            node = self.nodes[name]
            if target is None or target.leaving or node is None:
                continue
            if self.evacuated[name]:
                continue
            if name != vm and self._unreachable_s(name) > 0:
                continue
            if node[0].target.incarnation == target.incarnation:
                owners.append(Owner(name, target.incarnation))
        return owners

    def _unreachable_s(self, vm):
        since = self.unreachable_since[vm]
        return 0.0 if since is None else trio.current_time() - since

    def _displaced_s(self, node, vm):
        """Return how long a VM is displaced for a node that may know no later entry."""
        since, process = self.displaced.get(vm, (0.0, None))
        if process is None or node.incarnation_of(vm) != process:
            return 0.0
        return trio.current_time() - since

    def kill_node(self, vm):
        """End the process of the node; peer links to it are down."""
        if self.nodes[vm] is not None:
            self.nodes[vm][1].cancel()
            self.nodes[vm] = None

    async def share_progress(self, vm, other):
        """Send a node the read progress of another one, also during partitions.

        Every third message is delayed by 1.5 s.
        """
        for number in itertools.count():
            await trio.sleep(0.5)
            if self.nodes[vm] is None or self.nodes[other] is None:
                continue
            receiver, sender = self.nodes[vm][0].follower, self.nodes[other][0].follower
            sent = trio.current_time()
            await trio.sleep(0.01)
            if sender.read_at is None:
                continue
            end, age_s = sender.end, trio.current_time() - sender.read_at
            await trio.sleep(0.01 if number % 3 else 1.5)
            if end is not None:
                receiver.confirm_read(end, sent - age_s)

    async def send_heartbeats(self, vm):
        """Send the heartbeats of a VM's targets until cancelled."""
        await trio.sleep(self.heartbeats.phases_s[VMS.index(vm)])
        while True:
            target = self.targets[vm]
            released = target is not None and target.released
            await trio.sleep(
                self.heartbeats.release_interval_s if released else HEARTBEAT_INTERVAL_S
            )
            target, node = self.targets[vm], self.nodes[vm]
            if target is None or node is None:
                continue
            await self._send_heartbeat(vm, target, node[0])

    async def _send_heartbeat(self, vm, target, node):
        sent = trio.current_time()
        released = tuple(target.released)
        target.sequence += 1
        while self.frozen[vm]:
            await trio.sleep(0.1)
        heartbeat = Heartbeat(
            target.id, target.started_ms, target.sequence, SERVICE, "z", target.leaving,
            4, 0.0, (), released,
        )  # fmt: skip
        now = trio.current_time()
        if node.target.apply_heartbeat(heartbeat, now) == "old":
            return
        # The membership entry is written at once here.
        node.target.leaving_binds = node.target.leaving
        node.ownership.on_heartbeat(heartbeat, now)
        if self.transport == "call":
            node.grant_caller.on_heartbeat()
            return
        grant = node.ownership.grant(now)
        if grant is None or self.targets[vm] is not target:
            return
        target.released = target.released[len(released) :]
        self._accept(target, grant, sent)

    def _accept(self, target, grant, sent):
        now = trio.current_time()
        granted = [(key_range.start, key_range.end) for key_range in grant.ranges]
        for start, end in target.served_ranges(now):
            for low, high in uncovered_ranges(start, end, granted):
                target.released.append((low, high, "token"))
                target.drop(low, high)
        expiry = sent + grant.ttl_s * CLOCK_DRIFT_FACTOR
        for key_range in grant.ranges:
            target.hold(key_range.start, key_range.end, key_range.fence, expiry)
        if now < expiry:
            self.check(target, now)

    def _make_calls(self, vm):
        """Return the ``GrantCalls`` of a VM, with the faults of its present mode."""

        async def connect():
            """Return the target, or the failure of a call that was not sent."""
            while self.frozen[vm]:
                await trio.sleep(0.1)
            target, peer = self.targets[vm], self.call_peers[vm]
            if target is None or peer not in (None, target.incarnation):
                self.call_peers[vm] = None
                return None, Err(Failure("call", vm, "connection lost"))
            self.call_peers[vm] = target.incarnation
            return target, None

        async def call(kind, apply):
            """Apply a call in the present mode; return None if there is no response."""
            mode = self.call_modes[vm]
            if mode == "calls unsent":
                await trio.sleep_forever()
            await trio.sleep(SLOW_CALL_S if mode == "calls slow" else 0.001)
            if mode == f"{kind} late":

                async def apply_later():
                    await trio.sleep(next(self._late_calls))
                    apply()

                self.nursery.start_soon(apply_later)
                await self._hang(vm)
            result = apply()
            if mode == f"{kind} lost":
                await self._hang(vm)
            return result

        async def grant(target_id, key_range, end_at):
            target, failure = await connect()
            if failure is not None:
                return failure
            sent = trio.current_time()
            if end_at - sent < 0.05:
                return Err(Failure("grant", vm, "too late"))
            expiry = sent + (end_at - sent) * CLOCK_DRIFT_FACTOR

            def apply():
                now = trio.current_time()
                if now >= expiry:
                    return True
                accepted = target.hold(
                    key_range.start, key_range.end, key_range.fence, expiry
                )
                if self.targets[vm] is target:
                    self.check(target, now)
                return accepted

            return Ok(await call("grants", apply))

        async def release(target_id, start, end, fence):
            target, failure = await connect()
            if failure is not None:
                return failure

            def apply():
                target.served_ranges(trio.current_time())
                return "token" if target.drop(start, end) else ""

            return Ok(await call("releases", apply))

        return GrantCalls(grant, release)

    async def _hang(self, vm):
        """Wait until the caller gives the call up and closes the connection."""
        try:
            await trio.sleep_forever()
        finally:
            self.call_peers[vm] = None

    def apply_event(self, kind, vm):
        """Apply one event to a VM."""
        now = trio.current_time()
        if kind == "kill node":
            self.kill_node(vm)
            self.unreachable_since[vm] = now
        elif kind == "lose address":
            # The target may still serve until its last grant has expired.
            self.kill_node(vm)
            self.unreachable_since[vm] = now
            self.displaced[vm] = (now, self.last_processes[vm])
        elif kind == "start node":
            self.start_node(vm)
            self.unreachable_since[vm] = None
        elif kind == "kill target":
            self.targets[vm] = None
        elif kind == "start target" and self.targets[vm] is None:
            self.add_target(vm)
        elif kind == "start target late":
            self.add_target(vm, late=True)
        elif kind == "leave" and self.targets[vm] is not None:
            self.targets[vm].leaving = True
        elif kind.startswith("store"):
            self.store.modes[vm] = kind
        elif kind in CALL_EVENTS:
            self.call_modes[vm] = kind
        elif kind == "partition":
            self.store.modes[vm] = "store down"
            self.unreachable_since[vm] = self.unreachable_since[vm] or now
        elif kind == "reconnect":
            self.store.modes[vm] = "store ok"
            if self.nodes[vm] is not None:
                self.unreachable_since[vm] = None
        elif kind in ("freeze", "thaw"):
            self.frozen[vm] = kind == "freeze"
        elif kind in ("evacuate", "end evacuation"):
            self.evacuated[vm] = kind == "evacuate"
            if self.nodes[vm] is not None:
                node = self.nodes[vm][0]
                node.target.evacuated = self.evacuated[vm]
                node.grant_caller.check_now()
        elif kind in CLAIM_EVENTS and self.nodes[vm] is not None:
            self._claim_incarnation(vm, self.nodes[vm][0], kind)
        elif kind == "topic busy":
            self.nursery.start_soon(self.store.append_for_others)
        elif kind == "stop reports":
            self.reports_stopped[vm] = True
        elif kind == "delay reports":
            self.reports_delayed[vm] = True
        elif kind == "move keys" and self.nodes[vm] is not None:
            self._start_move(self.nodes[vm][0], vm)

    def _claim_incarnation(self, vm, node, kind):
        """Send a heartbeat of another writer, which names a new incarnation."""
        claimed, now = SimulatedTarget(vm), trio.current_time()
        released = ((0, 65535, "claimed"),) if kind == "claim releases" else ()
        heartbeat = Heartbeat(
            f"other-{vm}", claimed.started_ms, 1, SERVICE, "z",
            kind == "claim leaving", 4, 0.0, (), released,
        )  # fmt: skip
        node.target.apply_heartbeat(heartbeat, now)
        node.target.leaving_binds = node.target.leaving
        node.ownership.on_heartbeat(heartbeat, now)

    def _start_move(self, node, vm):
        keymap = node.keymaps.get(SERVICE)
        ranges = [r for r in keymap.ranges if r.vm == vm] if keymap else []
        if ranges and node.target.incarnation and not node.ownership._pending_moves:
            key_range, to = ranges[0], VMS[(VMS.index(vm) + 1) % len(VMS)]
            middle = (key_range.start + key_range.end) // 2
            node.ownership._pending_moves[(key_range.start, middle)] = to
            node.target.held.withdraw(key_range.start, middle)


async def simulate(events, settle_s, transport, heartbeats):
    """Apply events with pauses between them and return the simulation."""
    async with trio.open_nursery() as nursery:
        simulation = Simulation(nursery, transport, heartbeats)
        for vm in VMS:
            simulation.start_node(vm)
            simulation.add_target(vm)
            nursery.start_soon(simulation.send_heartbeats, vm)
            for other in VMS:
                if other != vm:
                    nursery.start_soon(simulation.share_progress, vm, other)
        await trio.sleep(4.0)
        for kind, vm, pause in events:
            simulation.apply_event(kind, vm)
            await trio.sleep(pause * PAUSE_UNIT_S)
        await trio.sleep(settle_s)
        nursery.cancel_scope.cancel()
    return simulation


def run(events, settle_s=0.0, transport="heartbeat", heartbeats=Heartbeats()):
    """Simulate events on a clock that skips idle time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(simulate, events, settle_s, transport, heartbeats, clock=clock)


EVENTS = PROCESS_EVENTS + STORE_EVENTS + NETWORK_EVENTS


# Pauses that are as long as heartbeats, reports and appends take.
SHORT_PAUSES = (0, 0.05, 0.2, 0.45, 0.7, 3)


def event_lists(kinds, pauses=(0, 1, 1, 3, 6)):
    """Return a strategy of lists of (kind, VM, pause)."""
    event = st.tuples(
        st.sampled_from(kinds), st.sampled_from(VMS), st.sampled_from(pauses)
    )
    return st.lists(event, min_size=2, max_size=14)


@given(event_lists(EVENTS))
def test_no_two_targets_serve_a_key(events):
    """Guards against two targets that serve a key at the same instant."""
    run(events)


@given(event_lists(EVENTS + CALL_EVENTS))
def test_no_two_targets_serve_a_key_granted_by_call(events):
    """Guards against grants without a response that give a key a second server."""
    run(events, transport="call")


@pytest.mark.parametrize("transport", TRANSPORTS)
@given(event_lists(EVENTS + EVACUATION_EVENTS + CALL_EVENTS, SHORT_PAUSES))
def test_no_two_targets_serve_a_key_after_evacuations(transport, events):
    """Guards against keys that are granted again after their release was reported."""
    run(events, transport=transport)


@pytest.mark.parametrize("transport", TRANSPORTS)
@given(event_lists(EVENTS + CLAIM_EVENTS + CALL_EVENTS))
def test_no_two_targets_serve_a_key_after_claims(transport, events):
    """Guards against a new incarnation that frees keys which the last one still holds.

    Heartbeats of another writer may name one while the present target serves.
    """
    run(events, transport=transport)


# Seconds by which the heartbeats of each VM follow those of the first one.
PHASES_S = [(0.0, 0.3, 0.6), (0.3, 0.6, 0.0)]
# What keeps the writer's change from the node, until the evacuation has ended.
LATE_CHANGES = [
    [("store slow", vm, 0) for vm in VMS],
    [("topic busy", "a", 0)] + [("store slow", vm, 0) for vm in VMS],
    [("topic busy", "a", 0.2)] + [("store slow", vm, 0) for vm in VMS],
    [("delay reports", "b", 0)],
    [("store late", "a", 0)],
    [("store lost", "a", 0)],
    [("stop reports", "b", 0), ("store slow", "b", 0)],
    [("store late", "a", 0), ("stop reports", "a", 0), ("store slow", "c", 0)],
]
# What happens to the node or its target when it has ended.
AFTER_EVACUATION = [
    [],
    [("evacuate", "b", 0.2), ("end evacuation", "b", 0)],
    [("freeze", "b", 0.3), ("thaw", "b", 0)],
    [("kill node", "b", 0), ("start node", "b", 0)],
    [("kill target", "b", 0.1), ("start target", "b", 0)],
    [("partition", "a", 1), ("reconnect", "a", 0)],
    [("kill node", "a", 0)],
    [("leave", "b", 0)],
]


@pytest.mark.parametrize(
    "transport, heartbeats",
    [("call", Heartbeats())] + [("heartbeat", Heartbeats(p, 0.1)) for p in PHASES_S],
    ids=str,
)
@pytest.mark.parametrize("length", [0.3, 0.4, 0.5, 0.6])
@pytest.mark.parametrize("after", AFTER_EVACUATION, ids=str)
@pytest.mark.parametrize("late_change", LATE_CHANGES, ids=str)
def test_evacuation_that_is_taken_back(
    late_change, after, length, transport, heartbeats
):
    """Guards against keys granted again that another VM may still hand over."""
    run(
        [
            *late_change, ("evacuate", "b", length), ("end evacuation", "b", 0),
            *after, ("store ok", "b", 3),
        ],
        transport=transport, heartbeats=heartbeats,
    )  # fmt: skip


@pytest.mark.parametrize("transport", TRANSPORTS)
@pytest.mark.parametrize("delay", [0.1, 0.35, 0.6, 0.85])
@pytest.mark.parametrize("moves", [("b",), ("c", "b"), ("b", "b"), ("c", "c", "b")])
def test_restart_between_release_and_handover(moves, delay, transport):
    """Guards against keys granted again by a new process that also hands them over.

    The previous process of the node planned the move and ended before the handover.
    """
    vm = moves[-1]
    planned = [("move keys", other, 1) for other in moves[:-1]]
    restart = [("kill node", vm, 0), ("start node", vm, 2)]
    run([*planned, ("move keys", vm, delay), *restart], transport=transport)


def confirm_any_read(follower, end, at):
    """Accept another node's read even if it showed records not read here."""
    follower.read_at = max(follower.read_at or 0.0, at)


def confirm_on_receipt(follower, end, at):
    """Date another node's read by when its progress arrived, not when it was sent."""
    if follower.end is not None and end <= follower.end:
        follower.read_at = trio.current_time()


def accept_reports_of_ended_processes(manager, now):
    """Return all reported releases, also those of an earlier process of a VM."""
    return [release for release, _, _ in manager._reports.values()]


def forget_grants(held):
    """Forget what the previous incarnation of a target was granted."""
    held._usable, held._possible = [], []


# Rules of the protocol: the constant or function that implements each, a replacement
# that disables it, events that need it, and in CALL_RULES those of grants by call. With
# the replacement two targets must serve a key, or a fence must not rise; otherwise the
# tests of this file prove nothing.
# fmt: off
RULES = {
    "another node's read counts only if it showed no unread records": (
        (Follower, "confirm_read", confirm_any_read),
        [("partition", "a", 6), ("move keys", "b", 3)],
    ),
    "another node's read counts from when it was sent": (
        (Follower, "confirm_read", confirm_on_receipt),
        [("store down", "b", 0), ("partition", "a", 8)],
    ),
    "wait for lease and grant before a takeover": (
        (ownership_module, "TAKEOVER_DELAY_S", 0.5),
        [("partition", "a", 6), ("move keys", "b", 3)],
    ),
    "the takeover delay includes the grant": (
        (ownership_module, "TAKEOVER_DELAY_S", ownership_module.LEASE_S - 2.0),
        [("partition", "a", 6)],
    ),
    "a report holds only for the process that sent it": (
        (
            OwnershipManager,
            "_reported_releases",
            accept_reports_of_ended_processes,
        ),
        [
            ("delay reports", "b", 0), ("move keys", "b", 0.8),
            ("kill node", "b", 0), ("start node", "b", 0.4), ("freeze", "b", 1),
        ],
    ),
    "a new process grants only after it has read its own entry": (
        (Simulation, "entry_confirmed", lambda simulation, node: True),
        [
            ("delay reports", "b", 0), ("move keys", "b", 0.8),
            ("store late", "b", 0), ("kill node", "b", 0), ("start node", "b", 0.4),
            ("freeze", "b", 1),
        ],
    ),
    "wait for the last grant of a VM whose address belongs to another": (
        (ownership_module, "DISPLACED_DELAY_S", 0.0),
        [("lose address", "b", 6)],
    ),
    "no grants after the lease expires": (
        (ownership_module, "LEASE_S", 1e6),
        [("partition", "a", 6), ("move keys", "b", 3)],
    ),
    "keys wait for the grants to earlier incarnations": (
        (HeldKeys, "reset", forget_grants),
        [("claim leaving", "b", 3)],
    ),
    "a heartbeat releases no keys of earlier incarnations": (
        (HeldKeys, "earlier_expiry", lambda held, start, end: 0.0),
        [("claim releases", "b", 3)],
    ),
}
# fmt: on


# fmt: off
CALL_RULES = {
    "wait for lease and grant before a takeover": (
        (ownership_module, "TAKEOVER_DELAY_S", 0.5),
        [("partition", "a", 6), ("move keys", "b", 3)],
    ),
    "no grants after the lease expires": (
        (ownership_module, "LEASE_S", 1e6),
        [("partition", "a", 6), ("move keys", "b", 3)],
    ),
    "a handover waits for grants without a response": (
        (HeldKeys, "open_call_expiry", lambda held, start, end: 0.0),
        [("grants late", "b", 0.4), ("move keys", "b", 3)],
    ),
    "keys without a handover wait for the latest end of their grants": (
        (HeldKeys, "expiry", lambda held, start=0, end=0: 0.0),
        [("releases late", "b", 0), ("move keys", "b", 3)],
    ),
    "grants of the previous process of a node may still be applied": (
        (HeldKeys, "assume_granted", lambda held, now, until: None),
        [
            ("grants late", "b", 0.5), ("kill node", "b", 0), ("start node", "b", 0.1),
            ("move keys", "b", 3),
        ],
    ),
    "reported keys are granted only after the key map has changed": (
        (GivenUpKeys, "without", lambda given_up, key_ranges: tuple(key_ranges)),
        [
            ("delay reports", "b", 0), ("evacuate", "b", 0.4),
            ("end evacuation", "b", 3),
        ],
    ),
    "no calls between the end of a connection and the next heartbeat": (
        (GrantCaller, "_may_call", lambda caller: True),
        # The target restarts just after a heartbeat.
        [
            ("calls ok", "b", 0.19), ("kill target", "b", 0.02),
            ("start target late", "b", 3),
        ],
    ),
}
# fmt: on


@pytest.mark.parametrize(
    "rule, transport",
    [(rule, "heartbeat") for rule in RULES] + [(rule, "call") for rule in CALL_RULES],
    ids=str,
)
def test_disabled_rule_is_detected(rule, transport):
    """Guards against a protocol test that passes although a rule is missing."""
    rules = {"heartbeat": RULES, "call": CALL_RULES}[transport]
    (place, name, value), events = rules[rule]
    run(events, transport=transport)
    with mock.patch.object(place, name, value):
        with pytest.raises((AssertionError, ExceptionGroup)):
            run(events, transport=transport)


BRIEFLY_EVACUATED = [("evacuate", "b", 0.3), ("end evacuation", "b", 0)]
OTHERS_EVACUATED = [("evacuate", "a", 0), ("evacuate", "c", 0)]


@pytest.mark.parametrize("transport", TRANSPORTS)
@pytest.mark.parametrize(
    "events, settle_s",
    [
        ([("kill target", "a", 0)], 6.0),
        ([("kill target", "a", 1), ("start target", "a", 0)], 3.0),
        ([("kill node", "a", 1), ("start node", "a", 0)], 4.0),
        ([("kill node", "a", 0)], 16.0),
        ([("lose address", "a", 0)], 5.0),
        ([("lose address", "a", 1), ("start node", "a", 0)], 4.0),
        ([("partition", "a", 0)], 16.0),
        ([("leave", "a", 0)], 3.0),
        ([("store lost", "a", 0), ("kill target", "a", 0)], 9.0),
        ([("store late", "a", 0), ("kill target", "a", 0)], 20.0),
        ([("freeze", "a", 3), ("thaw", "a", 0)], 4.0),
        ([("grants lost", "a", 2), ("calls ok", "a", 0)], 2.0),
        ([("calls unsent", "a", 3), ("calls ok", "a", 0)], 2.0),
        ([("releases late", "a", 0), ("move keys", "a", 0)], 16.0),
        ([("grants late", "a", 1), ("move keys", "a", 0), ("calls ok", "a", 0)], 6.0),
        (BRIEFLY_EVACUATED, 5.0),
        ([("delay reports", "b", 0), *BRIEFLY_EVACUATED], 6.0),
        # No other VM may own keys when those of b come back.
        ([*BRIEFLY_EVACUATED, *OTHERS_EVACUATED], 6.0),
        ([("delay reports", "b", 0), *BRIEFLY_EVACUATED, *OTHERS_EVACUATED], 6.0),
        ([("move keys", "b", 0), *OTHERS_EVACUATED], 6.0),
    ],
    ids=str,
)
def test_all_keys_are_served_after_a_failure(events, settle_s, transport):
    """Guards against keys that stay unserved after a fault of target, node or store."""
    simulation = run(events, settle_s, transport)
    covered = sorted(
        key_range
        for target in simulation.targets.values()
        if target is not None and (target.vm != "a" or simulation.nodes["a"])
        for key_range in target.held
    )
    ends = [-1] + [end for _, end in covered]
    assert [start for start, _ in covered] == [end + 1 for end in ends[:-1]]
    assert ends[-1] == 65535
