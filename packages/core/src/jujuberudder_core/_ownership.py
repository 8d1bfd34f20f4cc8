"""Fold of the ownership stream: live incarnations and the owner of each shard.

Every reader applies the same records in order of their positions and reaches the same
state. The position of a record is its offset in the stream plus one. A record with a
superseded base has no effect. ``docs/design.md`` section 4 explains why
a shard cannot have two owners.
"""

from typing import NamedTuple

import msgspec

from . import _records as records
from ._shards import hash_bits, is_exact_cover, prefix_of

MAX_DEAD_INCARNATIONS = 1000


class Incarnation(NamedTuple):
    """State of one incarnation of a node.

    Parameters
    ----------
    admit : Admit
        The record that admitted the incarnation.
    version : int
        Position of the newest record that changed the incarnation.
    witnesses : tuple of str
        Incarnations that acknowledge its lease.
    next_witnesses : tuple of str or None
        Witness set of a ``witnesses`` record that has no ``confirm`` yet.
    alive : bool
    leaving : bool
        Whether the incarnation accepts no further shards.
    log_lease_s : float
        Longest lease granted by a record, in seconds.
    """

    admit: records.Admit
    version: int
    witnesses: tuple[str, ...]
    next_witnesses: tuple[str, ...] | None = None
    alive: bool = True
    leaving: bool = False
    log_lease_s: float = records.LOG_LEASE_MIN_S

    @property
    def witness_sets(self):
        """Witness sets of which a takeover must seal a majority each."""
        if self.next_witnesses is None:
            return (self.witnesses,)
        return (self.witnesses, self.next_witnesses)


class Shard(NamedTuple):
    """Assignment of a shard.

    Parameters
    ----------
    owner : str
        Incarnation, or ``""`` if the shard has no owner.
    epoch : int
        Position of the record that assigned the shard to its owner.
    destination : str
        Incarnation to which the shard is moving, or ``""``.
    move_epoch : int
        Epoch of the destination after the owner releases the shard.
    """

    owner: str
    epoch: int
    destination: str = ""
    move_epoch: int = 0


class PlannerClaim(NamedTuple):
    """Planner of a service; ``term`` is the position of its claim."""

    planner: str
    term: int


class Ownership:
    """Fold of the ownership stream."""

    def __init__(self):
        self._incarnations = {}
        self._by_node = {}
        self._shards = {}
        self._planners = {}
        self._owned = {}
        self._position = -1
        self._handlers = {
            records.Admit: self._apply_admit,
            records.Keep: self._apply_keep,
            records.Witnesses: self._apply_witnesses,
            records.Confirm: self._apply_confirm,
            records.Dead: self._apply_dead,
            records.Leave: self._apply_leave,
            records.Withdraw: self._apply_withdraw,
            records.Claim: self._apply_claim,
            records.Assign: self._apply_assign,
            records.Move: self._apply_move,
            records.Release: self._apply_release,
            records.Cancel: self._apply_cancel,
            records.Split: self._apply_split,
            records.Merge: self._apply_merge,
        }

    @property
    def offset(self):
        """Same as `position`: -1 before the first record."""
        return self._position

    @property
    def incarnations(self):
        """Incarnations by id."""
        return self._incarnations

    @property
    def planners(self):
        """Planners by service name."""
        return self._planners

    @property
    def position(self):
        """Position of the last applied record, -1 before the first one."""
        return self._position

    def dump(self):
        """Return the state as snapshot entries."""
        entries = [["incarnation", *state] for state in self._incarnations.values()]
        for service, shards in self._shards.items():
            entries += [["shard", service, p, *s] for p, s in shards.items()]
        entries += [["planner", name, *claim] for name, claim in self._planners.items()]
        return entries

    def load(self, position, entries):
        """Replace the state with the entries of a snapshot."""
        for state in (self._incarnations, self._by_node, self._planners):
            state.clear()
        self._shards.clear()
        self._owned.clear()
        self._position = position
        for kind, *fields in entries:
            if kind == "incarnation":
                state = msgspec.convert(fields, Incarnation)
                self._incarnations[state.admit.incarnation] = state
                if state.alive:
                    self._by_node[state.admit.node] = state.admit.incarnation
            elif kind == "shard":
                service, prefix, *shard = fields
                self._set_shard(service, prefix, Shard(*shard))
            elif kind == "planner":
                self._planners[fields[0]] = PlannerClaim(*fields[1:])

    def alive(self, incarnation):
        """Return whether an incarnation is admitted and not dead."""
        state = self._incarnations.get(incarnation)
        return state is not None and state.alive

    def takes_shards(self, incarnation):
        """Return whether an incarnation accepts further shards."""
        state = self._incarnations.get(incarnation)
        return state is not None and state.alive and not state.leaving

    def live(self, service=None):
        """Return the live incarnations of one or all services, sorted by id."""
        return sorted(
            (
                (key, state)
                for key, state in self._incarnations.items()
                if state.alive and service in (None, state.admit.service)
            ),
            key=lambda item: item[0],
        )

    def shards(self, service):
        """Return the shards of a service by prefix."""
        return self._shards.get(service, {})

    def services(self):
        """Return the names of the services that have shards."""
        return list(self._shards)

    def owned(self, incarnation):
        """Return the ``(service, prefix)`` pairs that an incarnation owns."""
        return self._owned.get(incarnation, frozenset())

    def locate(self, service, key):
        """Return ``(prefix, Shard)`` for a key, or None if no shard covers it."""
        prefix = self.find(service, hash_bits(key))
        return None if prefix is None else (prefix, self._shards[service][prefix])

    def find(self, service, bits):
        """Return the prefix of the shard that covers a key hash, or None."""
        return prefix_of(bits, self.shards(service))

    def apply(self, position, record):
        """Apply a record.

        Parameters
        ----------
        position : int
        record : NamedTuple

        Returns
        -------
        effect : bool
            False if the record is superseded or its position was already applied.
        """
        if position <= self._position:
            return False
        self._position = position
        handler = self._handlers.get(type(record))
        return bool(handler and handler(position, record))

    def _apply_admit(self, position, record):
        previous = self._by_node.get(record.node)
        if record.incarnation in self._incarnations or self.alive(previous):
            return False
        if not self._are_valid_witnesses(record.incarnation, record.witnesses):
            return False
        if not _has_valid_lease(record):
            return False
        self._by_node[record.node] = record.incarnation
        self._incarnations[record.incarnation] = Incarnation(
            record, position, record.witnesses, log_lease_s=record.lease_s
        )
        return True

    def _live_at_version(self, incarnation, base):
        """Return the state of a live incarnation if its version is ``base``."""
        state = self._incarnations.get(incarnation)
        if state is None or not state.alive or state.version != base:
            return None
        return state

    def _are_valid_witnesses(self, incarnation, witnesses):
        # A takeover could never seal a witness that no reader knows.
        distinct = len(set(witnesses)) == len(witnesses)
        others = incarnation not in witnesses
        return distinct and others and all(map(self.alive, witnesses))

    def _apply_keep(self, position, record):
        state = self._live_at_version(record.incarnation, record.base)
        if state is None or not _has_valid_lease(record):
            return False
        # Never shorter than before: the lease of an earlier record may still be valid.
        log_lease_s = max(state.log_lease_s, record.lease_s)
        self._incarnations[record.incarnation] = state._replace(
            version=position, log_lease_s=log_lease_s
        )
        return True

    def _apply_witnesses(self, position, record):
        state = self._live_at_version(record.incarnation, record.base)
        if state is None or state.next_witnesses is not None:
            return False
        if not self._are_valid_witnesses(record.incarnation, record.witnesses):
            return False
        self._incarnations[record.incarnation] = state._replace(
            version=position, next_witnesses=record.witnesses
        )
        return True

    def _apply_confirm(self, position, record):
        state = self._live_at_version(record.incarnation, record.base)
        if state is None or state.next_witnesses is None:
            return False
        self._incarnations[record.incarnation] = state._replace(
            version=position, witnesses=state.next_witnesses, next_witnesses=None
        )
        return True

    def _apply_dead(self, position, record):
        ended = [base for base in record.bases if self._live_at_version(*base)]
        self._mark_dead([base.incarnation for base in ended], position, record.shards)
        return bool(ended)

    def _apply_leave(self, position, record):
        if self._live_at_version(record.incarnation, record.base) is None:
            return False
        self._mark_dead([record.incarnation], position, record.shards)
        return True

    def _apply_withdraw(self, position, record):
        state = self._live_at_version(record.incarnation, record.base)
        if state is None:
            return False
        self._incarnations[record.incarnation] = state._replace(
            version=position, leaving=True
        )
        owned = [
            entry
            for entry in record.shards
            if (entry.service, entry.prefix) in self.owned(record.incarnation)
        ]
        for entry in owned:
            self._start_move(position, entry)
        return True

    def _mark_dead(self, ended, position, shards):
        """Mark incarnations as dead and assign their shards to the next owners."""
        for incarnation in ended:
            state = self._incarnations.pop(incarnation)
            self._incarnations[incarnation] = state._replace(
                version=position, alive=False
            )
        self._prune_dead()
        next_owners = {(s.service, s.prefix): s for s in shards}
        for incarnation in ended:
            for shard_id in sorted(self.owned(incarnation)):
                self._reassign(shard_id, position, next_owners.get(shard_id))

    def _prune_dead(self):
        # Dead incarnations are moved to the end, so the oldest deaths come first. A
        # dead witness is kept while a takeover may have to count it as sealed.
        dead = [key for key, state in self._incarnations.items() if not state.alive]
        if len(dead) <= MAX_DEAD_INCARNATIONS:
            return
        needed = {
            witness
            for state in self._incarnations.values()
            if state.alive
            for witness in sum(state.witness_sets, ())
        }
        for incarnation in dead[: len(dead) - MAX_DEAD_INCARNATIONS]:
            if incarnation not in needed:
                del self._incarnations[incarnation]

    def _reassign(self, shard_id, position, entry):
        # Only the destination may receive a moving shard: it may already serve the
        # shard after a direct handover from the owner.
        service, prefix = shard_id
        shard = self._shards[service][prefix]
        if shard.destination and self.alive(shard.destination):
            self._set_shard(service, prefix, Shard(shard.destination, shard.move_epoch))
        elif entry and entry.epoch == shard.epoch and self.alive(entry.owner):
            self._set_shard(service, prefix, Shard(entry.owner, position))
        else:
            self._set_shard(service, prefix, Shard("", position))

    def _set_shard(self, service, prefix, shard):
        shards = self._shards.setdefault(service, {})
        self._remove_owned(service, prefix, shards.get(prefix))
        shards[prefix] = shard
        if shard.owner:
            self._owned.setdefault(shard.owner, set()).add((service, prefix))

    def _remove_shard(self, service, prefix):
        self._remove_owned(service, prefix, self._shards[service].pop(prefix))

    def _remove_owned(self, service, prefix, shard):
        if shard is None or not shard.owner:
            return
        shard_ids = self._owned[shard.owner]
        shard_ids.discard((service, prefix))
        if not shard_ids:
            del self._owned[shard.owner]

    def _apply_claim(self, position, record):
        current = self._planners.get(record.service)
        term = current.term if current else 0
        if term != record.base or not self.alive(record.planner):
            return False
        self._planners[record.service] = PlannerClaim(record.planner, position)
        return True

    def _apply_assign(self, position, record):
        return any([self._assign_shard(position, s, record) for s in record.shards])

    def _assign_shard(self, position, entry, record):
        shards = self.shards(entry.service)
        if not self.takes_shards(entry.owner):
            return False
        if not shards:
            return self._assign_initial(position, entry.service, record.shards)
        shard = shards.get(entry.prefix)
        if shard is None or shard.owner or shard.epoch != entry.epoch:
            return False
        self._set_shard(entry.service, entry.prefix, Shard(entry.owner, position))
        return True

    def _assign_initial(self, position, service, entries):
        """Assign the first shards of a service if they cover its key space."""
        entries = [entry for entry in entries if entry.service == service]
        if not is_exact_cover([entry.prefix for entry in entries]):
            return False
        for entry in entries:
            owner = entry.owner if self.alive(entry.owner) else ""
            self._set_shard(service, entry.prefix, Shard(owner, position))
        return True

    def _owned_at_epoch(self, service, prefix, epoch):
        """Return the shard if it has an owner and is at ``epoch``, else None."""
        shard = self.shards(service).get(prefix)
        if shard is None or not shard.owner or shard.epoch != epoch:
            return None
        return shard

    def _apply_move(self, position, record):
        return any([self._start_move(position, entry) for entry in record.shards])

    def _start_move(self, position, entry):
        shard = self._owned_at_epoch(entry.service, entry.prefix, entry.epoch)
        if shard is None or shard.destination or not self.takes_shards(entry.owner):
            return False
        if entry.owner == shard.owner:
            return False
        moving = shard._replace(destination=entry.owner, move_epoch=position)
        self._set_shard(entry.service, entry.prefix, moving)
        return True

    def _apply_release(self, position, record):
        shard = self._owned_at_epoch(record.service, record.prefix, record.epoch)
        if shard is None or not shard.destination:
            return False
        owner = shard.destination if self.alive(shard.destination) else ""
        epoch = shard.move_epoch if owner else position
        self._set_shard(record.service, record.prefix, Shard(owner, epoch))
        return True

    def _apply_cancel(self, position, record):
        shard = self._owned_at_epoch(record.service, record.prefix, record.epoch)
        if shard is None or not shard.destination:
            return False
        if shard.move_epoch != record.move_epoch:
            return False
        self._set_shard(record.service, record.prefix, Shard(shard.owner, shard.epoch))
        return True

    def _apply_split(self, position, record):
        shard = self._owned_at_epoch(record.service, record.prefix, record.epoch)
        if shard is None or shard.destination:
            return False
        self._remove_shard(record.service, record.prefix)
        for digit in "01":
            child = Shard(shard.owner, position)
            self._set_shard(record.service, record.prefix + digit, child)
        return True

    def _apply_merge(self, position, record):
        prefixes = [record.prefix + digit for digit in "01"]
        pair = [
            self._owned_at_epoch(record.service, *child)
            for child in zip(prefixes, record.epochs)
        ]
        if None in pair or any(shard.destination for shard in pair):
            return False
        if pair[0].owner != pair[1].owner:
            return False
        for prefix in prefixes:
            self._remove_shard(record.service, prefix)
        self._set_shard(record.service, record.prefix, Shard(pair[0].owner, position))
        return True


def _has_valid_lease(record):
    # A takeover waits for the length of the lease after the record is read, so the
    # length must be limited.
    return 0 < record.lease_s <= records.LOG_LEASE_MAX_S
