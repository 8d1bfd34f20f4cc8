"""The fold of the ownership stream: who is alive and who owns which shard.

Every reader applies the same records in offset order and reaches the same state. A
record whose base is superseded has no effect. ``docs/design.md`` section 4 gives the
argument why two owners cannot arise.
"""

from typing import NamedTuple

import msgspec

from . import _records as records
from ._shards import hash_bits, is_exact_cover, prefix_of

MAX_DEAD = 1000


class Incarnation(NamedTuple):
    """A start of a node.

    Parameters
    ----------
    admit : Admit
        The record that admitted it.
    version : int
        Offset of the newest record about it.
    witnesses : tuple of str
        Incarnations that acknowledge its lease.
    next_witnesses : tuple of str or None
        Set by a ``witnesses`` record until its ``confirm``.
    alive : bool
    leaving : bool
        It takes no further shards.
    log_lease_s : float
        Length of the longest lease that a record granted, in seconds.
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
        """Witness sets that a takeover must seal, each by majority."""
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
        Offset of the record that gave the shard to its owner.
    destination : str
        Incarnation that the shard is moving to, or ``""``.
    move_epoch : int
        Epoch of the destination once the owner released.
    """

    owner: str
    epoch: int
    destination: str = ""
    move_epoch: int = 0


class PlannerClaim(NamedTuple):
    """The planner of a service; ``term`` is the offset of its claim."""

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
        self._offset = -1
        self._appliers = {
            records.Admit: self._admit,
            records.Keep: self._keep,
            records.Witnesses: self._witnesses,
            records.Confirm: self._confirm,
            records.Dead: self._dead,
            records.Leave: self._leave,
            records.Withdraw: self._withdraw,
            records.Claim: self._claim,
            records.Assign: self._assign,
            records.Move: self._move,
            records.Release: self._release,
            records.Cancel: self._cancel,
            records.Split: self._split,
            records.Merge: self._merge,
        }

    @property
    def offset(self):
        """Offset of the last record applied, -1 before the first."""
        return self._offset

    @property
    def incarnations(self):
        """Incarnations by id."""
        return self._incarnations

    @property
    def planners(self):
        """The planner of each service, by service name."""
        return self._planners

    @property
    def position(self):
        """Position of the last record applied, -1 before the first."""
        return self._offset

    def dump(self):
        """Return the state as entries of a snapshot."""
        entries = [["incarnation", *state] for state in self._incarnations.values()]
        for service, shards in self._shards.items():
            entries += [["shard", service, p, *s] for p, s in shards.items()]
        entries += [["planner", name, *one] for name, one in self._planners.items()]
        return entries

    def load(self, position, entries):
        """Replace the state by that of a snapshot."""
        for state in (self._incarnations, self._by_node, self._planners):
            state.clear()
        self._shards.clear()
        self._owned.clear()
        self._offset = position
        for kind, *fields in entries:
            if kind == "incarnation":
                state = msgspec.convert(fields, Incarnation)
                self._incarnations[state.admit.incarnation] = state
                if state.alive:
                    self._by_node[state.admit.node] = state.admit.incarnation
            elif kind == "shard":
                service, prefix, *shard = fields
                self._put(service, prefix, Shard(*shard))
            elif kind == "planner":
                self._planners[fields[0]] = PlannerClaim(*fields[1:])

    def alive(self, incarnation):
        """Return whether an incarnation is admitted and not dead."""
        state = self._incarnations.get(incarnation)
        return state is not None and state.alive

    def takes_shards(self, incarnation):
        """Return whether an incarnation may be given shards."""
        state = self._incarnations.get(incarnation)
        return state is not None and state.alive and not state.leaving

    def live(self, service=None):
        """Return the live incarnations, of one service or of all, sorted by id."""
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
        """Return the set of ``(service, prefix)`` that an incarnation owns."""
        return self._owned.get(incarnation, frozenset())

    def locate(self, service, key):
        """Return ``(prefix, Shard)`` for a key, or None if no shard covers it."""
        prefix = self.find(service, hash_bits(key))
        return None if prefix is None else (prefix, self._shards[service][prefix])

    def find(self, service, bits):
        """Return the prefix of the shard that covers a hash, or None."""
        return prefix_of(bits, self.shards(service))

    def apply(self, offset, record):
        """Apply a record.

        Parameters
        ----------
        offset : int
        record : NamedTuple

        Returns
        -------
        effect : bool
            False if the record was superseded or offsets went back.
        """
        if offset <= self._offset:
            return False
        self._offset = offset
        applier = self._appliers.get(type(record))
        return bool(applier and applier(offset, record))

    def _admit(self, offset, record):
        holder = self._by_node.get(record.node)
        if record.incarnation in self._incarnations or self.alive(holder):
            return False
        if not self._witnesses_fit(record.incarnation, record.witnesses):
            return False
        if not _lease_fits(record):
            return False
        self._by_node[record.node] = record.incarnation
        self._incarnations[record.incarnation] = Incarnation(
            record, offset, record.witnesses, log_lease_s=record.lease_s
        )
        return True

    def _based(self, incarnation, base):
        state = self._incarnations.get(incarnation)
        if state is None or not state.alive or state.version != base:
            return None
        return state

    def _witnesses_fit(self, incarnation, witnesses):
        # A witness that no reader knows could never be sealed.
        distinct = len(set(witnesses)) == len(witnesses)
        others = incarnation not in witnesses
        return distinct and others and all(map(self.alive, witnesses))

    def _keep(self, offset, record):
        state = self._based(record.incarnation, record.base)
        if state is None or not _lease_fits(record):
            return False
        # Never shorter than before: the lease of an earlier record may still run.
        log_lease_s = max(state.log_lease_s, record.lease_s)
        self._incarnations[record.incarnation] = state._replace(
            version=offset, log_lease_s=log_lease_s
        )
        return True

    def _witnesses(self, offset, record):
        state = self._based(record.incarnation, record.base)
        if state is None or state.next_witnesses is not None:
            return False
        if not self._witnesses_fit(record.incarnation, record.witnesses):
            return False
        self._incarnations[record.incarnation] = state._replace(
            version=offset, next_witnesses=record.witnesses
        )
        return True

    def _confirm(self, offset, record):
        state = self._based(record.incarnation, record.base)
        if state is None or state.next_witnesses is None:
            return False
        self._incarnations[record.incarnation] = state._replace(
            version=offset, witnesses=state.next_witnesses, next_witnesses=None
        )
        return True

    def _dead(self, offset, record):
        ended = [base for base in record.bases if self._based(*base)]
        self._end([base.incarnation for base in ended], offset, record.shards)
        return bool(ended)

    def _leave(self, offset, record):
        if self._based(record.incarnation, record.base) is None:
            return False
        self._end([record.incarnation], offset, record.shards)
        return True

    def _withdraw(self, offset, record):
        state = self._based(record.incarnation, record.base)
        if state is None:
            return False
        self._incarnations[record.incarnation] = state._replace(
            version=offset, leaving=True
        )
        own = [
            entry
            for entry in record.shards
            if (entry.service, entry.prefix) in self.owned(record.incarnation)
        ]
        for entry in own:
            self._move_one(offset, entry)
        return True

    def _end(self, ended, offset, shards):
        for incarnation in ended:
            state = self._incarnations.pop(incarnation)
            self._incarnations[incarnation] = state._replace(
                version=offset, alive=False
            )
        self._prune()
        wanted = {(s.service, s.prefix): s for s in shards}
        for incarnation in ended:
            for name in sorted(self.owned(incarnation)):
                self._hand_over(name, offset, wanted.get(name))

    def _prune(self):
        # Entries move to the end when they die, so that the oldest deaths come first.
        # A dead witness stays as long as a takeover may have to count it as sealed.
        dead = [key for key, state in self._incarnations.items() if not state.alive]
        if len(dead) <= MAX_DEAD:
            return
        named = {
            witness
            for state in self._incarnations.values()
            if state.alive
            for witness in sum(state.witness_sets, ())
        }
        for incarnation in dead[: len(dead) - MAX_DEAD]:
            if incarnation not in named:
                del self._incarnations[incarnation]

    def _hand_over(self, name, offset, entry):
        # A moving shard goes to its destination only: the destination may already
        # serve on the owner's direct word.
        service, prefix = name
        shard = self._shards[service][prefix]
        if shard.destination and self.alive(shard.destination):
            self._put(service, prefix, Shard(shard.destination, shard.move_epoch))
        elif entry and entry.epoch == shard.epoch and self.alive(entry.owner):
            self._put(service, prefix, Shard(entry.owner, offset))
        else:
            self._put(service, prefix, Shard("", offset))

    def _put(self, service, prefix, shard):
        shards = self._shards.setdefault(service, {})
        self._disown(service, prefix, shards.get(prefix))
        shards[prefix] = shard
        if shard.owner:
            self._owned.setdefault(shard.owner, set()).add((service, prefix))

    def _drop(self, service, prefix):
        self._disown(service, prefix, self._shards[service].pop(prefix))

    def _disown(self, service, prefix, shard):
        if shard is None or not shard.owner:
            return
        names = self._owned[shard.owner]
        names.discard((service, prefix))
        if not names:
            del self._owned[shard.owner]

    def _claim(self, offset, record):
        current = self._planners.get(record.service)
        term = current.term if current else 0
        if term != record.base or not self.alive(record.planner):
            return False
        self._planners[record.service] = PlannerClaim(record.planner, offset)
        return True

    def _assign(self, offset, record):
        return any([self._assign_one(offset, s, record) for s in record.shards])

    def _assign_one(self, offset, entry, record):
        shards = self.shards(entry.service)
        if not self.takes_shards(entry.owner):
            return False
        if not shards:
            return self._first(offset, entry.service, record.shards)
        shard = shards.get(entry.prefix)
        if shard is None or shard.owner or shard.epoch != entry.epoch:
            return False
        self._put(entry.service, entry.prefix, Shard(entry.owner, offset))
        return True

    def _first(self, offset, service, entries):
        entries = [entry for entry in entries if entry.service == service]
        if not is_exact_cover([entry.prefix for entry in entries]):
            return False
        for entry in entries:
            owner = entry.owner if self.alive(entry.owner) else ""
            self._put(service, entry.prefix, Shard(owner, offset))
        return True

    def _held(self, service, prefix, epoch):
        shard = self.shards(service).get(prefix)
        if shard is None or not shard.owner or shard.epoch != epoch:
            return None
        return shard

    def _move(self, offset, record):
        return any([self._move_one(offset, entry) for entry in record.shards])

    def _move_one(self, offset, entry):
        shard = self._held(entry.service, entry.prefix, entry.epoch)
        if shard is None or shard.destination or not self.takes_shards(entry.owner):
            return False
        if entry.owner == shard.owner:
            return False
        moving = shard._replace(destination=entry.owner, move_epoch=offset)
        self._put(entry.service, entry.prefix, moving)
        return True

    def _release(self, offset, record):
        shard = self._held(record.service, record.prefix, record.epoch)
        if shard is None or not shard.destination:
            return False
        owner = shard.destination if self.alive(shard.destination) else ""
        epoch = shard.move_epoch if owner else offset
        self._put(record.service, record.prefix, Shard(owner, epoch))
        return True

    def _cancel(self, offset, record):
        shard = self._held(record.service, record.prefix, record.epoch)
        if shard is None or not shard.destination:
            return False
        if shard.move_epoch != record.move_epoch:
            return False
        self._put(record.service, record.prefix, Shard(shard.owner, shard.epoch))
        return True

    def _split(self, offset, record):
        shard = self._held(record.service, record.prefix, record.epoch)
        if shard is None or shard.destination:
            return False
        self._drop(record.service, record.prefix)
        for digit in "01":
            child = Shard(shard.owner, offset)
            self._put(record.service, record.prefix + digit, child)
        return True

    def _merge(self, offset, record):
        names = [record.prefix + digit for digit in "01"]
        pair = [self._held(record.service, *n) for n in zip(names, record.epochs)]
        if None in pair or any(shard.destination for shard in pair):
            return False
        if pair[0].owner != pair[1].owner:
            return False
        for name in names:
            self._drop(record.service, name)
        self._put(record.service, record.prefix, Shard(pair[0].owner, offset))
        return True


def _lease_fits(record):
    # A takeover waits for this long after the record was read.
    return 0 < record.lease_s <= records.LOG_LEASE_MAX_S
