"""Changes of the owners of keys: pure functions from one ``KeyMap`` to the next.

Each change is appended on the condition that nothing was appended since the map was
read, so a change never has to be merged with another one.
"""

from bisect import bisect_right
from math import ceil
from typing import NamedTuple

import msgspec

from ._types import KEY_COUNT, KeyMap, KeyRange


class Owner(NamedTuple):
    """A VM that may own keys, by the life of its target."""

    vm: str
    target_incarnation: str
    weight: float = 1.0


def locate(keymap, key):
    """Return the row of a key, or None if it has no owner."""
    rows = keymap.ranges
    index = bisect_right(rows, key, key=lambda row: row.start) - 1
    if index >= 0 and rows[index].end >= key:
        return rows[index]
    return None


def gaps(keymap):
    """Return the ranges (start, end) that have no owner."""
    found, start = [], 0
    for row in keymap.ranges:
        if row.start > start:
            found.append((start, row.start - 1))
        start = row.end + 1
    if start < KEY_COUNT:
        found.append((start, KEY_COUNT - 1))
    return found


def width(keymap, vm):
    """Return the number of keys that a VM owns."""
    return sum(row.end - row.start + 1 for row in keymap.ranges if row.vm == vm)


def fill(keymap, owners):
    """Give the ranges without an owner to ``owners``, so that their shares even out."""
    dealt = _deal(keymap, gaps(keymap), owners)
    return _with_rows(keymap, keymap.ranges, [(s, e, o, "") for s, e, o in dealt])


def renew(keymap, owner):
    """Give the ranges of a VM to the new life of its target, which holds nothing."""
    kept = [
        r
        for r in keymap.ranges
        if r.vm != owner.vm or r.target_incarnation == owner.target_incarnation
    ]
    mine = [
        r
        for r in keymap.ranges
        if r.vm == owner.vm and r.target_incarnation != owner.target_incarnation
    ]
    return _with_rows(keymap, kept, [(r.start, r.end, owner, "") for r in mine])


def hand_over(keymap, vm, released, owners):
    """Give ranges that the target of ``vm`` released to other owners.

    Parameters
    ----------
    keymap : KeyMap
    vm : str
        The owner so far; parts of the ranges that it does not own are left as they are.
    released : list of (start, end, handover)
        The handover is empty where the hold ran out instead.
    owners : list of Owner

    Returns
    -------
    keymap : KeyMap
        Unchanged if there are no owners or nothing to give.
    """
    pieces = _pieces(keymap, vm, released)
    if not owners or not pieces:
        return keymap
    kept = _without(keymap.ranges, pieces)
    token_of = {(start, end): token for start, end, token in pieces}
    bare = msgspec.structs.replace(keymap, ranges=tuple(kept))
    given = []
    for (start, end), token in token_of.items():
        for s, e, owner in _deal(bare, [(start, end)], owners, given):
            given.append((s, e, owner, token))
    return _with_rows(keymap, kept, given)


def cut(rows, ranges):
    """Return rows without the ranges (start, end)."""
    return tuple(_without(rows, [(start, end, "") for start, end in ranges]))


def suspect(keymap, vm, suspicion):
    """Record that a VM may be lost; it has to answer by ``clear``."""
    others = tuple(s for s in keymap.suspicions if s[0] != vm)
    return msgspec.structs.replace(keymap, suspicions=(*others, (vm, suspicion)))


def clear(keymap, vm):
    """Remove the suspicion against a VM."""
    others = tuple(s for s in keymap.suspicions if s[0] != vm)
    return msgspec.structs.replace(keymap, suspicions=others)


def suspicion_of(keymap, vm):
    """Return the id of the suspicion against a VM, or None."""
    return dict(keymap.suspicions).get(vm)


def take_over(keymap, vm, owners):
    """Give the ranges of a lost VM to others, without handover."""
    lost = [(r.start, r.end, "") for r in keymap.ranges if r.vm == vm]
    return clear(hand_over(keymap, vm, lost, owners), vm)


def _deal(keymap, ranges, owners, given=()):
    """Cut ranges among owners; each cut goes to the owner with the least share."""
    if not owners:
        return []
    share = {o.vm: width(keymap, o.vm) for o in owners}
    for start, end, owner, _ in given:
        share[owner.vm] += end - start + 1
    total = sum(share.values()) + sum(end - start + 1 for start, end in ranges)
    weights = sum(o.weight for o in owners)
    room = {o.vm: total * o.weight / weights - share[o.vm] for o in owners}
    dealt = []
    for start, end in ranges:
        while start <= end:
            owner = max(owners, key=lambda o: room[o.vm])
            size = min(end - start + 1, max(1, ceil(room[owner.vm])))
            dealt.append((start, start + size - 1, owner))
            room[owner.vm] -= size
            start += size
    return dealt


def _pieces(keymap, vm, released):
    """Return the parts of released ranges that ``vm`` owns."""
    pieces = []
    for row in keymap.ranges:
        if row.vm != vm:
            continue
        for start, end, token in released:
            low, high = max(start, row.start), min(end, row.end)
            if low <= high:
                pieces.append((low, high, token))
    return pieces


def _without(rows, pieces):
    """Return rows with the pieces cut out of them."""
    kept = list(rows)
    for low, high, _ in pieces:
        cut = []
        for row in kept:
            if row.end < low or row.start > high:
                cut.append(row)
                continue
            if row.start < low:
                cut.append(msgspec.structs.replace(row, end=low - 1))
            if row.end > high:
                cut.append(msgspec.structs.replace(row, start=high + 1))
        kept = cut
    return kept


def _with_rows(keymap, kept, given):
    """Return the map with new rows, each with a fence above all earlier ones."""
    if not given:
        return keymap
    fence = keymap.next_fence
    new = [
        KeyRange(s, e, fence, o.vm, o.target_incarnation, token)
        for s, e, o, token in given
    ]
    rows = tuple(sorted([*kept, *new], key=lambda row: row.start))
    return KeyMap(keymap.service, fence + 1, rows, keymap.suspicions)
