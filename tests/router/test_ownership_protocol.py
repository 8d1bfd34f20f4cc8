"""One holder of each key at every instant: real keepers, a faulty store, a fake clock.

Each node runs the real ``OwnershipManager`` and ``Follower``. Targets measure their
holds with a clock that runs slow by as much as the platform allows. Which rules are
switched off to see that this test notices is listed in ``RULES``.
"""

import itertools
from types import SimpleNamespace
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
from jujuberudder_router._keymap import Owner
from jujuberudder_router._ownership import OwnershipManager
from jujuberudder_router._target import Target

VMS = ("a", "b", "c")
SERVICE = "jobs"
BEAT_S = 0.87
SLOW_CLOCK = 1.02
STEP_S = 2.0
MOVES = ("kill node", "start node", "kill target", "start target", "leave")
STORE = ("store ok", "store down", "store lost", "store late")
CUTS = ("cut", "heal", "freeze", "thaw", "give")


class Log:
    """The fleet topic, with faults by VM."""

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

    def store_of(self, vm):
        """Return the store as one VM reaches it."""

        async def append(topic, key, value, expected_end):
            mode = self.modes[vm]
            await trio.sleep(0.004)
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
            if mode == "store lost":
                await trio.sleep(1.0)
                return Err(Failure("append", "store", "lost", True))
            return Ok(done)

        async def read(topic, start, wait_s):
            if self.modes[vm] == "store down":
                await trio.sleep(1.0)
                return Err(Failure("read", "store", "down"))
            with trio.move_on_after(wait_s):
                while len(self.records) <= start:
                    await self.changed.wait()
            found = [Record(start + i, *r) for i, r in enumerate(self.records[start:])]
            page = Page(found, len(self.records))
            # The answer is on its way for long now and then.
            await trio.sleep(0.004 if start % 3 else 0.5)
            return Ok(page)

        async def newest(topic):
            if self.modes[vm] == "store down":
                await trio.sleep(1.0)
                return Err(Failure("newest", "store", "down"))
            last = {}
            for offset, (key, value) in enumerate(self.records):
                last[key] = Record(offset, key, value)
            return Ok(Page(list(last.values()), len(self.records)))

        return SimpleNamespace(append=append, read=read, newest=newest)


class Holder:
    """One life of a target: what it holds, until when, and what it saw."""

    _births = itertools.count(1)

    def __init__(self, vm):
        self.vm = vm
        self.id, self.started_ms = f"i-{vm}", next(self._births)
        self.rows, self.until = {}, 0.0
        self.freed, self.highest = [], 0
        self.leaving = False
        self.sequence = 0

    @property
    def incarnation(self):
        """Name of this life."""
        return f"{self.id}@{self.started_ms}"

    def held(self, now):
        """Return what is held at a time."""
        if now >= self.until:
            self.rows = {}
        return self.rows


class World:
    """Nodes, targets and cuts, with a check after each grant."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.log = Log(nursery)
        self.holders = dict.fromkeys(VMS)
        self.nodes = dict.fromkeys(VMS)
        self.cut_since = dict.fromkeys(VMS)
        self.frozen = dict.fromkeys(VMS, False)
        self.taken = []

    def check(self, holder, now):
        """No other target may hold a key of what was just granted."""
        for other in self.holders.values():
            if other is None or other is holder:
                continue
            for start, end in other.held(now):
                for low, high in holder.rows:
                    assert end < low or start > high, (
                        f"{holder.incarnation} and {other.incarnation} hold "
                        f"{low}-{high} at {now}"
                    )

    def start_node(self, vm):
        """Start a process of the node, with empty memory."""
        if self.nodes[vm] is not None:
            return
        scope = trio.CancelScope()
        node = self._make_node(vm)
        follower = Follower(
            self.log.store_of(vm),
            MEMBERSHIP_TOPIC,
            lambda: 1.0,
            node.apply,
            lambda *a, **f: None,
        )
        node.follower = follower
        node.ownership = OwnershipManager(node, self.log.store_of(vm), follower)
        self.nodes[vm] = (node, scope)

        async def run():
            with scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(follower.run)
                    nursery.start_soon(node.ownership.run)

        self.nursery.start_soon(run)

    def _make_node(self, vm):
        node = SimpleNamespace(
            settings=SimpleNamespace(vm=vm, service=SERVICE, hold_limit_s=10.0),
            target=Target("127.0.0.1:1"), keymaps={}, links={},
            is_keyed=lambda service: True,
            encode_keymap=msgspec.msgpack.encode,
            log=lambda event, **fields: None,
            metrics=SimpleNamespace(count=lambda event: None),
            admission=SimpleNamespace(
                load=lambda: None, recent_work=lambda: [], sample_usage=lambda now: None
            ),
        )  # fmt: skip

        def apply(record):
            node.keymaps[SERVICE] = msgspec.msgpack.decode(record.value, type=KeyMap)

        node.apply = apply
        node.owners = lambda service: self._owners(vm)
        node.unreachable_s = lambda other: self._unreachable_s(other)
        node.links = {
            other: SimpleNamespace(load=None, request_read=int)
            for other in VMS
            if other != vm
        }
        return node

    def _owners(self, vm):
        found = []
        for name, holder in self.holders.items():
            node = self.nodes[name]
            if holder is None or holder.leaving or node is None:
                continue
            if name != vm and self._unreachable_s(name) > 0:
                continue
            if node[0].target.incarnation == holder.incarnation:
                found.append(Owner(name, holder.incarnation))
        return found

    def _unreachable_s(self, vm):
        since = self.cut_since[vm]
        return 0.0 if since is None else trio.current_time() - since

    def kill_node(self, vm):
        """End a process of the node; links to it are down."""
        if self.nodes[vm] is not None:
            self.nodes[vm][1].cancel()
            self.nodes[vm] = None

    async def tell(self, vm, other):
        """Let a node hear how far another one has read, also while both are cut off.

        Every third answer is on its way for long.
        """
        for number in itertools.count():
            await trio.sleep(0.5)
            if self.nodes[vm] is None or self.nodes[other] is None:
                continue
            hearer, teller = self.nodes[vm][0].follower, self.nodes[other][0].follower
            sent = trio.current_time()
            await trio.sleep(0.01)
            if teller.read_at is None:
                continue
            end, age_s = teller.end, trio.current_time() - teller.read_at
            await trio.sleep(0.01 if number % 3 else 1.5)
            if end is not None:
                hearer.confirm_read(end, sent - age_s)

    async def beat(self, vm):
        """Send the beats of a VM's targets until cancelled."""
        while True:
            await trio.sleep(BEAT_S)
            holder, node = self.holders[vm], self.nodes[vm]
            if holder is None or node is None:
                continue
            await self._beat_once(vm, holder, node[0])

    async def _beat_once(self, vm, holder, node):
        sent = trio.current_time()
        freed = tuple(holder.freed)
        holder.sequence += 1
        while self.frozen[vm]:
            await trio.sleep(0.1)
        beat = Heartbeat(
            holder.id, holder.started_ms, holder.sequence, SERVICE, "z", holder.leaving,
            4, 0.0, (), freed,
        )  # fmt: skip
        now = trio.current_time()
        if node.target.apply_heartbeat(beat, now) == "old":
            return
        grant = node.ownership.grant(beat, now)
        if grant is None or self.holders[vm] is not holder:
            return
        holder.freed = holder.freed[len(freed) :]
        self._accept(holder, grant, sent)

    def _accept(self, holder, grant, sent):
        now = trio.current_time()
        rows = {(row.start, row.end): row.fence for row in grant.ranges}
        for start, end in holder.held(now):
            for low, high in uncovered_ranges(start, end, rows):
                holder.freed.append((low, high, "token"))
        holder.rows = rows
        holder.until = sent + grant.ttl_s * SLOW_CLOCK
        if now < holder.until:
            self.check(holder, now)

    def move(self, kind, vm):
        """Make one thing happen."""
        now = trio.current_time()
        if kind == "kill node":
            self.kill_node(vm)
            self.cut_since[vm] = now
        elif kind == "start node":
            self.start_node(vm)
            self.cut_since[vm] = None
        elif kind == "kill target":
            self.holders[vm] = None
        elif kind == "start target" and self.holders[vm] is None:
            self.holders[vm] = Holder(vm)
        elif kind == "leave" and self.holders[vm] is not None:
            self.holders[vm].leaving = True
        elif kind.startswith("store"):
            self.log.modes[vm] = kind
        elif kind == "cut":
            self.log.modes[vm] = "store down"
            self.cut_since[vm] = self.cut_since[vm] or now
        elif kind == "heal":
            self.log.modes[vm] = "store ok"
            if self.nodes[vm] is not None:
                self.cut_since[vm] = None
        elif kind in ("freeze", "thaw"):
            self.frozen[vm] = kind == "freeze"
        elif kind == "give" and self.nodes[vm] is not None:
            self._give(self.nodes[vm][0], vm)

    def _give(self, node, vm):
        keymap = node.keymaps.get(SERVICE)
        rows = [r for r in keymap.ranges if r.vm == vm] if keymap else []
        if rows and node.target.incarnation and not node.ownership._giving:
            row, to = rows[0], VMS[(VMS.index(vm) + 1) % len(VMS)]
            middle = (row.start + row.end) // 2
            until = node.target.grant_expiry + ownership_module.MARGIN_S
            node.ownership._giving[(row.start, middle)] = (until, to)


async def play(moves, calm_s=0.0):
    """Play moves, each after a pause, and return the world."""
    async with trio.open_nursery() as nursery:
        world = World(nursery)
        for vm in VMS:
            world.holders[vm] = Holder(vm)
            world.start_node(vm)
            nursery.start_soon(world.beat, vm)
            for other in VMS:
                if other != vm:
                    nursery.start_soon(world.tell, vm, other)
        await trio.sleep(4.0)
        for kind, vm, pause in moves:
            world.move(kind, vm)
            await trio.sleep(pause * STEP_S)
        await trio.sleep(calm_s)
        nursery.cancel_scope.cancel()
    return world


def run(moves, calm_s=0.0):
    """Play moves on a clock that skips idle time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(play, moves, calm_s, clock=clock)


move = st.tuples(
    st.sampled_from(MOVES + STORE + CUTS),
    st.sampled_from(VMS),
    st.sampled_from((0, 1, 1, 3, 6)),
)


@given(st.lists(move, min_size=2, max_size=14))
def test_never_two_holders(moves):
    """Guards against two targets that hold a key at one instant."""
    run(moves)


# Rules of the keeper, the constant or function that each lives in, and moves that need
# it. Switching one off must show two holders, or this file would prove nothing.
def confirm_any(follower, end, at):
    """Take another node's read as this one's, whatever it showed."""
    follower.read_at = max(follower.read_at or 0.0, at)


def confirm_late(follower, end, at):
    """Take another node's read as if it were sent when it was heard of."""
    if follower.end is not None and end <= follower.end:
        follower.read_at = trio.current_time()


RULES = {
    "another node's read counts only if it showed nothing new": (
        (Follower, "confirm_read", confirm_any),
        [("cut", "a", 6), ("give", "b", 3)],
    ),
    "another node's read counts from when it was sent": (
        (Follower, "confirm_read", confirm_late),
        [("store down", "b", 0), ("cut", "a", 8)],
    ),
    "wait for lease and hold before a takeover": (
        (ownership_module, "TAKEOVER_S", 0.5),
        [("cut", "a", 6), ("give", "b", 3)],
    ),
    "the hold counts in the wait": (
        (ownership_module, "TAKEOVER_S", ownership_module.LEASE_S - 2.0),
        [("cut", "a", 6)],
    ),
    "grants end with the lease": (
        (ownership_module, "LEASE_S", 1e6),
        [("cut", "a", 6), ("give", "b", 3)],
    ),
}


@pytest.mark.parametrize("rule", RULES, ids=str)
def test_a_rule_that_is_switched_off_is_noticed(rule):
    """Guards against a test that cannot fail."""
    (place, name, value), moves = RULES[rule]
    run(moves)
    with mock.patch.object(place, name, value):
        with pytest.raises((AssertionError, ExceptionGroup)):
            run(moves)


@pytest.mark.parametrize(
    "moves, calm_s",
    [
        ([("kill target", "a", 0)], 6.0),
        ([("kill target", "a", 1), ("start target", "a", 0)], 3.0),
        ([("kill node", "a", 1), ("start node", "a", 0)], 4.0),
        ([("kill node", "a", 0)], 16.0),
        ([("cut", "a", 0)], 16.0),
        ([("leave", "a", 0)], 3.0),
        ([("store lost", "a", 0), ("kill target", "a", 0)], 9.0),
        ([("store late", "a", 0), ("kill target", "a", 0)], 20.0),
        ([("freeze", "a", 3), ("thaw", "a", 0)], 4.0),
    ],
    ids=str,
)
def test_all_keys_have_a_holder_again(moves, calm_s):
    """Guards against keys that stay without an owner after a loss."""
    world = run(moves, calm_s)
    covered = sorted(
        row
        for holder in world.holders.values()
        if holder is not None and (holder.vm != "a" or world.nodes["a"])
        for row in holder.rows
    )
    ends = [-1] + [end for _, end in covered]
    assert [start for start, _ in covered] == [end + 1 for end in ends[:-1]]
    assert ends[-1] == 65535
