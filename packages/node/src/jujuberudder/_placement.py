"""Placement policy: which incarnation gets which shard. ``docs/placement.md``."""

import heapq
import math
from typing import NamedTuple

from jujuberudder_core import HASH_BITS, records, uniform_prefixes

# Moves under way at once: a share of the targets, and at least some.
MIN_MOVES, MOVES_PER_TARGET = 4, 0.1
MIN_SPLITS, SPLITS_PER_TARGET = 16, 0.25
COOLDOWN_S = 20.0
# Above HIGH over the mean a target is a source of moves. If none is, a destination as
# much below the mean, or below MIN_LOW, still is filled.
HIGH, MIN_LOW = 1.04, 0.7
NOISE_S = 20.0
MAX_NOISE = 0.2
# Gain in squared load (of one target's mean load) that a move must bring.
MIN_GAIN = 0.0005
# Gain per cost that a move must bring; cost is in target's shares of keys.
MIN_SCORE = 0.1
MOVE_COST = 0.01
SPLIT_LOAD = 0.25
# Requests/s; fewer than 16 in the measured window say little of a shard's load.
MIN_SPLIT_RATE = 4.0
MERGE_LOAD = 1 / 32
HOT_KEY_LOAD = 0.04
HOT_KEY_SHARE = 0.9
HOT_KEY_KEYS = 1 / 64
SHARDS_PER_TARGET = 40
SHARDS_AT_START = 8
COLD_START_S = 15.0
COLD_START_CAPACITY = 0.2
DESTINATIONS = 4
# Sources without a move that pays before a plan gives up: it bounds its cost.
MAX_TRIED = 16
ZONE_WEIGHT = 0.5


class Target(NamedTuple):
    """A target that shards may be given to.

    Parameters
    ----------
    availability_zone : str
    capacity : float
        1.0, or less after a cold start.
    """

    availability_zone: str
    capacity: float


class Plan(NamedTuple):
    """Records that a planner is to append, without ids.

    Parameters
    ----------
    assigns, moves : tuple of ShardOwner
    splits : tuple of (prefix, epoch)
    merges : tuple of (prefix, epochs)
    deferred : frozenset of str
        Shards to split that are more than one plan may.
    """

    assigns: tuple = ()
    moves: tuple = ()
    splits: tuple = ()
    merges: tuple = ()
    deferred: frozenset = frozenset()


class Spread:
    """Loads of targets while a plan is made.

    Parameters
    ----------
    targets : dict of str to Target
    loads : dict of str to float
    """

    def __init__(self, targets, loads):
        self._targets = targets
        self._loads = loads
        self._zones = {}
        for incarnation, target in targets.items():
            zone = self._zones.setdefault(target.availability_zone, [0.0, 0.0])
            zone[0] += loads[incarnation]
            zone[1] += target.capacity
        capacity = sum(zone[1] for zone in self._zones.values())
        self.mean = sum(zone[0] for zone in self._zones.values()) / max(capacity, 1e-9)

    @property
    def targets(self):
        """Targets by incarnation."""
        return self._targets

    def level(self, incarnation):
        """Return the load of a target per capacity."""
        return self._loads[incarnation] / self._targets[incarnation].capacity

    def cost(self, incarnation):
        """Return the level of a target, raised by that of its availability zone."""
        load, capacity = self._zones[self._targets[incarnation].availability_zone]
        return self.level(incarnation) + ZONE_WEIGHT * load / capacity

    def add(self, incarnation, load):
        """Add load to a target."""
        if incarnation in self._loads:
            self._loads[incarnation] += load
            zone = self._zones[self._targets[incarnation].availability_zone]
            zone[0] += load

    def least(self, count=1, among=None):
        """Return the targets with the lowest cost, lowest first."""
        among = self._targets if among is None else among
        return heapq.nsmallest(count, among, key=lambda one: (self.cost(one), one))

    def most(self, count=1, among=None):
        """Return the targets with the highest level, highest first."""
        among = self._targets if among is None else among
        return heapq.nlargest(count, among, key=lambda one: (self.level(one), one))

    def gain(self, source, destination, load):
        """Return by how much a move lowers the sum of squared levels, in means."""
        a, b = self._loads[source], self._loads[destination]
        ca = self._targets[source].capacity
        cb = self._targets[destination].capacity
        before = a * a / ca + b * b / cb
        after = (a - load) ** 2 / ca + (b + load) ** 2 / cb
        return (before - after) / (self.mean**2 or 1.0)


def capacity_of(since, now):
    """Return the capacity of a target that was first seen at ``since``."""
    if since is None:
        return 1.0
    warm = min(1.0, (now - since) / COLD_START_S)
    return COLD_START_CAPACITY + (1 - COLD_START_CAPACITY) * warm


def usable(board, section, now, suspected=()):
    """Return the targets that may take shards, by incarnation.

    Parameters
    ----------
    board : Board
    section : SectionBody
    now : float
    suspected : container of str
        Incarnations that missed renewals.
    """
    drained = section["drain"]
    return {
        incarnation: Target(
            admit.availability_zone, capacity_of(board.member_since(incarnation), now)
        )
        for incarnation, admit in board.members().items()
        if admit.node not in drained
        and incarnation not in suspected
        and board.takes_shards(incarnation)
    }


def plan(board, ownership, section, now, suspected=(), balance=True):
    """Return what a planner does next.

    Parameters
    ----------
    board : Board
    ownership : Ownership
    section : SectionBody
    now : float
    suspected : container of str
    balance : bool
        Whether loads are known well enough to move, split and merge for balance.

    Returns
    -------
    plan : Plan
    """
    targets = usable(board, section, now, suspected)
    if not targets:
        return Plan()
    spread = Spread(targets, {one: board.load_of(one) for one in targets})
    shards = ownership.shards(board.service)
    if not shards:
        return Plan(assigns=_first(board, section, spread))
    assigns = _give(board, shards, spread, sorted(board.held("")))
    moves = _evacuate(board, shards, spread, section)
    if not balance:
        return Plan(assigns, moves, deferred=frozenset(board.changed))
    splits, later = _splits(board, shards, spread, section, now)
    taken = {shard.prefix for shard in moves} | {prefix for prefix, _ in splits}
    moves += _even_out(board, shards, spread, section, now, taken)
    taken |= {shard.prefix for shard in moves}
    merges = _merges(board, shards, spread, section, now, taken)
    return Plan(assigns, moves, splits, merges, frozenset(later))


def _first(board, section, spread):
    wanted = SHARDS_AT_START * len(spread.targets)
    bits = max(section["initial_shard_bits"], (wanted - 1).bit_length())
    prefixes = uniform_prefixes(bits)
    return _place(board, spread, [(prefix, 0) for prefix in prefixes])


def _give(board, shards, spread, prefixes):
    free = [p for p in prefixes if p not in board.moving]
    return _place(board, spread, [(prefix, shards[prefix].epoch) for prefix in free])


def _place(board, spread, entries):
    """Give shards to the least loaded targets, heaviest shards first."""
    chosen = []
    for prefix, epoch in sorted(entries, key=lambda e: (-board.load(e[0]), e[0])):
        owner = spread.least()[0]
        spread.add(owner, board.load(prefix))
        chosen.append(records.ShardOwner(board.service, prefix, epoch, owner))
    return tuple(chosen)


def _evacuate(board, shards, spread, section):
    """Return moves off drained and leaving nodes, all at once."""
    prefixes = [
        prefix
        for incarnation, admit in board.members().items()
        if admit.node in section["drain"] or not board.takes_shards(incarnation)
        for prefix in board.held(incarnation)
    ]
    return _give(board, shards, spread, prefixes)


def budget(board, spread):
    """Return how many further moves for balance may start."""
    limit = max(MIN_MOVES, math.ceil(len(spread.targets) * MOVES_PER_TARGET))
    return max(0, limit - len(board.moving))


def _even_out(board, shards, spread, section, now, taken):
    """Move shards from the fullest to the emptiest targets while it pays."""
    limit = budget(board, spread)
    if not limit:
        return ()
    sources = spread.most(limit + DESTINATIONS)
    fresh = [one for one in spread.targets if board.fresh(one, now)]
    sinks = spread.least(limit + DESTINATIONS, fresh)
    high = _high(spread)
    moves, taken, tried = [], set(taken), 0
    while len(moves) < limit and sources and tried < MAX_TRIED:
        source = spread.most(1, sources)[0]
        destinations = spread.least(DESTINATIONS, sinks)
        if spread.level(source) <= high:
            low = (2 * spread.mean - high, MIN_LOW * spread.mean)
            destinations = [d for d in destinations if spread.level(d) < max(low)]
        if not destinations:
            break
        best = _best(board, spread, section, now, source, destinations, taken)
        if best is None:
            sources.remove(source)
            tried += 1
            continue
        prefix, destination = best
        load = board.load(prefix)
        spread.add(source, -load)
        spread.add(destination, load)
        taken.add(prefix)
        epoch = shards[prefix].epoch
        moves.append(records.ShardOwner(board.service, prefix, epoch, destination))
    return tuple(moves)


def _high(spread):
    """Return the level above which a target is a source of moves.

    Counting requests over ``NOISE_S`` cannot tell smaller differences from chance.
    """
    noise = 1 / math.sqrt(max(NOISE_S * spread.mean, 1e-9))
    return spread.mean * (HIGH + min(noise, MAX_NOISE))


def _best(board, spread, section, now, source, destinations, taken):
    """Return ``(prefix, destination)`` with the highest score, or None."""
    best = (0, None, None)
    for prefix in board.held(source):
        if prefix in taken or prefix in board.moving:
            continue
        if board.cooling(prefix, now, COOLDOWN_S):
            continue
        for destination in destinations:
            score = _score(board, spread, section, source, destination, prefix)
            best = max(best, (score, prefix, destination)) if score else best
    return best[1:] if best[0] else None


def _score(board, spread, section, source, destination, prefix):
    """Return the gain of a move per cost, or 0 if it is not worth it."""
    if source == destination:
        return 0
    gain = spread.gain(source, destination, board.load(prefix))
    if gain < MIN_GAIN:
        return 0
    weights = section["placement_weights"]
    keys = 2.0 ** -len(prefix) * len(spread.targets)
    price = (weights["churn"] + weights["unavailable_time"]) / 2
    score = weights["imbalance"] * gain / (MOVE_COST + price * keys)
    return score if score >= MIN_SCORE else 0


def _splits(board, shards, spread, section, now):
    """Return hot shards to be split, hottest first, and those left for later."""
    count = len(spread.targets)
    room = SHARDS_PER_TARGET * count - len(shards)
    limit = max(0, min(room, _reshapes(spread)))
    high = _high(spread)
    above = {one for one in spread.targets if spread.level(one) > high}
    looked_at = board.changed.union(*map(board.held, above))
    wanted = sorted(
        (-board.load(prefix), prefix)
        for prefix in looked_at
        if board.holder(prefix) in spread.targets
        and _worth_splitting(board, spread, prefix, board.holder(prefix) in above)
    )
    chosen = tuple((prefix, shards[prefix].epoch) for _, prefix in wanted[:limit])
    return chosen, {prefix for _, prefix in wanted[limit:]}


def _reshapes(spread):
    return max(MIN_SPLITS, math.ceil(len(spread.targets) * SPLITS_PER_TARGET))


def _worth_splitting(board, spread, prefix, high):
    """Whether a shard is too hot to place, or hides a hot key of an overloaded target.

    A shard that is nearly one hot key is split on until few other keys move with it.
    """
    load = board.load(prefix) / (spread.mean or 1.0)
    if load < HOT_KEY_LOAD or board.rate(prefix) < MIN_SPLIT_RATE:
        return False
    if prefix in board.moving or len(prefix) >= HASH_BITS:
        return False
    keys = 2.0 ** -len(prefix) * len(spread.targets)
    hottest = max((rate for _, rate in board.hot_within(prefix)), default=0.0)
    single = hottest >= HOT_KEY_SHARE * board.rate(prefix)
    if single and keys <= HOT_KEY_KEYS:
        return False
    if load > SPLIT_LOAD:
        return True
    return high and hottest > HOT_KEY_LOAD * spread.mean and keys > HOT_KEY_KEYS


def _merges(board, shards, spread, section, now, taken):
    """Return cold siblings of one holder, of which the rate of one changed."""
    limit = _reshapes(spread)
    merges = {}
    for changed in board.changed:
        parent = changed[:-1]
        if len(parent) < section["initial_shard_bits"] or len(merges) >= limit:
            continue
        pair = (parent + "0", parent + "1")
        holder = board.holder(pair[0])
        if holder not in spread.targets or board.holder(pair[1]) != holder:
            continue
        if _cold(board, spread, pair, now, taken):
            merges[parent] = tuple(shards[prefix].epoch for prefix in pair)
    return tuple(merges.items())


def _cold(board, spread, pair, now, taken):
    if sum(map(board.load, pair)) > MERGE_LOAD * spread.mean:
        return False
    return not any(
        prefix in taken
        or prefix in board.moving
        or board.cooling(prefix, now, COOLDOWN_S)
        for prefix in pair
    )


def successors(ownership, sections, ended, loads, suspected=()):
    """Return the next owners of the shards of incarnations that end.

    Parameters
    ----------
    ownership : Ownership
    sections : dict of str to SectionBody
        By service.
    ended : set of str
    loads : callable
        ``loads(service) -> (by_target, of_shard)``: the load by incarnation as far as
        known, and a function of a prefix and its owner, or None if nothing is known.
    suspected : container of str
        Incarnations that missed renewals; they get no shards.

    Returns
    -------
    shards : tuple of ShardOwner
    """
    by_service = {}
    for incarnation in sorted(ended):
        for service, prefix in ownership.owned(incarnation):
            by_service.setdefault(service, []).append((prefix, incarnation))
    chosen = []
    for service, entries in sorted(by_service.items()):
        if service in sections:
            chosen += _succeed(
                ownership, sections[service], ended, loads, suspected, sorted(entries)
            )
    return tuple(chosen)


def _succeed(ownership, section, ended, loads, suspected, entries):
    service = section["service"]
    targets = _remaining(ownership, section, ended, suspected)
    if not targets:
        return []
    known = loads(service)
    by_target, of_shard = known or ({}, lambda prefix, owner: 2.0 ** -len(prefix))
    if known:
        seen = [by_target[one] for one in targets if one in by_target]
        mean = sum(seen) / len(seen) if seen else 0.0
        spread = Spread(targets, {one: by_target.get(one, mean) for one in targets})
    else:
        spread = Spread(targets, {one: _key_share(ownership, one) for one in targets})
    weighed = [(of_shard(prefix, owner), prefix) for prefix, owner in entries]
    shards = ownership.shards(service)
    given = []
    for load, prefix in sorted(weighed, key=lambda entry: (-entry[0], entry[1])):
        owner = spread.least()[0]
        spread.add(owner, load)
        entry = records.ShardOwner(service, prefix, shards[prefix].epoch, owner)
        given.append(entry)
    return given


def _key_share(ownership, incarnation):
    return sum(2.0 ** -len(prefix) for _, prefix in ownership.owned(incarnation))


def _remaining(ownership, section, ended, suspected):
    """Return the targets that may succeed ended incarnations.

    An availability zone in which a second incarnation is suspected counts as lost.
    """
    live = ownership.live(section["service"])
    gone = {
        incarnation: state.admit.availability_zone
        for incarnation, state in live
        if incarnation in ended or incarnation in suspected
    }
    zones = list(gone.values())
    lost = {zone for zone in zones if zones.count(zone) > 1}
    able = {
        incarnation: Target(state.admit.availability_zone, 1.0)
        for incarnation, state in live
        if incarnation not in gone
        and ownership.takes_shards(incarnation)
        and state.admit.node not in section["drain"]
    }
    elsewhere = {k: t for k, t in able.items() if t.availability_zone not in lost}
    return elsewhere or able


def headroom(board, section, now):
    """Return by how much the busiest remaining targets stay below their slots.

    Parameters
    ----------
    board : Board
    section : SectionBody
    now : float

    Returns
    -------
    room : dict of str to float
        By availability zone: the share of the other zones' slots that stays free if
        the zone is lost; negative if its load does not fit.
    """
    targets = usable(board, section, now)
    busy = {one: heard.in_flight for one in targets if (heard := board.heard(one))}
    room = {}
    for zone in {target.availability_zone for target in targets.values()}:
        left = [one for one in targets if targets[one].availability_zone != zone]
        slots = section["slots"] * len(left)
        room[zone] = 1 - sum(busy.values()) / slots if slots else -math.inf
    return room
