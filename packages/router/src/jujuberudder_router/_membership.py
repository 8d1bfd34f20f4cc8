"""Membership: this VM's entry in the store, and the entries of others."""

import math
import secrets
from ipaddress import ip_address

import msgspec
import trio
from result import Err

from ._era import may_apply
from ._frames import Hello
from ._http import parse_address
from ._keymap import check_keymap
from ._store import MEMBERSHIP_TOPIC
from ._types import VM, KeyMap

# Seconds between two attempts to write this VM's entry.
ANNOUNCE_RETRY_S = 0.5
# Maximum wait for the first heartbeat before the first entry is written, in seconds:
# heartbeats come every 0.87 s and may be late, and an entry without a target has to be
# written again. After a restart the entry names the target of the previous one without
# a wait.
FIRST_HEARTBEAT_WAIT_S = 2.0
# Greatest port, and greatest number of slots in an entry.
MAX_PORT, MAX_SLOTS = 65535, 65535

_vm_encoder = msgspec.msgpack.Encoder()
_vm_decoder = msgspec.msgpack.Decoder(VM)
_keymap_decoder = msgspec.msgpack.Decoder(KeyMap)


def check_vm(vm, name):
    """Check the entry of a VM.

    Raises
    ------
    ValueError
        The message names the field that is invalid.
    """
    if vm.name != name:
        raise ValueError(f"the entry of {vm.name!r}")
    host, port = parse_address(vm.address)
    ip_address(host)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"port {port}")
    if not 0 <= vm.slots <= MAX_SLOTS:
        raise ValueError(f"{vm.slots} slots")
    if not 0 <= vm.link_mbps < math.inf:
        raise ValueError(f"a link of {vm.link_mbps} Mbit/s")
    for field in ("node_incarnation", "zone", "service"):
        if not getattr(vm, field):
            raise ValueError(f"the {field} is empty")


class Membership:
    """Announces this VM and applies the entries of others.

    Parameters
    ----------
    node : Node
    store : Store
    """

    def __init__(self, node, store):
        self._node = node
        self._store = store
        self.node_incarnation = secrets.token_hex(4)
        # Entry of an earlier process of this node, and offset of the first entry of
        # this one.
        self._previous_entry, self._entry_offset = None, None
        self._written_entry = None
        # Earlier processes whose entry was read after that of this one.
        self._replaced = set()
        # Until when the entry of this process counts as read, because it was in the
        # previous era.
        self._confirmed_until = 0.0
        # Newest key map of the own service that was read in the present era.
        self.stored_keymap = None
        self._entry_changed = trio.Event()
        self.started = trio.current_time()

    def hello(self, peer=""):
        """Return the ``Hello`` of this node to the node of the VM ``peer``."""
        return Hello(self._node.settings.vm, self.node_incarnation, peer)

    def entry(self):
        """Return this VM's current entry."""
        node, settings = self._node, self._node.settings
        target, previous = node.target, self._previous_entry
        incarnation, slots = target.incarnation, target.slots
        if not incarnation and previous is not None:
            incarnation, slots = previous.target_incarnation, previous.slots
        target_leaving = target.leaving or self.known_leaving(incarnation)
        return VM(
            settings.vm, self.node_incarnation, settings.peer_address, settings.zone,
            settings.service, incarnation, slots, node.draining or target_leaving,
            target_leaving, settings.link_bytes_per_s * 8 / 1e6,
        )  # fmt: skip

    def known_leaving(self, target_incarnation):
        """Whether an earlier process of this node knew that a target is leaving.

        The store has that, or other VMs keep it.
        """
        return self._was_leaving(target_incarnation) or bool(
            self._node.leavings.keepers(target_incarnation)
        )

    def _was_leaving(self, target_incarnation):
        previous = self._previous_entry
        return (
            previous is not None
            and previous.target_leaving
            and previous.target_incarnation == target_incarnation
        )

    def entry_confirmed(self, end):
        """Whether this process has read all records up to ``end`` and its own entry.

        What it has read in the previous era counts until the key map may change owners
        in the present one.
        """
        if trio.current_time() < self._confirmed_until:
            return True
        return (
            self._entry_offset is not None
            and end is not None
            and end > self._entry_offset
        )

    def on_era(self, previous_end, confirmed_s):
        """Write the entry again in a new era of the store.

        Parameters
        ----------
        previous_end : int or None
            End of the topic that was read in the previous era.
        confirmed_s : float
            Seconds for which an entry that was read there counts as read.
        """
        if self.entry_confirmed(previous_end):
            self._confirmed_until = trio.current_time() + confirmed_s
        self._entry_offset = self._written_entry = self.stored_keymap = None
        self._entry_changed.set()

    def announce(self):
        """Schedule a write of the entry if it changed."""
        if self.entry() != self._written_entry:
            self._entry_changed.set()

    def leaving_written(self, target_incarnation):
        """Whether the newest entry says that a target is about to stop."""
        entry = self._written_entry
        return self._was_leaving(target_incarnation) or (
            entry is not None
            and entry.target_leaving
            and entry.target_incarnation == target_incarnation
        )

    def _record_written(self, entry):
        self._written_entry = entry
        self._node.on_entry_written()

    def apply(self, record):
        """Apply a record of the topic: an entry of a VM or a key map."""
        kind, _, name = record.key.partition("/")
        try:
            if kind == "vm":
                self._apply_vm(name, record)
            elif kind == "keys" and record.value:
                self._apply_keymap(name, record)
        except ValueError as error:
            self._node.log(
                "record_unreadable", key=record.key, offset=record.offset,
                reason=str(error),
            )  # fmt: skip
            if kind == "vm" and name == self._node.settings.vm:
                self._write_again()

    def _apply_keymap(self, service, record):
        keymap = _keymap_decoder.decode(record.value)
        check_keymap(keymap)
        if keymap.service != service:
            raise ValueError(f"a key map of {keymap.service!r}")
        own = service == self._node.settings.service
        if own:
            self.stored_keymap = keymap
        known, era = self._node.keymaps.get(service), self._node.era
        if not may_apply(known, keymap, era, self._node.era_changed):
            if keymap.ranges == known.ranges:
                return  # The copy has the known key map.
            self._node.metrics.count("key_map_old")
            self._node.log(
                "key_map_old", service=service, offset=record.offset, era=era,
                next_fence=keymap.next_fence, known=known.next_fence,
            )  # fmt: skip
            return
        self._node.keymaps[service] = keymap
        self._node.log(
            "key_map", service=service, offset=record.offset, rows=len(keymap.ranges),
            suspicions=len(keymap.suspicions), next_fence=keymap.next_fence,
        )  # fmt: skip
        if own:
            self._node.on_own_keymap()

    def _apply_vm(self, name, record):
        vms, value = self._node.vms, record.value
        if not value:
            if name == self._node.settings.vm:
                self._write_again()
                return
            vms.remove(name)
            self._node.peers.drop(name)
            return
        vm = _vm_decoder.decode(value)
        check_vm(vm, name)
        self._node.leavings.apply_entry(vm)
        vm = self._node.with_kept_leaving(vm)
        previous = vms.get(name)
        vms.put(vm)
        if name == self._node.settings.vm:
            if vm.node_incarnation != self.node_incarnation:
                if vm.service == self._node.settings.service:
                    self._previous_entry = vm
                    self._node.check_leaving()
                self._replace_entry_of(vm.node_incarnation)
                return
            if self._entry_offset is None:
                self._entry_offset = record.offset
            # An earlier write that got no answer may take effect after a later one.
            self._record_written(vm)
            self.announce()
            return
        if previous is not None and previous.address != vm.address:
            self._node.peers.drop(name)

    def _replace_entry_of(self, node_incarnation):
        """Write the entry again after a late write of an earlier process.

        Once for each process: two that run at a time must not do so for ever.
        """
        if self._entry_offset is None or node_incarnation in self._replaced:
            return
        self._replaced.add(node_incarnation)
        self._write_again()

    def _write_again(self):
        """Write the entry again, which another record has replaced."""
        if self._entry_offset is not None:
            self._written_entry = None
            self._entry_changed.set()

    async def run(self):
        """Write the entry whenever it changes, until cancelled."""
        with trio.move_on_after(FIRST_HEARTBEAT_WAIT_S):
            while not self._node.target.id and self._previous_entry is None:
                await trio.sleep(FIRST_HEARTBEAT_WAIT_S / 20)
        # The entry of an earlier process may say that the target leaves; the first
        # entry of this one replaces it.
        while not self._node.membership_follower.started:
            await self._node.membership_follower.changed.wait()
        self._entry_changed.set()
        while True:
            await self._entry_changed.wait()
            self._entry_changed = trio.Event()
            entry = self.entry()
            value = _vm_encoder.encode(entry)
            result = await self._store.append(
                MEMBERSHIP_TOPIC, f"vm/{entry.name}", value, None
            )
            if isinstance(result, Err):
                self._node.log("announce_failed", reason=str(result.err_value))
                self._entry_changed.set()
                await trio.sleep(ANNOUNCE_RETRY_S)
                continue
            appended = result.ok_value
            if not self._node.membership_follower.accept_era(appended.era):
                # It is lost: the store came back from an older copy meanwhile.
                self._entry_changed.set()
                continue
            self._record_written(entry)
            self._node.membership_follower.observe_append(
                appended.offset, f"vm/{entry.name}", value, appended.era
            )
            self._node.log(
                "announced", target=entry.target_incarnation, leaving=entry.leaving,
                slots=entry.slots,
            )  # fmt: skip
            self.announce()
