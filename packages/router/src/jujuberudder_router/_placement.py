"""Moves of keys between VMs: relieve hot keys and give work to targets that joined.

The moved keys are unserved until the next heartbeat of the receiving target, so a VM
moves keys only for a clear gain. Each VM takes part in one move at a time: the VM with
the highest usage moves keys to the one with the lowest, the second highest to the
second lowest, and so on. Only a VM whose requests need far more than its slots moves
keys to several VMs at once.

It handles hot ranges: the demand for 60 to 200 adjacent keys, or for one, that rises
within a fraction of a second to several times what their owner can run.
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
# Seconds over which a sudden demand is measured. A VM of the users gets 20 to 50
# requests per second, so that shorter windows contain too few.
SUDDEN_WINDOW_S = 0.5
# Demand in that window from which a VM splits its keys at once, and the least number of
# requests in it. Where 20 requests with a demand of 1.0 are usual, chance reaches this
# in 0.00005 of the windows, and where 5 with a demand of 0.6 are, in 0.00007.
MIN_SUDDEN_DEMAND, MIN_SUDDEN_REQUESTS = 2.0, 16
# The same after a split, which may have been planned while the demand still rose.
# Chance reaches it more often, but a split has shown that the demand is not usual.
MIN_SUDDEN_DEMAND_AGAIN = MIN_DEMAND_TO_SPLIT
# Greatest factor by which a demand that rises within the window is scaled up.
MAX_GROWTH = 2.0
# Bounds of the ratio of service times that counts in a split.
MIN_SPEED_RATIO, MAX_SPEED_RATIO = 0.25, 4.0
# Least ratio of the rates of two VMs for which a single hot key moves to the faster
# one: the key is not served for about 1 s, and averaged times vary by 16 %.
MIN_RATE_RATIO_FOR_KEY = 1.8
# Weight of the newest sample in the mean service time of each VM, which is sampled once
# per second: targets may be three times as slow for 0.4 s.
SERVICE_WEIGHT = 0.15


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


class SuddenDemand(NamedTuple):
    """Demand for keys in the last ``SUDDEN_WINDOW_S`` seconds.

    ``by_key`` is the share of the VM's slots that the requests for each key need, and
    ``requests`` their number.
    ``growth`` is the demand in the second half of the window as a multiple of that in
    the whole of it, in [1, MAX_GROWTH].
    """

    by_key: dict
    requests: int
    growth: float

    @property
    def total(self):
        """Demand for all keys, 0 if there are too few requests to tell."""
        enough = self.requests >= MIN_SUDDEN_REQUESTS
        return sum(self.by_key.values()) if enough else 0.0


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


def sudden_demand(arrivals, slots, now):
    """Return the ``SuddenDemand`` of a VM.

    Parameters
    ----------
    arrivals : iterable of (time, key, seconds)
        Requests and their expected service times, the newest one first.
    slots : float
        Slots of the VM that may be used.
    now : float
        Time on the node's clock, in seconds.
    """
    by_key, requests, total_s, recent_s = {}, 0, 0.0, 0.0
    capacity_s = slots * SUDDEN_WINDOW_S
    for at, key, service_s in arrivals:
        if now - at > SUDDEN_WINDOW_S:
            break
        by_key[key] = by_key.get(key, 0.0) + service_s / capacity_s
        requests += 1
        total_s += service_s
        if now - at <= SUDDEN_WINDOW_S / 2:
            recent_s += service_s
    growth = 2 * recent_s / total_s if total_s else 1.0
    return SuddenDemand(by_key, requests, min(MAX_GROWTH, max(1.0, growth)))


def plan_sudden_split(own, others, key_ranges, demand, again):
    """Return the moves of a VM whose requests suddenly need far more than its slots.

    Parameters
    ----------
    own, others, key_ranges
        As for ``plan_split``.
    demand : SuddenDemand
    again : bool
        Whether this VM split its keys a short time ago.

    Returns
    -------
    list of Move
    """
    least = MIN_SUDDEN_DEMAND_AGAIN if again else MIN_SUDDEN_DEMAND
    by_key = _of_ranges(demand.by_key, key_ranges)
    if not demand.total or sum(by_key.values()) < least:
        return []
    # A receiver that gets too many keys has to split them again, so that the demand is
    # taken one standard deviation higher than it was counted.
    scale = demand.growth * (1 + demand.requests**-0.5)
    grown = {key: share * scale for key, share in by_key.items()}
    return plan_split(own, others, key_ranges, grown)


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
    demand = _of_ranges(demand, key_ranges)
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
    # Each giver has receivers of its own. Those that can serve the most come first.
    receivers = receivers[givers.index(own.vm) :: len(givers)][:MAX_SPLIT_RECEIVERS]
    loads = {load.vm: load for load in others}
    receivers = [(room * _speed_ratio(own, loads[vm]), vm) for room, vm in receivers]
    receivers.sort(key=lambda r: (-r[0], r[1]))
    hot_move = _plan_hot_key(own, loads, key_ranges, demand, receivers)
    moves = []
    if hot_move is not None:
        moves.append(hot_move)
        key_ranges = _without_key(key_ranges, hot_move.start)
        demand = _of_ranges(demand, key_ranges)
        receivers = [r for r in receivers if r[1] != hot_move.vm]
    pieces = _cut_pieces(key_ranges, demand, [room for room, _ in receivers])
    return moves + [
        Move(start, end, vm) for (start, end), (_, vm) in zip(pieces, receivers)
    ]


def _plan_hot_key(own, loads, key_ranges, demand, receivers):
    """Return the move of a single hot key to a far faster VM, or None.

    Its demand exceeds what a VM can serve beside other keys, so that it stays where it
    is unless another VM can serve far more of it.
    """
    key = max(demand, key=lambda key: (demand[key], -key))
    if demand[key] < SPLIT_DEMAND:
        return None
    faster = [
        (room, vm)
        for room, vm in receivers
        if room > SPLIT_DEMAND
        and _room_ratio(own, loads[vm]) * _speed_ratio(own, loads[vm])
        >= MIN_RATE_RATIO_FOR_KEY
    ]
    return Move(key, key, faster[0][1]) if faster else None


def _of_ranges(demand, key_ranges):
    """Return the demand for the keys in some ranges.

    Requests for keys that have just moved may still arrive.
    """
    return {
        key: share
        for key, share in demand.items()
        if any(start <= key <= end for start, end in key_ranges)
    }


def _without_key(key_ranges, key):
    """Return key ranges (start, end) without one key."""
    return [
        (low, high)
        for start, end in key_ranges
        for low, high in ((start, min(end, key - 1)), (max(start, key + 1), end))
        if low <= high and not (low <= key <= high)
    ]


def _speed_ratio(own, receiver):
    """Return the speed of a receiver divided by that of this VM, 1 if unknown."""
    if not (own.service_s > 0 and receiver.service_s > 0):
        return 1.0
    ratio = own.service_s / receiver.service_s
    return min(MAX_SPEED_RATIO, max(MIN_SPEED_RATIO, ratio))


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
