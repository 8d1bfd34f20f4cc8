"""Ownership of a service's keys: leases, grants, suspicions and takeovers.

Only the node beside a target issues grants to it. It grants the key ranges that the
newest key map assigns to its target, and only while it has a lease: its last complete
read of the key map must have been sent less than ``LEASE_S`` ago.

If a VM is unreachable, another node first records a suspicion in the key map. A VM that
still works refutes the suspicion by removing it. Other VMs may take over the keys only
after the suspicion has been in the key map for ``TAKEOVER_DELAY_S``. A read that did
not show the suspicion was sent before the suspicion was written, so by then the lease
from that read and the last grant issued under it have expired.

A VM that moves keys releases them first: its target is granted them no more. The VM
reports the released ranges to the first VM of the service, the writer, which hands over
those of all VMs by one change of the key map. What was reported is granted again only
after the key map has changed, see ``_given_up``.
"""

import secrets
from typing import NamedTuple

import trio
from result import Err, Ok

from . import _era, _keymap
from ._era import EraState
from ._frames import ReleaseReport
from ._given_up import GivenUpKeys
from ._held_keys import HeldRange
from ._keymap import Owner
from ._placement import (
    MIN_SUDDEN_DEMAND,
    MIN_SUDDEN_DEMAND_AGAIN,
    SERVICE_WEIGHT,
    SUDDEN_WINDOW_S,
    VMLoad,
    plan_move,
    plan_split,
    plan_sudden_split,
)
from ._store import MEMBERSHIP_TOPIC, Appended, Conflict
from ._types import Grant, KeyMap

# Seconds for which a complete read of the key map allows grants. Together with the
# duration of a grant it bridges the 9 s for which the users' store may be down.
LEASE_S = 7.6
# Duration of a grant, in seconds: two heartbeats at intervals of 0.87 s may be lost.
# The keys of a target that crashes stay unserved for this long.
GRANT_TTL_S = 2.4
# A target's clock may run slow by this factor, as the platform states.
CLOCK_DRIFT_FACTOR = 1.02
# Seconds added where a wait depends on another node's clock or on a late timer.
SAFETY_MARGIN_S = 0.3
# Seconds from the read of a suspicion to a takeover: lease, grant and margin.
TAKEOVER_DELAY_S = LEASE_S + GRANT_TTL_S * CLOCK_DRIFT_FACTOR + SAFETY_MARGIN_S
# Seconds after that delay within which a suspected VM that is reachable may still
# refute the suspicion: after an outage of the store its read or append may be late.
REFUTE_GRACE_S = 5.0
# Seconds after which the keys of a VM whose address belongs to another VM are taken
# over: its process has ended, so that only the last grant has to expire.
DISPLACED_DELAY_S = GRANT_TTL_S * CLOCK_DRIFT_FACTOR + SAFETY_MARGIN_S
# Seconds for which a VM is unreachable before it is suspected: longer than the restart
# of a node takes, so that a restarted node keeps its keys.
SUSPECT_AFTER_S = 2.0
# Seconds that a node waits after its start before it assigns keys without an owner, so
# that the other VMs have announced themselves.
INITIAL_ASSIGNMENT_DELAY_S = 1.5
# Seconds that a node waits after its start and after each move before it moves keys:
# the averaged usage needs that long to show the effect of a move.
FIRST_MOVE_DELAY_S, MOVE_INTERVAL_S = 4.0, 2.5
# The same after a move if the demand is sudden: it is measured over half a second, and
# only for keys that are still here. A heartbeat interval is 0.87 s.
SPLIT_INTERVAL_S = 0.8
# Seconds between two samples of the service times of other VMs.
SERVICE_SAMPLE_INTERVAL_S = 1.0
# Each VM of a service, in the order of names, waits this many seconds longer than the
# previous one, so that the previous one can change the key map first.
RANK_DELAY_S = 0.5
# Seconds between two log lines that nothing is granted: a heartbeat interval.
WITHHELD_LOG_INTERVAL_S = 0.8
# Seconds between two checks whether the key map has to change.
POLL_INTERVAL_S = 0.1
# Seconds after a report of a release until it is reported to another writer: a check of
# the writer, an append and a read of the change, with a margin.
REPORT_TIMEOUT_S = 0.6
# Maximum number of key ranges in a log line.
MAX_LOGGED_RANGES = 20
# Number of writers to which a release is reported before the VM writes it itself.
MAX_REPORTS = 2
# Seconds for which a VM that did not write a release in time gets no further reports: a
# link to a VM that is cut off counts as up for 3 s.
WRITER_FAILURE_S = 5.0
# Seconds for which a report is kept that does not match the membership or key map read
# so far.
REPORT_TTL_S = 5.0


class Release(NamedTuple):
    """A range of keys [start, end] that the target of a VM released.

    Parameters
    ----------
    vm : str
    start, end : int
    handover : str
        Token of the previous holder; empty if its grant expired.
    receiver : str
        VM that is to get the keys; empty if it is not decided.
    fence : int or None
        Fence of the key range; ranges with another fence are not handed over. None
        for any.
    """

    vm: str
    start: int
    end: int
    handover: str
    receiver: str = ""
    fence: int | None = None


class OwnershipView(NamedTuple):
    """State from which a node decides its next change of the key map.

    Parameters
    ----------
    now : float
        Time on the node's clock, in seconds.
    vm : str
        This VM.
    keymap : KeyMap
    owner : Owner or None
        This VM with its target, None if it may not own keys.
    owners : list of Owner
        All VMs of the service that may get keys, in the order of names.
    unreachable_vms : dict of str to float
        Seconds for which each other VM that owns keys has been unreachable.
    watch_ranks : dict of str to int
        VMs that this VM watches, and how many others watch each of them more closely.
    displaced_vms : dict of str to float
        Seconds since another VM answered at the address of each other VM that owns
        keys; 0 if none did.
    released : list of Release
        Ranges that targets released or no longer have a grant for.
    suspicions : dict of str to float
        Ids of the suspicions in the key map, and when this node first read each.
    caught_up_s : float
        Seconds since this node has certainly read all that was written before its
        start.
    refused_fences : list of KeyRange
        Ranges of this VM whose fence the target refused, as the key map still has them.
    era : EraState
        Present era of the store.
    given_up : list of GivenUpRange
        Ranges of this VM whose release was reported.
    earlier_held : list of (start, end)
        Ranges that earlier incarnations of this VM's target may still hold.
    """

    now: float
    vm: str
    keymap: KeyMap
    owner: Owner | None
    owners: list
    unreachable_vms: dict
    watch_ranks: dict
    displaced_vms: dict
    released: list
    suspicions: dict
    caught_up_s: float
    refused_fences: list = []
    era: EraState = EraState()
    given_up: list = []
    earlier_held: list = []


class KeyMapChange(NamedTuple):
    """A changed key map, with the reason for the log and an event of its own, if any.

    ``event`` is logged and counted once the change is in the store.
    """

    keymap: KeyMap
    reason: str
    event: str = ""


def next_change(view, new_id):
    """Return the next change that this node makes to the key map, or None.

    Parameters
    ----------
    view : OwnershipView
    new_id : callable
        Returns a new id for a suspicion.

    Returns
    -------
    change : KeyMapChange or None
    """
    keymap, vm, rank = view.keymap, view.vm, _rank(view)
    rank_delay_s = (len(view.owners) if rank is None else rank) * RANK_DELAY_S
    restored = _era.restored_keymap(keymap, view.era, rank_delay_s)
    if restored is not None:
        reason = f"the store lacks it in era {view.era.era}"
        return KeyMapChange(restored, reason, "key_map_restored")
    unsettled = _era.is_unsettled(keymap, view.era)
    if unsettled and view.era.age_s > TAKEOVER_DELAY_S + rank_delay_s:
        settled = _era.settled_keymap(keymap, view.era)
        reason = f"all leases before era {view.era.era} have ended"
        return KeyMapChange(settled, reason, "key_map_settled")
    if not _era.is_current(keymap, view.era):
        return None
    if _keymap.suspicion_of(keymap, vm):
        return KeyMapChange(
            _keymap.clear_suspicion(keymap, vm),
            "this VM refutes the suspicion against it",
        )
    if unsettled:
        return _change_for_lost_vm(view, rank, new_id, may_take_over=False)
    handed_over = _hand_over_all(view)
    if handed_over != keymap:
        return KeyMapChange(handed_over, "key ranges were released")
    waits = waits_for_leases(view.era)
    if view.owner and not waits:
        assigned = _keymap.assign_to_new_incarnation(
            keymap, view.owner, view.earlier_held
        )
        if assigned != keymap:
            return KeyMapChange(assigned, "the target restarted")
    if view.owner and view.refused_fences:
        return KeyMapChange(
            _keymap.renew_fences(keymap, view.refused_fences),
            "the target has seen a higher fence",
        )
    if rank is None:
        return None
    if (
        not waits
        and _keymap.unowned_ranges(keymap)
        and view.caught_up_s > INITIAL_ASSIGNMENT_DELAY_S + rank * RANK_DELAY_S
    ):
        filled = _keymap.assign_unowned(keymap, view.owners)
        return KeyMapChange(filled, "key ranges had no owner")
    return _change_for_lost_vm(view, rank, new_id, may_take_over=not waits)


def waits_for_leases(state):
    """Whether leases of the previous era may still be valid.

    Until they have ended, keys go to another VM or target only with a handover token.
    """
    return state.era > 0 and state.changed and state.age_s <= TAKEOVER_DELAY_S


def _hand_over_all(view):
    """Return the key map after all releases, as one change.

    What this VM has given up goes back to it, under a new fence, if no other VM may own
    keys.
    """
    keymap = view.keymap
    given_up = [(r.start, r.end, "") for r in view.given_up]
    for release in view.released:
        others = [o for o in view.owners if o.vm != release.vm]
        receivers = [o for o in others if o.vm == release.receiver] or others
        if (
            view.owner
            and release.vm == view.vm
            and _overlaps(release.start, release.end, given_up)
        ):
            receivers = receivers or [view.owner]
        keymap = _keymap.hand_over(
            keymap,
            release.vm,
            [(release.start, release.end, release.handover)],
            receivers,
            release.fence,
        )
    return keymap


def _rank(view):
    """Return how many VMs act before this one, None if it may not own keys."""
    names = [owner.vm for owner in view.owners]
    return names.index(view.vm) if view.vm in names else None


def _change_for_lost_vm(view, rank, new_id, may_take_over):
    """Return a takeover of a lost VM's keys, or a suspicion against it, or None.

    The VMs that watch a VM act first, in the order of their ranks; only they know
    whether it is reachable. All others take the keys over if no watcher has done so.
    """
    if rank is None:
        return None
    for vm, displaced_s in view.displaced_vms.items():
        if may_take_over and displaced_s > DISPLACED_DELAY_S + rank * RANK_DELAY_S:
            return _take_over(view, vm, f"the address of {vm} belongs to another VM")
    for vm, unreachable_s in view.unreachable_vms.items():
        watch_rank = view.watch_ranks.get(vm)
        own_rank = rank if watch_rank is None else watch_rank
        unreachable = (
            watch_rank is not None
            and unreachable_s >= SUSPECT_AFTER_S + watch_rank * RANK_DELAY_S
        )
        suspicion = _keymap.suspicion_of(view.keymap, vm)
        if suspicion is None:
            if not unreachable:
                continue
            suspected = _keymap.add_suspicion(view.keymap, vm, new_id())
            return KeyMapChange(suspected, f"{vm} is unreachable")
        # Reads do not extend the lease of a suspected VM, so that it serves no keys
        # although it is reachable.
        grace_s = 0.0 if unreachable else REFUTE_GRACE_S + own_rank * RANK_DELAY_S
        since = view.suspicions.get(suspicion)
        waited = since is not None and view.now - since > TAKEOVER_DELAY_S + grace_s
        if may_take_over and waited:
            return _take_over(view, vm, f"{vm} did not refute the suspicion in time")
    return None


def _take_over(view, vm, reason):
    others = [o for o in view.owners if o.vm != vm]
    return KeyMapChange(_keymap.take_over(view.keymap, vm, others), reason)


class OwnershipManager:
    """Issues grants to the target beside this node and changes its service's key map.

    Parameters
    ----------
    node : Node
    store : Store
    follower : Follower
        Follower of the topic that contains the key map.
    """

    def __init__(self, node, store, follower):
        self._node = node
        self._store = store
        self._follower = follower
        self._lease_until = 0.0
        # (start, end) to a _ReleasedRange.
        self._released = {}
        # (start, end) to the receiver.
        self._pending_moves = {}
        # Own ranges in the key map whose fence the target refused.
        self._refused_fences = set()
        # Own ranges that the last append gives to others, and the end that it expects.
        self._handing_over = _HandingOver((), -1)
        # (VM, start, end, fence) to (release, node incarnation, time of the report).
        self._reports = {}
        # Own ranges whose release was reported.
        self._given_up_keys = GivenUpKeys()
        # (start, end) of a release to its _SentReport.
        self._sent_reports = {}
        # Writer that failed to the time until which it gets no reports.
        self._failed_writers = {}
        # Id to the time at which this node first read the suspicion, and the ids of
        # those that were logged because they stand for long.
        self._suspicions, self._logged_suspicions = {}, set()
        self._last_keymap, self._key_counts, self._grown_at = None, {}, {}
        self._next_withheld_log_at = 0.0
        # Whether a key map was known when the era changed, and whether the lease was
        # valid then.
        self._knew_keymap = self._held_lease_at_era = False
        self._started = now = trio.current_time()
        self._next_move_at = self._next_split_at = self._started + FIRST_MOVE_DELAY_S
        # Whether the last move was a split, and since when the demand is sudden.
        self._split, self._sudden_since = False, None
        # Mean service time of each VM of the service, and when the next sample is due.
        self._service_s, self._next_sample_at = {}, 0.0
        node.target.held.assume_granted(now, now + GRANT_TTL_S * CLOCK_DRIFT_FACTOR)

    @property
    def _service(self):
        return self._node.settings.service

    def _keymap(self):
        known_keymap = self._node.keymaps.get(self._service)
        return known_keymap or KeyMap(self._service)

    def suspicion_age_s(self, now):
        """Return for how many seconds this node has known the oldest suspicion."""
        return max((now - at for at in self._suspicions.values()), default=0.0)

    def lease_valid(self, now):
        """Extend the lease from the last read and return whether it is valid."""
        suspected = _keymap.suspicion_of(self._keymap(), self._node.settings.vm)
        if (
            not suspected
            and self._follower.read_at is not None
            and self._reads_extend_lease(now)
        ):
            until = self._follower.read_at + LEASE_S
            self._lease_until = max(self._lease_until, until)
        return now < self._lease_until

    def _reads_extend_lease(self, now):
        return _era.reads_extend_lease(
            self._node.keymaps.get(self._service),
            self._era_state(now),
            self._held_lease_at_era and now < self._lease_until,
        )

    def _era_state(self, now):
        follower = self._follower
        if follower.era == 0:
            return EraState()
        return EraState(
            follower.era, now - follower.era_seen_at, follower.era_changed,
            self._knew_keymap, self._node.membership.stored_keymap,
        )  # fmt: skip

    def _is_unsettled(self, now):
        return _era.is_unsettled(self._keymap(), self._era_state(now))

    def on_era(self, previous_end):
        """Forget what was true of the store only in the previous era.

        Parameters
        ----------
        previous_end : int or None
            End of the topic that was read in the previous era.
        """
        self._knew_keymap = self._service in self._node.keymaps
        # Releases of an earlier process are known only with the entry of this one.
        # Without it, the lease proves nothing about the owners in the new era.
        confirmed = self._node.membership.entry_confirmed(previous_end)
        if not (self._knew_keymap and confirmed):
            self._lease_until = 0.0
        self._held_lease_at_era = trio.current_time() < self._lease_until
        self._suspicions.clear()
        self._reports.clear()
        self._sent_reports.clear()
        # Ranges that this VM gave up may have gone to others by a record that is lost:
        # they are not granted again, and are handed over once the key map is settled.
        given_up = list(self._released)
        expected_end = self._handing_over.expected_end
        if previous_end is None or previous_end <= expected_end:
            given_up += self._handing_over.ranges
        self._handing_over = _HandingOver((), -1)
        for start, end in given_up:
            moving = list(self._pending_moves)
            for part in _keymap.uncovered(start, end, moving):
                self._pending_moves[part] = ""

    def lease_left_s(self, now):
        """Return for how many seconds the lease is valid; 0 without one."""
        return max(0.0, self._lease_until - now) if self.lease_valid(now) else 0.0

    def on_heartbeat(self, heartbeat, now):
        """Record the ranges that a heartbeat reports as released, and plan moves."""
        for start, end, handover in heartbeat.released:
            # It speaks for this incarnation of the target alone.
            usable_at = self._node.target.held.earlier_expiry(start, end)
            if usable_at:
                usable_at += SAFETY_MARGIN_S
            self.record_release(start, end, handover, usable_at)
        if self._may_move(now):
            self._plan_move(now)

    def _may_move(self, now):
        """Whether keys that are given up now can be handed over."""
        return (
            not self._node.target.gives_up_keys
            and self._may_grant(now)
            and not self._is_unsettled(now)
        )

    def record_release(self, start, end, handover, usable_at=0.0):
        """Record that the target has released the keys [start, end].

        Parameters
        ----------
        start, end : int
        handover : str
        usable_at : float, default=0.0
            Time on the node's clock, in seconds, from which the keys may be handed
            over: grants without a response may be applied before.
        """
        self._released[(start, end)] = _ReleasedRange(handover, usable_at)

    def grant(self, now):
        """Return the grant that answers a heartbeat, or None if none may be issued."""
        key_ranges = self.ranges_to_grant(now)
        if key_ranges is None:
            return None
        self._node.metrics.count("grants")
        ttl_s = self.grant_ttl_s
        self._node.target.held.grant_all(
            key_ranges, now + ttl_s, now + ttl_s * CLOCK_DRIFT_FACTOR
        )
        return Grant(key_ranges, ttl_s)

    @property
    def grant_ttl_s(self):
        """Duration of a grant, in seconds."""
        return min(GRANT_TTL_S, self._node.settings.hold_limit_s)

    def ranges_to_grant(self, now):
        """Return the ranges that the target is to hold from now on.

        Returns
        -------
        tuple of KeyRange, or None if nothing may be granted
        """
        if not self._node.is_keyed(self._service) or not self._follower.started:
            return None
        if not self._may_grant(now):
            self._record_withheld(now)
            return None
        if self._node.target.gives_up_keys:
            return ()
        key_ranges = self._kept_ranges()
        if self._handing_over_undecided():
            key_ranges = _keymap.subtract(key_ranges, self._handing_over.ranges)
        self._forget_granted_again(key_ranges)
        return key_ranges

    def _record_withheld(self, now):
        """Count and log that nothing is granted, once per interval."""
        if now < self._next_withheld_log_at:
            return
        self._next_withheld_log_at = now + WITHHELD_LOG_INTERVAL_S
        self._node.metrics.count("grants_withheld")
        self._node.log(
            "grant_withheld", read_at=self._follower.read_at, now=now,
            confirmed=self._entry_confirmed(),
            suspected=_keymap.suspicion_of(self._keymap(), self._node.settings.vm),
        )  # fmt: skip

    def ranges_to_release(self, now):
        """Return the ranges that the target is to release, as ``HeldRange``.

        They are ranges that it may hold although the key map does not assign them to
        it, or that move to other VMs; all ranges of a target that is leaving or in an
        evacuated zone.
        """
        if not self._may_grant(now):
            return ()
        own = tuple(self._own_ranges())
        kept = () if self._node.target.gives_up_keys else self._kept_ranges()
        kept = [(r.start, r.end) for r in kept]
        to_release = []
        for held in self._node.target.held.possible(now):
            for start, end in _keymap.uncovered(held.start, held.end, kept):
                if held.fence:
                    to_release.append(held._replace(start=start, end=end))
                    continue
                to_release += [
                    HeldRange(max(start, r.start), min(end, r.end), r.fence, held.until)
                    for r in own
                    if r.start <= end and start <= r.end
                ]
        return tuple(to_release)

    def on_fence_refused(self, start, end, fence):
        """Record that the target has seen a higher fence of keys [start, end].

        Either there is a newer key map, or the keys get a higher fence by a change of
        the key map, which succeeds only if nothing was appended meanwhile.
        """
        self._refused_fences.update(
            r
            for r in self._own_ranges()
            if r.fence == fence and r.start <= end and start <= r.end
        )

    def _may_grant(self, now):
        """Whether this node may grant keys: it has a lease, and knows all releases.

        Releases that an earlier process of this node reported may be written until
        the entry of this process is in the topic, and are read with the entry.
        """
        return self.lease_valid(now) and self._entry_confirmed()

    def _entry_confirmed(self):
        return self._node.entry_confirmed() or not any(self._own_ranges())

    def _handing_over_undecided(self):
        """Whether the last append may have given ranges of this VM to others.

        It has, or never will, once this node has read beyond the end that the append
        expects.
        """
        end = self._follower.end
        return end is None or end <= self._handing_over.expected_end

    def _forget_granted_again(self, key_ranges):
        """Forget releases of ranges that the target is about to be granted again.

        A previous process of this node may have planned to move them.
        """
        if not self._released:
            return
        granted = [(r.start, r.end) for r in key_ranges]
        released = [(start, end, "") for start, end in self._released]
        again = [
            (r.start, r.end, r.fence)
            for r in key_ranges
            if _overlaps(r.start, r.end, released)
        ]
        if again:
            self._node.log("keys_granted_again", ranges=_format_ranges(again))
        self._released = {
            part: released
            for (start, end), released in self._released.items()
            for part in _keymap.uncovered(start, end, granted)
        }

    def _own_ranges(self):
        target, vm = self._node.target, self._node.settings.vm
        for key_range in self._keymap().ranges:
            if (
                key_range.vm == vm
                and key_range.target_incarnation == target.incarnation
            ):
                yield key_range

    def _kept_ranges(self):
        """Return the own ranges that do not move to other VMs."""
        kept = self._given_up_keys.without(self._own_ranges())
        return _keymap.subtract(kept, self._pending_moves)

    def _plan_move(self, now):
        """Start to move ranges to other VMs if that evens out the load."""
        node = self._node
        if self._pending_moves or now < self._next_split_at:
            return
        sudden = node.admission.sudden_demand(now)
        again = self._split and now < self._next_move_at
        if now < self._next_move_at and sudden.total < MIN_SUDDEN_DEMAND_AGAIN:
            return
        vm = node.settings.vm
        loads = [self._vm_load(o.vm, now) for o in node.owners(self._service)]
        own = next((load for load in loads if load.vm == vm), None)
        if own is None:
            return
        key_ranges = [
            (key_range.start, key_range.end) for key_range in self._kept_ranges()
        ]
        others = [load for load in loads if load.vm != vm]
        moves = plan_sudden_split(own, others, key_ranges, sudden, again)
        is_sudden, is_split, demand = bool(moves), bool(moves), sudden.by_key
        if not moves:
            if now < self._next_move_at:
                return
            demand = node.admission.demand()
            moves = plan_split(own, others, key_ranges, demand)
            is_split = bool(moves)
        if not moves:
            move = plan_move(own, others, key_ranges, node.admission.recent_work())
            moves = [move] if move else []
            # A move by the work of the last seconds would give a range that has just
            # become hot to one VM as a whole.
            hot = moves and plan_sudden_split(own, others, key_ranges, sudden, True)
            if hot:
                moves, is_sudden, is_split, demand = hot, True, True, sudden.by_key
        if is_sudden:
            node.metrics.count("sudden_splits")
        self._split = is_split
        usages = {load.vm: load.usage for load in others}
        for move in moves:
            self._pending_moves[(move.start, move.end)] = move.vm
            node.target.held.withdraw(move.start, move.end)
            self._next_move_at = now + MOVE_INTERVAL_S
            self._next_split_at = now + SPLIT_INTERVAL_S
            node.metrics.count("keys_given_up")
            node.log(
                "keys_given_up", start=move.start, end=move.end, to=move.vm,
                usage=own.usage, demand=sum(demand.values()),
                receiver_usage=usages[move.vm], sudden=is_sudden,
            )  # fmt: skip

    def _check_sudden_demand(self, now):
        """Split keys between two heartbeats, if grants do not wait for the next one.

        The demand has to stand for half of the window in which it is measured, so that
        it is not measured too low.
        """
        node = self._node
        if not node.grants_by_call or self._pending_moves or now < self._next_split_at:
            return
        if node.admission.sudden_demand(now).total < MIN_SUDDEN_DEMAND:
            self._sudden_since = None
            return
        self._sudden_since = self._sudden_since or now
        if now - self._sudden_since < SUDDEN_WINDOW_S / 2:
            return
        if self._may_move(now):
            self._plan_move(now)
            if self._pending_moves:
                node.grant_caller.check_now()

    def _sample_service_times(self, now):
        """Average the service times that the VMs of the service report."""
        if now < self._next_sample_at:
            return
        self._next_sample_at = now + SERVICE_SAMPLE_INTERVAL_S
        means, self._service_s = self._service_s, {}
        for vm in [owner.vm for owner in self._node.owners(self._service)]:
            load = self._node.load_of(vm, now)
            if load is not None and load.service_s > 0:
                mean_s = means.get(vm, load.service_s)
                self._service_s[vm] = mean_s + SERVICE_WEIGHT * (
                    load.service_s - mean_s
                )

    def _record_growth(self, now):
        """Record when VMs last got more keys than in the previous key map."""
        keymap = self._keymap()
        if keymap is self._last_keymap:
            return
        counts = {
            vm: _keymap.key_count(keymap, vm) for vm in {r.vm for r in keymap.ranges}
        }
        for vm, count in counts.items():
            if count > self._key_counts.get(vm, 0):
                self._grown_at[vm] = now
        self._last_keymap, self._key_counts = keymap, counts

    def _vm_load(self, vm, now):
        node, count = self._node, self._key_counts.get(vm, 0)
        settled = now - self._grown_at.get(vm, -MOVE_INTERVAL_S) >= MOVE_INTERVAL_S
        load = node.load_of(vm, now)
        if load is None:
            return VMLoad(vm, 0.0, count, 0.0, settled)
        service_s = self._service_s.get(vm, load.service_s)
        return VMLoad(vm, load.usage, count, service_s, settled, load.slots)

    def _split_by_key_range(self, pieces, receiver=""):
        """Return a release for each part of (start, end, token) that this VM owns."""
        vm = self._node.settings.vm
        return [
            Release(vm, low, high, token, receiver, key_range.fence)
            for key_range, low, high, token in _keymap.intersect(
                self._keymap(), vm, pieces
            )
        ]

    def _handovers(self, now):
        """Return the released ranges to hand over, as (start, end, token)."""
        return [
            (start, end, released.handover)
            for (start, end), released in self._released.items()
            if released.usable_at <= now
        ]

    def _moved_ranges(self, now):
        """Return the releases of ranges that this VM moves away."""
        held, releases = self._node.target.held, []
        waits = waits_for_leases(self._era_state(now))
        moves = dict(self._pending_moves)
        for given_up in self._given_up_keys.ranges:
            for part in _keymap.uncovered(given_up.start, given_up.end, list(moves)):
                moves[part] = ""
        for (start, end), receiver in moves.items():
            pieces = [
                (max(low, start), min(high, end), token)
                for low, high, token in self._handovers(now)
                if low <= end and start <= high
            ]
            expired = now > held.expiry(start, end) + SAFETY_MARGIN_S
            if not pieces and expired and not waits:
                pieces = [(start, end, "")]
            releases += self._split_by_key_range(pieces, receiver)
        return releases

    def _other_releases(self, now, moved):
        """Return the other releases of the target, and ranges whose grant expired."""
        target, vm = self._node.target, self._node.settings.vm
        moved = [(release.start, release.end, "") for release in moved]
        released = [
            (start, end, token)
            for start, end, token in self._handovers(now)
            if not _overlaps(start, end, moved)
        ]
        target_gone = target.gives_up_keys or target.heartbeat_overdue(now)
        target_gone = target_gone and not waits_for_leases(self._era_state(now))
        if target_gone and now > target.held.expiry() + SAFETY_MARGIN_S:
            released += [
                (key_range.start, key_range.end, "")
                for key_range in self._keymap().ranges
                if key_range.vm == vm
                and not _overlaps(key_range.start, key_range.end, moved + released)
            ]
        return self._split_by_key_range(released)

    def on_releases(self, report):
        """Keep the releases that another VM reported, a ``ReleaseReport``."""
        now = trio.current_time()
        for start, end, fence, handover, receiver in report.ranges:
            release = Release(report.vm, start, end, handover, receiver, fence)
            key = (report.vm, start, end, fence)
            self._reports[key] = (release, report.node_incarnation, now)
        self._node.log(
            "releases_received", reported_by=report.vm, process=report.node_incarnation,
            ranges=_format_ranges(report.ranges),
        )  # fmt: skip

    def _reported_releases(self, now):
        """Return the reported releases that are valid, and drop those that are done.

        A report is valid while the membership entry of its VM names the process that
        sent it: a later process may grant the ranges again, after it has read that its
        own entry is in the topic.
        """
        keymap, valid = self._keymap(), []
        for key, (release, node_incarnation, at) in list(self._reports.items()):
            released = [(release.start, release.end, release.handover)]
            owned = any(
                key_range.fence == release.fence
                for key_range, *_ in _keymap.intersect(keymap, release.vm, released)
            )
            if now - at > REPORT_TTL_S or (
                not owned and release.fence < keymap.next_fence
            ):
                del self._reports[key]
            elif owned and node_incarnation == self._node.incarnation_of(release.vm):
                valid.append(release)
        return valid

    def _report_to_writer(self, moved, owners, now):
        """Report releases to the writer.

        If each VM appended its own change, only one of them would succeed at a time,
        and the released keys of all others would wait.

        Returns
        -------
        list of Release
            Releases that this VM writes itself: because it is the first VM, or others
            have not written them in time.
        """
        present = {(release.start, release.end) for release in moved}
        self._sent_reports = {
            key: sent for key, sent in self._sent_reports.items() if key in present
        }
        own, to_report = [], {}
        for release in moved:
            key = (release.start, release.end)
            sent = self._sent_reports.get(key, _SentReport("", -1.0, 0))
            if sent.count and now - sent.at <= REPORT_TIMEOUT_S:
                continue
            if sent.count:
                self._failed_writers[sent.writer] = now + WRITER_FAILURE_S
            writer = self._writer(owners, now)
            if writer is None or sent.count >= MAX_REPORTS:
                own.append(release)
                continue
            self._sent_reports[key] = _SentReport(writer, now, sent.count + 1)
            self._given_up_keys.add(release.start, release.end, release.fence)
            to_report.setdefault(writer, []).append(release)
        for writer, releases in to_report.items():
            ranges = [
                (r.start, r.end, r.fence, r.handover, r.receiver) for r in releases
            ]
            report = ReleaseReport(
                self._node.settings.vm, self._node.node_incarnation, ranges
            )
            self._node.peers.send_soon(writer, report)
            self._node.log(
                "releases_reported", writer=writer, ranges=_format_ranges(ranges)
            )
        return own

    def _writer(self, owners, now):
        """Return the VM that hands over releases, or None if this one has to."""
        for owner in owners:
            if owner.vm == self._node.settings.vm:
                return None
            if now >= self._failed_writers.get(owner.vm, 0.0):
                return owner.vm
        return None

    def _releases_to_write(self, owners, now):
        """Return the releases that this VM writes, and report the others."""
        if self._is_unsettled(now):
            return []
        moved = self._moved_ranges(now)
        others = self._other_releases(now, moved)
        if self._node.target.gives_up_keys:
            moved, others = moved + others, []
        written_here = self._report_to_writer(moved, owners, now)
        return others + written_here + self._reported_releases(now)

    def view(self, now):
        """Return the state from which the next change is decided.

        Releases that another VM is to write are reported to it.
        """
        node = self._node
        owners = node.owners(self._service)
        keymap = self._keymap()
        self._given_up_keys.apply(keymap, node.settings.vm)
        names = {key_range.vm for key_range in keymap.ranges} - {node.settings.vm}
        present = {suspicion for _, suspicion in keymap.suspicions}
        known = {s: t for s, t in self._suspicions.items() if s in present}
        self._suspicions = {s: known.get(s, now) for s in present}
        self._refused_fences &= set(keymap.ranges)
        if not self._is_unsettled(now) and all(
            o.vm == node.settings.vm for o in owners
        ):
            # What is not reported yet can be granted again.
            self._pending_moves.clear()
        return OwnershipView(
            now, node.settings.vm, keymap,
            next((o for o in owners if o.vm == node.settings.vm), None),
            owners, {vm: node.unreachable_s(vm) for vm in names},
            {vm: r for vm in names if (r := node.watch_rank(vm)) is not None},
            {vm: node.displaced_s(vm) for vm in names},
            self._releases_to_write(owners, now), self._suspicions,
            now - self._started - self._follower.batch_delay_s,
            sorted(self._refused_fences), self._era_state(now),
            self._given_up_keys.ranges,
            [(r.start, r.end) for r in node.target.held.earlier(now)],
        )  # fmt: skip

    def _log_standing_suspicions(self, view):
        """Log each suspicion that stands longer than until a takeover, once."""
        for vm, suspicion in view.keymap.suspicions:
            age_s = view.now - view.suspicions[suspicion]
            if age_s > TAKEOVER_DELAY_S and suspicion not in self._logged_suspicions:
                self._node.log(
                    "suspicion_stands", suspect=vm, age_s=age_s,
                    unreachable_s=view.unreachable_vms.get(vm),
                )  # fmt: skip
                self._logged_suspicions.add(suspicion)
        self._logged_suspicions &= view.suspicions.keys()

    async def run(self):
        """Check and change the key map periodically until cancelled."""
        while True:
            await trio.sleep(POLL_INTERVAL_S)
            now = trio.current_time()
            self._node.admission.sample_usage(now)
            self._record_growth(now)
            if self._follower.end is None or not self._node.is_keyed(self._service):
                continue
            self._sample_service_times(now)
            if not self._node.store_failing:
                self._check_sudden_demand(now)
                await self._apply_next_change()

    async def _apply_next_change(self):
        end = self._follower.end
        view = self.view(trio.current_time())
        self._forget_moved_ranges(view.keymap)
        self._log_standing_suspicions(view)
        change = next_change(view, lambda: secrets.token_hex(4))
        if change is None:
            if not self._handing_over_undecided():
                return
            # An earlier append may still take effect; after this one it cannot.
            if not _era.is_current(view.keymap, view.era):
                return
            change = KeyMapChange(view.keymap, "the outcome of an append is unknown")
        self._handing_over = _HandingOver(self._given_up(view.keymap, change), end)
        changed = change.keymap
        if not change.event and not _era.is_unsettled(view.keymap, view.era):
            changed = _era.label(changed, view.era.era)
        value = self._node.encode_keymap(changed)
        key = f"keys/{self._service}"
        result = await self._store.append(MEMBERSHIP_TOPIC, key, value, end)
        self._node.log(
            "key_map_change", reason=change.reason, base=end,
            outcome=_format_outcome(result), next_fence=changed.next_fence,
        )  # fmt: skip
        self._node.metrics.count("key_map_changes")
        if isinstance(result, Ok):
            accepted = self._follower.accept_era(result.ok_value.era)
            if not accepted or self._follower.end is None:
                return  # The store came back from an older copy meanwhile.
        if isinstance(result, Ok) and isinstance(result.ok_value, Appended):
            if result.ok_value.offset == end:
                if change.event:
                    if change.event == "key_map_restored":
                        self._node.metrics.count("key_map_restored")
                    else:
                        self._node.metrics.count("key_map_settled")
                    self._node.log(
                        change.event, era=view.era.era, offset=end,
                        next_fence=changed.next_fence,
                    )  # fmt: skip
                self._follower.observe_append(end, key, value, result.ok_value.era)
                self._inform(view.keymap, changed, end)
        await self._catch_up(result)

    def _given_up(self, keymap, change):
        """Return the ranges (start, end) that a change gives from this VM to others.

        Ranges of an append whose outcome is unknown are included.
        """
        vm = self._node.settings.vm
        before = [r for r in keymap.ranges if r.vm == vm]
        after = [(r.start, r.end) for r in change.keymap.ranges if r.vm == vm]
        given_up = [(r.start, r.end) for r in _keymap.subtract(before, after)]
        if self._handing_over_undecided():
            given_up += self._handing_over.ranges
        return tuple(given_up)

    def _inform(self, before, after, offset):
        """Send the key map at an offset to the VMs that got keys or lost some."""
        if self._follower.end is None:
            return  # Older records were removed meanwhile, so that all are read again.
        update = self._node.sharing.update_since(MEMBERSHIP_TOPIC, offset)
        for vm in {
            key_range.vm for key_range in set(after.ranges) ^ set(before.ranges)
        }:
            if vm != self._node.settings.vm:
                self._node.peers.send_soon(vm, update)

    def _forget_moved_ranges(self, keymap):
        """Drop released and moved ranges that this VM no longer owns."""
        vm = self._node.settings.vm
        own = [(r.start, r.end, "") for r in keymap.ranges if r.vm == vm]
        for ranges in (self._released, self._pending_moves):
            for start, end in list(ranges):
                if not _overlaps(start, end, own):
                    del ranges[(start, end)]

    async def _catch_up(self, result):
        """Wait up to 1 s until the follower has read the topic up to the append."""
        if not isinstance(result, Ok):
            return
        appended = result.ok_value
        self._follower.read_now()
        goal = appended.offset + 1 if isinstance(appended, Appended) else appended.end
        self._follower.observe_end(goal)
        with trio.move_on_after(1.0):
            while self._follower.end is not None and self._follower.end < goal:
                await self._follower.changed.wait()


class _ReleasedRange(NamedTuple):
    """Handover token of a released range, and the time from which it may be used."""

    handover: str
    usable_at: float


class _SentReport(NamedTuple):
    """Writer to which a release was reported last, when, and how often in all."""

    writer: str
    at: float
    count: int


class _HandingOver(NamedTuple):
    """Ranges (start, end) that an append gives to others, and the end it expects."""

    ranges: tuple
    expected_end: int


def _overlaps(start, end, ranges):
    """Return whether one of ``ranges`` (start, end, handover) overlaps start to end."""
    return any(s <= end and start <= e for s, e, _ in ranges)


def _format_ranges(ranges):
    """Return the bounds and fences of ranges (start, end, fence, ...) for the log."""
    shown = [f"{start}-{end}/{fence}" for start, end, fence, *_ in ranges]
    more = len(shown) - MAX_LOGGED_RANGES
    if more > 0:
        shown = [*shown[:MAX_LOGGED_RANGES], f"and {more} more"]
    return ", ".join(shown)


def _format_outcome(result):
    match result:
        case Ok(Appended(offset, _)):
            return f"offset {offset}"
        case Ok(Conflict(end, _)):
            return f"conflict at {end}"
        case Err(failure):
            return str(failure)
