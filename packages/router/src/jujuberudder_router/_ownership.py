"""Keeps the owners of a service's keys: what one node may do and when.

The node beside a target is the only one that grants keys to it. It grants what the
newest map gives its target, and only while its last complete read of the map is
younger than ``LEASE_S``. A VM that does not answer is suspected by a record first; it
answers by removing the suspicion. Only a suspicion that stood for ``TAKEOVER_S`` lets
others take its keys: a read that did not show the suspicion was sent before it was
written, so the last grant on it, and the hold that it gave, have run out by then.
"""

import secrets
from typing import NamedTuple

import trio
from result import Err, Ok

from . import _keymap
from ._keymap import Owner
from ._placement import Share, plan_move
from ._store import MEMBERSHIP_TOPIC, Appended, Conflict
from ._types import Grant, KeyMap

# Seconds for which a complete read of the map allows grants. With the hold it bridges
# the 9 s for which the users' store is down.
LEASE_S = 7.6
# Seconds for which a grant holds: two beats of 0.87 s may be missed. The keys of a
# target that crashes wait this long.
HOLD_S = 2.4
# Share by which a target's clock may run slow, as the platform states.
DRIFT = 1.02
# Seconds added where another node's clock or a late timer counts.
MARGIN_S = 0.3
# Seconds for which a suspicion stands before keys are taken: lease, hold and margin.
TAKEOVER_S = LEASE_S + HOLD_S * DRIFT + MARGIN_S
# Seconds for which a VM is out of touch before it is suspected: longer than a restart
# of a node takes, so that a node that comes back keeps its keys.
SUSPECT_S = 2.0
# Seconds after its start before a node deals keys without an owner, so that the others
# have announced themselves.
SETTLE_S = 1.5
# Seconds after its start, and after a move, before a node moves keys again: the usage
# needs that long to show what a move did.
GIVE_AFTER_S, GIVE_PAUSE_S = 4.0, 2.5
# Seconds by which each further VM of a service waits for the one before it to act.
TURN_S = 0.5
# Seconds between two looks at the state.
TICK_S = 0.1


class OwnershipView(NamedTuple):
    """What a step is decided from.

    Parameters
    ----------
    now : float
    vm : str
        This VM.
    keymap : KeyMap
    owner : Owner or None
        This VM's target, if it may own keys.
    owners : list of Owner
        All VMs of the service that may be given keys, in the order of names.
    down : dict of str to float
        Seconds for which VMs that own keys have been out of touch.
    released : list of (start, end, handover)
        Ranges that the target gave up.
    wanted : list of (start, end, str)
        Ranges that this VM gives, and the VM that is to get each.
    suspicions : dict of str to float
        Ids of suspicions in the map, and when this node first read each.
    settled_s : float
        Seconds since this node has surely read what was written before its start.
    """

    now: float
    vm: str
    keymap: KeyMap
    owner: Owner | None
    owners: list
    down: dict
    released: list
    wanted: list
    suspicions: dict
    settled_s: float


class KeyMapChange(NamedTuple):
    """A change to the map, with the reason for the log."""

    keymap: KeyMap
    reason: str


def next_change(view, new_id):
    """Return the next change that this node makes to the map, or None.

    Parameters
    ----------
    view : OwnershipView
    new_id : callable
        Returns a new id of a suspicion.
    """
    keymap, vm = view.keymap, view.vm
    if _keymap.suspicion_of(keymap, vm):
        return KeyMapChange(_keymap.clear(keymap, vm), "this VM answers a suspicion")
    others = [o for o in view.owners if o.vm != vm]
    for start, end, handover in view.released:
        wanted = [vm for s, e, vm in view.wanted if s <= end and start <= e]
        receivers = [o for o in others if o.vm in wanted] or others
        given = _keymap.hand_over(keymap, vm, [(start, end, handover)], receivers)
        if given != keymap:
            return KeyMapChange(given, "a range was released")
    if view.owner and any(
        r.vm == vm and r.target_incarnation != view.owner.target_incarnation
        for r in keymap.ranges
    ):
        return KeyMapChange(
            _keymap.renew(keymap, view.owner), "the target started again"
        )
    turn = _turn(view)
    if turn is None:
        return None
    if _keymap.gaps(keymap) and view.settled_s > SETTLE_S + turn * TURN_S:
        filled = _keymap.fill(keymap, view.owners)
        return KeyMapChange(filled, "ranges had no owner")
    return _step_against_lost(view, turn, new_id)


def _turn(view):
    """Return how many VMs act before this one, or None if it may not own keys."""
    names = [owner.vm for owner in view.owners]
    return names.index(view.vm) if view.vm in names else None


def _step_against_lost(view, turn, new_id):
    for vm, unreachable_s in view.down.items():
        if unreachable_s < SUSPECT_S + turn * TURN_S:
            continue
        suspicion = _keymap.suspicion_of(view.keymap, vm)
        if suspicion is None:
            suspected = _keymap.suspect(view.keymap, vm, new_id())
            return KeyMapChange(suspected, f"{vm} is out of touch")
        since = view.suspicions.get(suspicion)
        if since is not None and view.now - since > TAKEOVER_S:
            others = [o for o in view.owners if o.vm != vm]
            taken = _keymap.take_over(view.keymap, vm, others)
            return KeyMapChange(taken, f"{vm} did not answer a suspicion")
    return None


class OwnershipManager:
    """Grants keys to the target beside this node and changes the map of its service.

    Parameters
    ----------
    node : Node
    store : Store
    follower : Follower
        Of the topic that holds the map.
    """

    def __init__(self, node, store, follower):
        self._node = node
        self._store = store
        self._follower = follower
        self._lease_until = 0.0
        self._released = {}
        self._giving = {}
        self._suspicions = {}
        self._noted, self._widths, self._grown = None, {}, {}
        self._started = trio.current_time()
        self._give_after = self._started + GIVE_AFTER_S

    @property
    def _service(self):
        return self._node.settings.service

    def _keymap(self):
        found = self._node.keymaps.get(self._service)
        return found or KeyMap(self._service)

    def lease_valid(self, now):
        """Extend the lease by the last read, and return whether it holds."""
        suspected = _keymap.suspicion_of(self._keymap(), self._node.settings.vm)
        if not suspected and self._follower.read_at is not None:
            until = self._follower.read_at + LEASE_S
            self._lease_until = max(self._lease_until, until)
        return now < self._lease_until

    def grant(self, beat, now):
        """Return the answer to a beat, or None if nothing may be renewed.

        Parameters
        ----------
        beat : Heartbeat
        now : float
        """
        target = self._node.target
        for start, end, handover in beat.released:
            self._released[(start, end)] = handover
        if not self._node.is_keyed(self._service) or not self._follower.started:
            return None
        if not self.lease_valid(now):
            self._node.metrics.count("grants_withheld")
            self._node.log(
                "grant_withheld", read_at=self._follower.read_at, now=now,
                suspected=_keymap.suspicion_of(
                    self._keymap(), self._node.settings.vm
                ),
            )  # fmt: skip
            return None
        self._node.metrics.count("grants")
        rows = () if target.leaving else tuple(self._rows())
        if not target.leaving:
            self._plan_giving(now)
            rows = _keymap.cut(rows, self._giving)
        ttl_s = min(HOLD_S, self._node.settings.hold_limit_s)
        target.apply_grant(rows, ttl_s, DRIFT, now)
        return Grant(rows, ttl_s)

    def _rows(self):
        target, vm = self._node.target, self._node.settings.vm
        for row in self._keymap().ranges:
            if row.vm == vm and row.target_incarnation == target.incarnation:
                yield row

    def _plan_giving(self, now):
        """Begin to give a range to another VM if that evens out the load."""
        node = self._node
        if self._giving or now < self._give_after:
            return
        vm = node.settings.vm
        shares = [self._share(o.vm, now) for o in node.owners(self._service)]
        own = next((s for s in shares if s.vm == vm), None)
        if own is None:
            return
        rows = [(row.start, row.end) for row in self._rows()]
        others = [s for s in shares if s.vm != vm]
        move = plan_move(own, others, rows, node.admission.recent_work())
        if move is None:
            return
        until = node.target.grant_expiry + MARGIN_S
        self._giving[(move.start, move.end)] = (until, move.vm)
        self._give_after = now + GIVE_PAUSE_S
        node.metrics.count("keys_given_up")
        node.log(
            "keys_given_up", start=move.start, end=move.end, to=move.vm,
            usage=own.usage, usages=",".join(f"{s.vm}:{s.usage:.2f}" for s in others),
        )  # fmt: skip

    def _note_growth(self, now):
        """Note which VMs own more keys than before."""
        keymap = self._keymap()
        if keymap is self._noted:
            return
        widths = {vm: _keymap.width(keymap, vm) for vm in {r.vm for r in keymap.ranges}}
        for vm, width in widths.items():
            if width > self._widths.get(vm, 0):
                self._grown[vm] = now
        self._noted, self._widths = keymap, widths

    def _share(self, vm, now):
        node, width = self._node, self._widths.get(vm, 0)
        settled = now - self._grown.get(vm, -GIVE_PAUSE_S) >= GIVE_PAUSE_S
        load = node.admission.load() if vm == node.settings.vm else node.links[vm].load
        if load is None:
            return Share(vm, 0.0, width, 0.0, settled)
        return Share(vm, load.usage, width, load.service_s, settled)

    def _release_view(self, now):
        """Return the ranges that the target gave up or lost."""
        target, vm = self._node.target, self._node.settings.vm
        released = [(s, e, token) for (s, e), token in self._released.items()]
        for (start, end), (until, _) in self._giving.items():
            if now > until and not _overlaps(start, end, released):
                released.append((start, end, ""))
        lost = target.leaving or target.is_silent(now)
        over = now > max(target.grant_expiry, self._started + HOLD_S * DRIFT) + MARGIN_S
        if lost and over:
            rows = [row for row in self._keymap().ranges if row.vm == vm]
            released += [
                (row.start, row.end, "")
                for row in rows
                if not _overlaps(row.start, row.end, released)
            ]
        return released

    def view(self, now):
        """Return what the next step is decided from."""
        node = self._node
        owners = node.owners(self._service)
        keymap = self._keymap()
        names = {row.vm for row in keymap.ranges} - {node.settings.vm}
        present = {suspicion for _, suspicion in keymap.suspicions}
        known = {s: t for s, t in self._suspicions.items() if s in present}
        self._suspicions = {s: known.get(s, now) for s in present}
        return OwnershipView(
            now, node.settings.vm, keymap,
            next((o for o in owners if o.vm == node.settings.vm), None),
            owners, {vm: node.unreachable_s(vm) for vm in names},
            self._release_view(now),
            [(*pair, receiver) for pair, (_, receiver) in self._giving.items()],
            self._suspicions, now - self._started - self._follower.batch_delay_s,
        )  # fmt: skip

    async def run(self):
        """Change the map as needed until cancelled."""
        while True:
            await trio.sleep(TICK_S)
            now = trio.current_time()
            self._node.admission.sample_usage(now)
            self._note_growth(now)
            if not self._follower.started or not self._node.is_keyed(self._service):
                continue
            if self._follower.failing_since is None:
                await self._act()

    async def _act(self):
        end = self._follower.end
        view = self.view(trio.current_time())
        self._forget_released(view.keymap)
        step = next_change(view, lambda: secrets.token_hex(4))
        if step is None:
            return
        value = self._node.encode_keymap(step.keymap)
        key = f"keys/{self._service}"
        done = await self._store.append(MEMBERSHIP_TOPIC, key, value, end)
        self._node.log(
            "key_map_change", reason=step.reason, base=end, outcome=_outcome(done),
            next_fence=step.keymap.next_fence,
        )  # fmt: skip
        self._node.metrics.count("key_map_changes")
        if isinstance(done, Ok):
            self._request_reads(view.keymap, step.keymap)
        await self._catch_up(done)

    def _request_reads(self, before, after):
        """Let the VMs that got keys read of them at once."""
        for vm in {row.vm for row in set(after.ranges) - set(before.ranges)}:
            if vm in self._node.links:
                self._node.links[vm].request_read()

    def _forget_released(self, keymap):
        """Forget ranges that this VM does not own any more."""
        vm = self._node.settings.vm
        own = [(r.start, r.end, "") for r in keymap.ranges if r.vm == vm]
        for ranges in (self._released, self._giving):
            for start, end in list(ranges):
                if not _overlaps(start, end, own):
                    del ranges[(start, end)]

    async def _catch_up(self, done):
        """Wait until the follower has read what the append tells of."""
        if not isinstance(done, Ok):
            return
        seen = done.ok_value
        self._follower.read_now()
        goal = seen.offset + 1 if isinstance(seen, Appended) else seen.end
        self._follower.observe_end(goal)
        with trio.move_on_after(1.0):
            while self._follower.end is not None and self._follower.end < goal:
                await self._follower.changed.wait()


def _overlaps(start, end, ranges):
    """Whether one of the ranges (start, end, handover) shares a key with another."""
    return any(s <= end and start <= e for s, e, _ in ranges)


def _outcome(done):
    match done:
        case Ok(Appended(offset)):
            return f"offset {offset}"
        case Ok(Conflict(end)):
            return f"conflict at {end}"
        case Err(failure):
            return str(failure)
