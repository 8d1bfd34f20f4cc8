"""The store comes back from an older copy: acknowledged records are lost.

The nodes of ``test_ownership_protocol`` run here with the real ``Membership`` against a
store that states an era, can be restored from a copy, and loses what came after it.
"""

import itertools
from types import SimpleNamespace
from unittest import mock

import trio
from hypothesis import given
from result import Err, Ok

from jujuberudder_base import Failure
from jujuberudder_router import (
    MEMBERSHIP_TOPIC,
    Appended,
    Conflict,
    Page,
    Record,
    Truncated,
)
from jujuberudder_router import _ownership as ownership_module
from jujuberudder_router._directory import Directory
from jujuberudder_router._follower import Follower
from jujuberudder_router._frames import Update
from jujuberudder_router._grant_calls import GrantCaller
from jujuberudder_router._membership import Membership
from jujuberudder_router._ownership import OwnershipManager

from . import test_ownership_protocol as protocol


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
            match result:
                case Ok(Appended(offset)):
                    # A restore may come between the append and its response.
                    written = self.records[offset : offset + 1] == [(key, value)]
                    return Ok(Appended(offset, self.era if written else self.era - 1))
                case Ok(Conflict(end)):
                    return Ok(Conflict(end, self.era))
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

    def __init__(self, nursery, transport):
        super().__init__(nursery, transport)
        self.store = CopiedStore(nursery)
        # Events of all nodes that were logged: (time, VM, event).
        self.events = []

    def start_node(self, vm):
        """Start a new process of the node, without state."""
        if self.nodes[vm] is not None:
            return
        scope, node, store = trio.CancelScope(), self._make_node(vm), None
        node.draining, node.vms = False, Directory()
        node.settings.peer_address, node.settings.zone = f"{vm}:1", "z"
        node.settings.link_bytes_per_s = 1e6
        node.log = lambda event, **f: self.events.append(
            (trio.current_time(), vm, event)
        )
        node.peers.drop = lambda name: None
        node.on_own_keymap = lambda: node.grant_caller.check_now()
        node.check_leaving = lambda: None
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
            node.era = follower.era
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


@given(protocol.event_lists(protocol.EVENTS + protocol.CALL_EVENTS + ERA_EVENTS))
def test_no_two_targets_serve_a_key_granted_by_call(events):
    """Guards against the same with grants by calls."""
    run(events, transport="call")
