"""Which keys a VM gives to another one: answers hot keys and targets that join.

Every move leaves its keys without an owner until the next beat of the receiving
target, so a move is made only for a clear gain, and each VM is part of one move at a
time: the most used gives to the least used, the second to the second least, and so on.
"""

from typing import NamedTuple

# Usage of slots above which keys are moved away: below it requests hardly wait.
USAGE_HIGH = 0.6
# Least difference in usage that is worth a move.
USAGE_GAP = 0.2
# The same towards a VM that owns no keys yet.
USAGE_GAP_EMPTY = 0.05
# Bounds of a move's work as shares of what would even out usage.
LEAST_SHARE, MOST_SHARE = 0.25, 1.3
# Share of the keys that a VM without any gets where no work was seen.
IDLE_SHARE = 0.5


class Share(NamedTuple):
    """What is known of a VM that may own keys.

    ``usage`` is requests running and waiting over slots, averaged; ``width`` the number
    of keys; ``service_s`` how long a request runs. ``settled`` is false while the usage
    does not yet show keys that the VM just got.
    """

    vm: str
    usage: float
    width: int
    service_s: float
    settled: bool = True


class Move(NamedTuple):
    """A range of keys [start, end] that another VM is to get."""

    start: int
    end: int
    vm: str


def plan_move(own, others, rows, work):
    """Return the ``Move`` that a VM makes, or None.

    Parameters
    ----------
    own : Share
    others : list of Share
    rows : list of (start, end)
        Ranges that this VM owns.
    work : list of (key, seconds)
        What the target worked on lately.
    """
    if not others or not rows:
        return None
    receiver = find_receiver(own, others)
    if receiver is None:
        return None
    difference = own.usage - receiver.usage
    if receiver.width == 0:
        if difference < USAGE_GAP_EMPTY:
            return _idle_move(own, others, rows)
    elif own.usage < USAGE_HIGH or difference < USAGE_GAP:
        return None
    measured = own.service_s > 0 and receiver.service_s > 0
    ratio = receiver.service_s / own.service_s if measured else 1.0
    total = sum(seconds for _, seconds in work)
    wanted = total * difference / (1 + ratio) / max(own.usage, difference)
    found = _best_cut(rows, sorted(work), wanted)
    return Move(*found, receiver.vm) if found else None


def find_receiver(own, others):
    """Return the ``Share`` of the VM that this one may give keys to, or None.

    VMs without keys come first; only the more used half of all VMs gives, and none
    gets keys from two at a time.
    """
    everyone = [own, *others]
    rank = sorted(everyone, key=lambda s: (-s.usage, s.vm)).index(own)
    if rank >= len(everyone) // 2:
        return None
    settled = [share for share in everyone if share.settled]
    settled.sort(key=lambda s: (s.width > 0, s.usage, s.vm))
    if rank >= len(settled) or settled[rank].vm == own.vm:
        return None
    return settled[rank]


def _idle_move(own, others, rows):
    """Give keys to a VM that owns none where there is no work to go by."""
    everyone = [own, *others]
    empty = sorted(s.vm for s in everyone if s.width == 0 and s.settled)
    rank = sorted(everyone, key=lambda s: (-s.width, s.vm)).index(own)
    if rank >= len(empty):
        return None
    start, end = max(rows, key=lambda row: row[1] - row[0])
    if end == start:
        return None
    size = int((end - start + 1) * IDLE_SHARE)
    return Move(end - size + 1, end, empty[rank])


def _best_cut(rows, work, wanted):
    """Return the end piece of a row whose work comes nearest to ``wanted``."""
    best, best_miss = None, None
    for start, end in rows:
        inside = [(key, s) for key, s in work if start <= key <= end]
        for low, high, load in _end_pieces(start, end, inside):
            if not LEAST_SHARE * wanted <= load <= MOST_SHARE * wanted:
                continue
            miss = abs(load - wanted)
            if best is None or miss < best_miss:
                best, best_miss = (low, high), miss
    return best


def _end_pieces(start, end, inside):
    """Yield (low, high, work) of pieces at either end of a row, without the whole."""
    load = 0.0
    for index, (key, seconds) in enumerate(inside):
        load += seconds
        last = index + 1 == len(inside)
        if key < end and (last or inside[index + 1][0] != key):
            yield start, key, load
    load = 0.0
    for index in range(len(inside) - 1, -1, -1):
        key, seconds = inside[index]
        load += seconds
        if key > start and (index == 0 or inside[index - 1][0] != key):
            yield key, end, load
