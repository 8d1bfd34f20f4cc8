"""Moves of keys between VMs: relieve hot keys and give work to targets that joined.

The moved keys are unserved until the next heartbeat of the receiving target, so a VM
moves keys only for a clear gain. Each VM takes part in one move at a time: the VM with
the highest usage moves keys to the one with the lowest, the second highest to the
second lowest, and so on. Only a VM whose requests need far more than its slots moves
keys to several VMs at once.
"""

from typing import NamedTuple

# Usage of slots from which a VM moves keys away: below it requests hardly wait.
MIN_USAGE_TO_MOVE = 0.6
# Least difference in usage that justifies a move.
MIN_USAGE_DIFFERENCE = 0.2
# Least difference in usage for which a move to a VM without keys is sized by work.
# Below it the VM gets ``IDLE_MOVE_SHARE`` of the largest range.
MIN_USAGE_DIFFERENCE_EMPTY = 0.05
# Bounds of the work of a move, as shares of the work that would even out the usage.
MIN_WORK_SHARE, MAX_WORK_SHARE = 0.25, 1.3
# Share of the largest range that a VM without keys gets if usages hardly differ.
IDLE_MOVE_SHARE = 0.5
# Demand of a VM, as a multiple of what its slots can run, from which it moves keys to
# several VMs at once: with one receiver at a time, the demand for 200 keys that need
# the slots of 16 VMs would be spread only after four moves.
MIN_DEMAND_TO_SPLIT = 1.3
# Demand that each VM has after a split; a key that has more alone stays where it is.
SPLIT_DEMAND = 0.95
# Usage up to which a VM receives keys of a split.
MAX_USAGE_TO_RECEIVE = 0.7
# Most receivers of one split.
MAX_SPLIT_RECEIVERS = 16


class VMLoad(NamedTuple):
    """Load of a VM that may own keys.

    ``usage`` is the averaged number of running and waiting requests divided by the
    slots, ``key_count`` the number of keys, ``service_s`` the mean service time in
    seconds. ``settled`` is false while the usage does not yet reflect keys that the VM
    got recently. ``slots`` counts those that the target's rate limit keeps busy; 0 if
    they are not known.
    """

    vm: str
    usage: float
    key_count: int
    service_s: float
    settled: bool = True
    slots: float = 0.0


class Move(NamedTuple):
    """A range of keys [start, end] to be moved to another VM."""

    start: int
    end: int
    vm: str


def plan_move(own, others, key_ranges, work):
    """Return the next move of a VM, or None.

    Parameters
    ----------
    own : VMLoad
    others : list of VMLoad
    key_ranges : list of (start, end)
        Key ranges that this VM owns.
    work : list of (key, seconds)
        Service times of the target's recent requests.

    Returns
    -------
    move : Move or None
    """
    if not others or not key_ranges:
        return None
    receiver = find_receiver(own, others)
    if receiver is None:
        return None
    difference = own.usage - receiver.usage
    if receiver.key_count == 0:
        if difference < MIN_USAGE_DIFFERENCE_EMPTY:
            return _idle_move(own, others, key_ranges)
    elif own.usage < MIN_USAGE_TO_MOVE or difference < MIN_USAGE_DIFFERENCE:
        return None
    measured = own.service_s > 0 and receiver.service_s > 0
    ratio = receiver.service_s / own.service_s if measured else 1.0
    ratio /= _room_ratio(own, receiver)
    total = sum(seconds for _, seconds in work)
    work_to_move_s = total * difference / (1 + ratio) / max(own.usage, difference)
    piece = _best_end_piece(key_ranges, sorted(work), work_to_move_s)
    return Move(*piece, receiver.vm) if piece else None


def plan_split(own, others, key_ranges, demand):
    """Return the moves of a VM whose requests need far more than its slots.

    Parameters
    ----------
    own : VMLoad
    others : list of VMLoad
    key_ranges : list of (start, end)
        Key ranges that this VM owns.
    demand : dict of int to float
        For each key, the share of this VM's slots that its requests need, whether or
        not they were admitted.

    Returns
    -------
    list of Move
        Empty if the demand is lower, or no VM can receive keys.
    """
    # Requests for keys that have just moved may still arrive.
    demand = {
        key: share
        for key, share in demand.items()
        if any(start <= key <= end for start, end in key_ranges)
    }
    if sum(demand.values()) < MIN_DEMAND_TO_SPLIT:
        return []
    givers = sorted(
        load.vm for load in [own, *others] if load.vm == own.vm or load.usage >= 1
    )
    receivers = [
        ((SPLIT_DEMAND - load.usage) * _room_ratio(own, load), load.vm)
        for load in others
        if load.settled and load.usage <= MAX_USAGE_TO_RECEIVE
    ]
    # A VM with fewer slots receives keys only if it has the least room that a receiver
    # with as many slots as this VM has.
    min_room = SPLIT_DEMAND - MAX_USAGE_TO_RECEIVE
    receivers = sorted(
        (r for r in receivers if r[0] >= min_room), key=lambda r: (-r[0], r[1])
    )
    # Each giver has receivers of its own.
    receivers = receivers[givers.index(own.vm) :: len(givers)][:MAX_SPLIT_RECEIVERS]
    pieces = _cut_pieces(key_ranges, demand, [room for room, _ in receivers])
    return [Move(start, end, vm) for (start, end), (_, vm) in zip(pieces, receivers)]


def _room_ratio(own, receiver):
    """Return the slots of a receiver divided by those of this VM, 1 if unknown."""
    return receiver.slots / own.slots if own.slots and receiver.slots else 1.0


def _cut_pieces(key_ranges, demand, room):
    """Return pieces (start, end) that leave a VM, one for each entry of ``room``.

    ``room`` is the demand that each receiver can take. Keys of more than
    ``SPLIT_DEMAND`` stay, and of the others the first ones up to it.
    """
    # Demand that this VM may still keep beside the keys that stay in any case.
    room_here = SPLIT_DEMAND - sum(d for d in demand.values() if d >= SPLIT_DEMAND)
    pieces = []
    for start, end in sorted(key_ranges):
        low, moved = start, 0.0
        for key in sorted(key for key in demand if start <= key <= end):
            if len(pieces) == len(room):
                return pieces
            if demand[key] >= SPLIT_DEMAND or room_here > 0:
                if moved:
                    pieces.append((low, key - 1))
                    moved = 0.0
                if demand[key] < SPLIT_DEMAND:
                    room_here -= demand[key]
                low = key + 1
                continue
            if moved and moved + demand[key] > room[len(pieces)]:
                pieces.append((low, key - 1))
                low, moved = key, 0.0
            moved += demand[key]
        if moved and len(pieces) < len(room):
            pieces.append((low, end))
    return pieces


def find_receiver(own, others):
    """Return the load of the VM that this one may move keys to, or None.

    VMs without keys come first. Only the half of the VMs with the higher usage moves
    keys away, and no VM receives keys from two others at a time.
    """
    loads = [own, *others]
    rank = sorted(loads, key=lambda load: (-load.usage, load.vm)).index(own)
    if rank >= len(loads) // 2:
        return None
    settled = [load for load in loads if load.settled]
    settled.sort(key=lambda load: (load.key_count > 0, load.usage, load.vm))
    if rank >= len(settled) or settled[rank].vm == own.vm:
        return None
    return settled[rank]


def _idle_move(own, others, key_ranges):
    """Return a move of part of the largest range to a VM without keys, or None."""
    loads = [own, *others]
    empty = sorted(load.vm for load in loads if load.key_count == 0 and load.settled)
    rank = sorted(loads, key=lambda load: (-load.key_count, load.vm)).index(own)
    if rank >= len(empty):
        return None
    start, end = max(key_ranges, key=lambda key_range: key_range[1] - key_range[0])
    if end == start:
        return None
    size = int((end - start + 1) * IDLE_MOVE_SHARE)
    return Move(end - size + 1, end, empty[rank])


def _best_end_piece(key_ranges, work, work_to_move_s):
    """Return the end piece of a range whose work is nearest to ``work_to_move_s``."""
    best, least_deviation = None, None
    for start, end in key_ranges:
        in_range = [(key, s) for key, s in work if start <= key <= end]
        for low, high, load_s in _end_pieces(start, end, in_range):
            if (
                not MIN_WORK_SHARE * work_to_move_s
                <= load_s
                <= MAX_WORK_SHARE * work_to_move_s
            ):
                continue
            deviation = abs(load_s - work_to_move_s)
            if best is None or deviation < least_deviation:
                best, least_deviation = (low, high), deviation
    return best


def _end_pieces(start, end, in_range):
    """Yield (low, high, work) of the proper parts at either end of a range."""
    load_s = 0.0
    for index, (key, seconds) in enumerate(in_range):
        load_s += seconds
        last = index + 1 == len(in_range)
        if key < end and (last or in_range[index + 1][0] != key):
            yield start, key, load_s
    load_s = 0.0
    for index in range(len(in_range) - 1, -1, -1):
        key, seconds = in_range[index]
        load_s += seconds
        if key > start and (index == 0 or in_range[index - 1][0] != key):
            yield key, end, load_s
