"""Placement policy: assigns shards to targets, see ``docs/placement.md``."""

import heapq
import math
from typing import NamedTuple

from jujuberudder_core import HASH_BITS, records, uniform_prefixes

# Limit of concurrent moves: a share of the number of targets, with a minimum.
MIN_MOVES, MOVES_PER_TARGET = 4, 0.1
MIN_SPLITS, SPLITS_PER_TARGET = 16, 0.25
COOLDOWN_S = 20.0
# Levels as multiples of the mean. A target above SOURCE_LEVEL is a source of moves. If
# no target is, shards still move to targets that are as far below the mean, or below
# MIN_DESTINATION_LEVEL.
SOURCE_LEVEL, MIN_DESTINATION_LEVEL = 1.04, 0.7
NOISE_WINDOW_S = 20.0
MAX_NOISE = 0.2
# Minimum gain of a move, in squared load relative to the squared mean load of a target.
MIN_GAIN = 0.0005
# Minimum gain per cost of a move; cost is in multiples of a target's share of the keys.
MIN_SCORE = 0.1
MOVE_COST = 0.01
SPLIT_LOAD = 0.25
# Requests/s; fewer than 16 requests in the measured window do not show a shard's load.
MIN_SPLIT_RATE = 4.0
MERGE_LOAD = 1 / 32
HOT_KEY_LOAD = 0.04
HOT_KEY_SHARE = 0.9
HOT_KEY_KEYS = 1 / 64
SHARDS_PER_TARGET = 40
SHARDS_AT_START = 8
COLD_START_S = 15.0
COLD_START_CAPACITY = 0.2
DESTINATION_CANDIDATES = 4
# Number of sources without a worthwhile move after which planning stops; bounds the
# cost of a plan.
MAX_SOURCES_TRIED = 16
ZONE_WEIGHT = 0.5


class Target(NamedTuple):
    """Target that can own shards.

    Parameters
    ----------
    availability_zone : str
    capacity : float
        1.0, or less while the target warms up after a cold start.
    """

    availability_zone: str
    capacity: float


class Plan(NamedTuple):
    """Contents of the records that the planner appends next.

    Parameters
    ----------
    assigns, moves : tuple of ShardOwner
    splits : tuple of (prefix, epoch)
    merges : tuple of (prefix, epochs)
    deferred : frozenset of str
        Prefixes of shards to split that exceed the limit of one plan.
    """

    assigns: tuple = ()
    moves: tuple = ()
    splits: tuple = ()
    merges: tuple = ()
    deferred: frozenset = frozenset()


class TargetLoads:
    """Loads of targets, updated while a plan is computed.

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
        """Return the targets by incarnation."""
        return self._targets

    def level(self, incarnation):
        """Return the load of a target divided by its capacity."""
        return self._loads[incarnation] / self._targets[incarnation].capacity

    def cost(self, incarnation):
        """Return the level of a target plus the weighted level of its zone."""
        load, capacity = self._zones[self._targets[incarnation].availability_zone]
        return self.level(incarnation) + ZONE_WEIGHT * load / capacity

    def add(self, incarnation, load):
        """Add load to a target; unknown incarnations are ignored."""
        if incarnation in self._loads:
            self._loads[incarnation] += load
            zone = self._zones[self._targets[incarnation].availability_zone]
            zone[0] += load

    def least_loaded(self, count=1, among=None):
        """Return up to ``count`` targets with the lowest cost, lowest first."""
        among = self._targets if among is None else among
        return heapq.nsmallest(
            count, among, key=lambda incarnation: (self.cost(incarnation), incarnation)
        )

    def most_loaded(self, count=1, among=None):
        """Return up to ``count`` targets with the highest level, highest first."""
        among = self._targets if among is None else among
        return heapq.nlargest(
            count, among, key=lambda incarnation: (self.level(incarnation), incarnation)
        )

    def gain(self, source, destination, load):
        """Return how much a move lowers the sum of squared loads per capacity.

        The result is relative to the square of the mean level.
        """
        source_load, destination_load = self._loads[source], self._loads[destination]
        source_capacity = self._targets[source].capacity
        destination_capacity = self._targets[destination].capacity
        before = (
            source_load * source_load / source_capacity
            + destination_load * destination_load / destination_capacity
        )
        after = (source_load - load) ** 2 / source_capacity + (
            destination_load + load
        ) ** 2 / destination_capacity
        return (before - after) / (self.mean**2 or 1.0)


def capacity_of(since, now):
    """Return the capacity of a target whose admission was read at ``since``."""
    if since is None:
        return 1.0
    warm = min(1.0, (now - since) / COLD_START_S)
    return COLD_START_CAPACITY + (1 - COLD_START_CAPACITY) * warm


def usable_targets(placement, section, now, suspected=()):
    """Return the targets that can be assigned shards, by incarnation.

    Parameters
    ----------
    placement : PlacementState
    section : SectionBody
    now : float
        Time in seconds.
    suspected : container of str
        Incarnations that missed renewals.

    Returns
    -------
    targets : dict of str to Target
    """
    drained = section["drain"]
    return {
        incarnation: Target(
            admit.availability_zone,
            capacity_of(placement.admitted_at(incarnation), now),
        )
        for incarnation, admit in placement.members().items()
        if admit.node not in drained
        and incarnation not in suspected
        and placement.takes_shards(incarnation)
    }


def plan(placement, ownership, section, now, suspected=(), balance=True):
    """Return the assigns, moves, splits and merges that are due.

    Parameters
    ----------
    placement : PlacementState
    ownership : Ownership
    section : SectionBody
    now : float
        Time in seconds.
    suspected : container of str
        Incarnations that missed renewals; they get no shards.
    balance : bool
        Whether loads are known well enough to move, split and merge shards for balance.

    Returns
    -------
    plan : Plan
    """
    targets = usable_targets(placement, section, now, suspected)
    if not targets:
        return Plan()
    target_loads = TargetLoads(
        targets,
        {incarnation: placement.load_of(incarnation) for incarnation in targets},
    )
    shards = ownership.shards(placement.service)
    if not shards:
        return Plan(assigns=_initial_assigns(placement, section, target_loads))
    assigns = _reassign(placement, shards, target_loads, sorted(placement.held("")))
    moves = _evacuate(placement, shards, target_loads, section)
    if not balance:
        return Plan(assigns, moves, deferred=frozenset(placement.changed))
    splits, deferred = _splits(placement, shards, target_loads, section, now)
    taken = {shard.prefix for shard in moves} | {prefix for prefix, _ in splits}
    moves += _balancing_moves(placement, shards, target_loads, section, now, taken)
    taken |= {shard.prefix for shard in moves}
    merges = _merges(placement, shards, target_loads, section, now, taken)
    return Plan(assigns, moves, splits, merges, frozenset(deferred))


def _initial_assigns(placement, section, target_loads):
    min_shards = SHARDS_AT_START * len(target_loads.targets)
    bits = max(section["initial_shard_bits"], (min_shards - 1).bit_length())
    prefixes = uniform_prefixes(bits)
    return _assign_to_least_loaded(
        placement, target_loads, [(prefix, 0) for prefix in prefixes]
    )


def _reassign(placement, shards, target_loads, prefixes):
    free = [p for p in prefixes if p not in placement.moving]
    return _assign_to_least_loaded(
        placement, target_loads, [(prefix, shards[prefix].epoch) for prefix in free]
    )


def _assign_to_least_loaded(placement, target_loads, entries):
    """Assign shards to the least loaded targets, shards with the highest load first."""
    chosen = []
    for prefix, epoch in sorted(entries, key=lambda e: (-placement.load(e[0]), e[0])):
        owner = target_loads.least_loaded()[0]
        target_loads.add(owner, placement.load(prefix))
        chosen.append(records.ShardOwner(placement.service, prefix, epoch, owner))
    return tuple(chosen)


def _evacuate(placement, shards, target_loads, section):
    """Return the moves of all shards off drained nodes and leaving targets."""
    prefixes = [
        prefix
        for incarnation, admit in placement.members().items()
        if admit.node in section["drain"] or not placement.takes_shards(incarnation)
        for prefix in placement.held(incarnation)
    ]
    return _reassign(placement, shards, target_loads, prefixes)


def _remaining_moves(placement, target_loads):
    """Return how many more moves for balance can start."""
    limit = max(MIN_MOVES, math.ceil(len(target_loads.targets) * MOVES_PER_TARGET))
    return max(0, limit - len(placement.moving))


def _balancing_moves(placement, shards, target_loads, section, now, taken):
    """Return worthwhile moves from the most loaded to the least loaded targets."""
    limit = _remaining_moves(placement, target_loads)
    if not limit:
        return ()
    sources = target_loads.most_loaded(limit + DESTINATION_CANDIDATES)
    reporting = [
        incarnation
        for incarnation in target_loads.targets
        if placement.has_recent_report(incarnation, now)
    ]
    destination_pool = target_loads.least_loaded(
        limit + DESTINATION_CANDIDATES, reporting
    )
    source_level = _source_level(target_loads)
    moves, taken, sources_tried = [], set(taken), 0
    while len(moves) < limit and sources and sources_tried < MAX_SOURCES_TRIED:
        source = target_loads.most_loaded(1, sources)[0]
        destinations = target_loads.least_loaded(
            DESTINATION_CANDIDATES, destination_pool
        )
        if target_loads.level(source) <= source_level:
            low = (
                2 * target_loads.mean - source_level,
                MIN_DESTINATION_LEVEL * target_loads.mean,
            )
            destinations = [d for d in destinations if target_loads.level(d) < max(low)]
        if not destinations:
            break
        best = _best_move(
            placement, target_loads, section, now, source, destinations, taken
        )
        if best is None:
            sources.remove(source)
            sources_tried += 1
            continue
        prefix, destination = best
        load = placement.load(prefix)
        target_loads.add(source, -load)
        target_loads.add(destination, load)
        taken.add(prefix)
        epoch = shards[prefix].epoch
        moves.append(records.ShardOwner(placement.service, prefix, epoch, destination))
    return tuple(moves)


def _source_level(target_loads):
    """Return the level above which a target is a source of moves.

    Smaller differences are within the noise of request counts over
    ``NOISE_WINDOW_S``.
    """
    noise = 1 / math.sqrt(max(NOISE_WINDOW_S * target_loads.mean, 1e-9))
    return target_loads.mean * (SOURCE_LEVEL + min(noise, MAX_NOISE))


def _best_move(placement, target_loads, section, now, source, destinations, taken):
    """Return ``(prefix, destination)`` with the highest score, or None."""
    best = (0, None, None)
    for prefix in placement.held(source):
        if prefix in taken or prefix in placement.moving:
            continue
        if placement.in_cooldown(prefix, now, COOLDOWN_S):
            continue
        for destination in destinations:
            score = _move_score(
                placement, target_loads, section, source, destination, prefix
            )
            best = max(best, (score, prefix, destination)) if score else best
    return best[1:] if best[0] else None


def _move_score(placement, target_loads, section, source, destination, prefix):
    """Return the gain of a move per cost, or 0 if it is below a minimum."""
    if source == destination:
        return 0
    gain = target_loads.gain(source, destination, placement.load(prefix))
    if gain < MIN_GAIN:
        return 0
    weights = section["placement_weights"]
    keys = 2.0 ** -len(prefix) * len(target_loads.targets)
    key_price = (weights["churn"] + weights["unavailable_time"]) / 2
    score = weights["imbalance"] * gain / (MOVE_COST + key_price * keys)
    return score if score >= MIN_SCORE else 0


def _splits(placement, shards, target_loads, section, now):
    """Return the shards to split, hottest first, and the prefixes above the limit."""
    count = len(target_loads.targets)
    room = SHARDS_PER_TARGET * count - len(shards)
    limit = max(0, min(room, _max_reshapes(target_loads)))
    source_level = _source_level(target_loads)
    overloaded = {
        incarnation
        for incarnation in target_loads.targets
        if target_loads.level(incarnation) > source_level
    }
    candidates = placement.changed.union(*map(placement.held, overloaded))
    ranked = sorted(
        (-placement.load(prefix), prefix)
        for prefix in candidates
        if placement.holder(prefix) in target_loads.targets
        and _worth_splitting(
            placement, target_loads, prefix, placement.holder(prefix) in overloaded
        )
    )
    chosen = tuple((prefix, shards[prefix].epoch) for _, prefix in ranked[:limit])
    return chosen, {prefix for _, prefix in ranked[limit:]}


def _max_reshapes(target_loads):
    return max(MIN_SPLITS, math.ceil(len(target_loads.targets) * SPLITS_PER_TARGET))


def _worth_splitting(placement, target_loads, prefix, overloaded):
    """Return whether splitting a shard helps to balance the load.

    A shard is split if its load is too high for one target, or if it holds a hot key
    of an overloaded target. A shard with nearly all of its load on one hot key is split
    repeatedly until few other keys move with that key.
    """
    load = placement.load(prefix) / (target_loads.mean or 1.0)
    if load < HOT_KEY_LOAD or placement.rate(prefix) < MIN_SPLIT_RATE:
        return False
    if prefix in placement.moving or len(prefix) >= HASH_BITS:
        return False
    keys = 2.0 ** -len(prefix) * len(target_loads.targets)
    hottest = max((rate for _, rate in placement.hot_within(prefix)), default=0.0)
    dominated = hottest >= HOT_KEY_SHARE * placement.rate(prefix)
    if dominated and keys <= HOT_KEY_KEYS:
        return False
    if load > SPLIT_LOAD:
        return True
    return (
        overloaded
        and hottest > HOT_KEY_LOAD * target_loads.mean
        and keys > HOT_KEY_KEYS
    )


def _merges(placement, shards, target_loads, section, now, taken):
    """Return sibling shards to merge.

    Both have the same holder and a low load, and the rate or holder of at least one
    changed since the last plan.
    """
    limit = _max_reshapes(target_loads)
    merges = {}
    for changed in placement.changed:
        parent = changed[:-1]
        if len(parent) < section["initial_shard_bits"] or len(merges) >= limit:
            continue
        pair = (parent + "0", parent + "1")
        holder = placement.holder(pair[0])
        if holder not in target_loads.targets or placement.holder(pair[1]) != holder:
            continue
        if _can_merge(placement, target_loads, pair, now, taken):
            merges[parent] = tuple(shards[prefix].epoch for prefix in pair)
    return tuple(merges.items())


def _can_merge(placement, target_loads, pair, now, taken):
    if sum(map(placement.load, pair)) > MERGE_LOAD * target_loads.mean:
        return False
    return not any(
        prefix in taken
        or prefix in placement.moving
        or placement.in_cooldown(prefix, now, COOLDOWN_S)
        for prefix in pair
    )


def successors(ownership, sections, ended, loads, suspected=()):
    """Return the new owners of the shards of incarnations that end.

    Parameters
    ----------
    ownership : Ownership
    sections : dict of str to SectionBody
        By service.
    ended : set of str
    loads : callable
        ``loads(service) -> (by_target, of_shard)``: the known loads by incarnation, and
        a function that returns the load of a shard from its prefix and owner. Returns
        None if no loads are known.
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
            chosen += _service_successors(
                ownership, sections[service], ended, loads, suspected, sorted(entries)
            )
    return tuple(chosen)


def _service_successors(ownership, section, ended, loads, suspected, entries):
    service = section["service"]
    targets = _remaining_targets(ownership, section, ended, suspected)
    if not targets:
        return []
    known = loads(service)
    by_target, of_shard = known or ({}, lambda prefix, owner: 2.0 ** -len(prefix))
    if known:
        known_loads = [
            by_target[incarnation]
            for incarnation in targets
            if incarnation in by_target
        ]
        mean = sum(known_loads) / len(known_loads) if known_loads else 0.0
        target_loads = TargetLoads(
            targets,
            {incarnation: by_target.get(incarnation, mean) for incarnation in targets},
        )
    else:
        target_loads = TargetLoads(
            targets,
            {
                incarnation: _key_share(ownership, incarnation)
                for incarnation in targets
            },
        )
    shard_loads = [(of_shard(prefix, owner), prefix) for prefix, owner in entries]
    shards = ownership.shards(service)
    chosen = []
    for load, prefix in sorted(shard_loads, key=lambda entry: (-entry[0], entry[1])):
        owner = target_loads.least_loaded()[0]
        target_loads.add(owner, load)
        entry = records.ShardOwner(service, prefix, shards[prefix].epoch, owner)
        chosen.append(entry)
    return chosen


def _key_share(ownership, incarnation):
    return sum(2.0 ** -len(prefix) for _, prefix in ownership.owned(incarnation))


def _remaining_targets(ownership, section, ended, suspected):
    """Return the targets that can take over the shards of ended incarnations.

    An availability zone counts as lost if two or more of its incarnations have ended or
    are suspected; its other targets are chosen only if no other zone has any.
    """
    live = ownership.live(section["service"])
    failing_targets = {
        incarnation: state.admit.availability_zone
        for incarnation, state in live
        if incarnation in ended or incarnation in suspected
    }
    zones = list(failing_targets.values())
    lost_zones = {zone for zone in zones if zones.count(zone) > 1}
    eligible = {
        incarnation: Target(state.admit.availability_zone, 1.0)
        for incarnation, state in live
        if incarnation not in failing_targets
        and ownership.takes_shards(incarnation)
        and state.admit.node not in section["drain"]
    }
    in_other_zones = {
        k: t for k, t in eligible.items() if t.availability_zone not in lost_zones
    }
    return in_other_zones or eligible


def headroom(placement, section, now):
    """Return the share of slots that stays free if an availability zone is lost.

    Parameters
    ----------
    placement : PlacementState
    section : SectionBody
    now : float
        Time in seconds.

    Returns
    -------
    free_shares : dict of str to float
        By lost availability zone: the share of the slots of the other zones that stays
        free; negative if the load of the lost zone does not fit.
    """
    targets = usable_targets(placement, section, now)
    in_flight = {
        incarnation: report.in_flight
        for incarnation in targets
        if (report := placement.newest_report(incarnation))
    }
    free_shares = {}
    for zone in {target.availability_zone for target in targets.values()}:
        remaining = [
            incarnation
            for incarnation in targets
            if targets[incarnation].availability_zone != zone
        ]
        slots = section["slots"] * len(remaining)
        free_shares[zone] = 1 - sum(in_flight.values()) / slots if slots else -math.inf
    return free_shares
