"""Pure functions that change the owners of keys in a ``KeyMap``.

A node appends a changed key map on the condition that nothing was appended to the topic
since it read the map, so two changes never have to be merged.
"""

from bisect import bisect_right
from math import ceil
from typing import NamedTuple

import msgspec

from ._types import KEY_COUNT, KeyRange

# Greatest fence, so that it can be raised further and still be written.
MAX_FENCE = 2**62


class Owner(NamedTuple):
    """A VM that may own keys, with the incarnation of its target."""

    vm: str
    target_incarnation: str
    weight: float = 1.0


def check_keymap(keymap):
    """Check that a key map assigns each key to one owner at most, under valid fences.

    Raises
    ------
    ValueError
        The message names the range or the fence that is invalid.
    """
    if not 0 <= keymap.next_fence <= MAX_FENCE:
        raise ValueError(f"next fence {keymap.next_fence}")
    if keymap.era < 0:
        raise ValueError(f"era {keymap.era}")
    next_key = 0
    for r in keymap.ranges:
        if not next_key <= r.start <= r.end < KEY_COUNT:
            raise ValueError(f"keys {r.start} to {r.end} after {next_key - 1}")
        if not 0 <= r.fence < keymap.next_fence:
            raise ValueError(f"fence {r.fence}, the next one is {keymap.next_fence}")
        next_key = r.end + 1


def locate(keymap, key):
    """Return the key range that contains a key, or None if it has no owner."""
    key_ranges = keymap.ranges
    index = bisect_right(key_ranges, key, key=lambda key_range: key_range.start) - 1
    if index >= 0 and key_ranges[index].end >= key:
        return key_ranges[index]
    return None


def unowned_ranges(keymap):
    """Return the ranges (start, end) that have no owner, in the order of keys."""
    owned = [(key_range.start, key_range.end) for key_range in keymap.ranges]
    return uncovered(0, KEY_COUNT - 1, owned)


def uncovered(start, end, ranges):
    """Return the parts (start, end) of a range outside of ``ranges`` (start, end)."""
    parts = []
    for low, high in sorted(ranges):
        if start > end:
            return parts
        if low > start:
            parts.append((start, min(end, low - 1)))
        start = max(start, high + 1)
    return [*parts, (start, end)] if start <= end else parts


def key_count(keymap, vm):
    """Return the number of keys that a VM owns."""
    return sum(
        key_range.end - key_range.start + 1
        for key_range in keymap.ranges
        if key_range.vm == vm
    )


def assign_unowned(keymap, owners):
    """Assign ranges without an owner to ``owners`` so that their shares even out."""
    distributed = _distribute(keymap, unowned_ranges(keymap), owners)
    return _with_new_ranges(
        keymap, keymap.ranges, [(s, e, o, "") for s, e, o in distributed]
    )


def assign_to_new_incarnation(keymap, owner, held=()):
    """Assign the ranges of a VM to the new incarnation of its target.

    The new incarnation serves no keys yet, so its ranges get a new fence. Ranges that
    overlap ``held``, a list of (start, end), stay unchanged: an earlier incarnation may
    still hold them.
    """
    restarted = [
        r
        for r in keymap.ranges
        if r.vm == owner.vm
        and r.target_incarnation != owner.target_incarnation
        and not any(low <= r.end and r.start <= high for low, high in held)
    ]
    kept = [r for r in keymap.ranges if r not in restarted]
    return _with_new_ranges(
        keymap, kept, [(r.start, r.end, owner, "") for r in restarted]
    )


def renew_fences(keymap, key_ranges):
    """Give key ranges a new fence because their target has seen a higher one.

    Their owners stay the same. The fences at least double, since it is not known which
    fence the target has seen.
    """
    least_fence = 2 * max(r.fence for r in key_ranges)
    if least_fence > keymap.next_fence:
        keymap = msgspec.structs.replace(keymap, next_fence=least_fence)
    kept = [r for r in keymap.ranges if r not in key_ranges]
    renewed = [
        (r.start, r.end, Owner(r.vm, r.target_incarnation), "")
        for r in keymap.ranges
        if r in key_ranges
    ]
    return _with_new_ranges(keymap, kept, renewed)


def hand_over(keymap, vm, released, owners, fence=None):
    """Assign ranges that the target of ``vm`` released to other owners.

    Parameters
    ----------
    keymap : KeyMap
    vm : str
        The previous owner; parts of the ranges that it does not own stay unchanged.
    released : list of (start, end, handover)
        The handover token is empty if the grant of the range expired instead.
    owners : list of Owner
    fence : int, default=None
        Only key ranges with this fence are assigned, if it is given.

    Returns
    -------
    keymap : KeyMap
        Unchanged if there are no owners or no range to assign.
    """
    pieces = [
        (low, high, token)
        for key_range, low, high, token in intersect(keymap, vm, released)
        if fence in (None, key_range.fence)
    ]
    if not owners or not pieces:
        return keymap
    kept = _subtract(keymap.ranges, pieces)
    token_of = {(start, end): token for start, end, token in pieces}
    unreleased = msgspec.structs.replace(keymap, ranges=tuple(kept))
    assigned = []
    for (start, end), token in token_of.items():
        for s, e, owner in _distribute(unreleased, [(start, end)], owners, assigned):
            assigned.append((s, e, owner, token))
    return _with_new_ranges(keymap, kept, assigned)


def subtract(key_ranges, removed):
    """Return the key ranges without the keys of ``removed``, a list of (start, end)."""
    return tuple(_subtract(key_ranges, [(start, end, "") for start, end in removed]))


def intersect(keymap, vm, released):
    """Return the parts of released ranges that a VM owns, by key range.

    Parameters
    ----------
    keymap : KeyMap
    vm : str
    released : list of (start, end, handover)

    Returns
    -------
    list of (KeyRange, int, int, str)
        Key range that contains the part, its start and end, and the handover token.
    """
    own = [key_range for key_range in keymap.ranges if key_range.vm == vm]
    return [
        (key_range, max(start, key_range.start), min(end, key_range.end), token)
        for start, end, token in released
        for key_range in own
        if key_range.start <= end and start <= key_range.end
    ]


def add_suspicion(keymap, vm, suspicion):
    """Add a suspicion that a VM failed; the VM refutes it by ``clear_suspicion``."""
    others = tuple(s for s in keymap.suspicions if s[0] != vm)
    return msgspec.structs.replace(keymap, suspicions=(*others, (vm, suspicion)))


def clear_suspicion(keymap, vm):
    """Remove the suspicion against a VM."""
    others = tuple(s for s in keymap.suspicions if s[0] != vm)
    return msgspec.structs.replace(keymap, suspicions=others)


def suspicion_of(keymap, vm):
    """Return the id of the suspicion against a VM, or None."""
    return dict(keymap.suspicions).get(vm)


def take_over(keymap, vm, owners):
    """Assign the ranges of a failed VM to other owners, without a handover token."""
    owned = [(r.start, r.end, "") for r in keymap.ranges if r.vm == vm]
    return clear_suspicion(hand_over(keymap, vm, owned, owners), vm)


def _distribute(keymap, ranges, owners, assigned=()):
    """Split ranges among owners; each piece goes to the owner that lacks most keys.

    ``assigned`` lists (start, end, owner, handover) that count as owned already.
    """
    if not owners:
        return []
    counts = {o.vm: key_count(keymap, o.vm) for o in owners}
    for start, end, owner, _ in assigned:
        counts[owner.vm] += end - start + 1
    total = sum(counts.values()) + sum(end - start + 1 for start, end in ranges)
    weights = sum(o.weight for o in owners)
    missing_keys = {o.vm: total * o.weight / weights - counts[o.vm] for o in owners}
    distributed = []
    for start, end in ranges:
        while start <= end:
            owner = max(owners, key=lambda o: missing_keys[o.vm])
            size = min(end - start + 1, max(1, ceil(missing_keys[owner.vm])))
            distributed.append((start, start + size - 1, owner))
            missing_keys[owner.vm] -= size
            start += size
    return distributed


def _subtract(key_ranges, pieces):
    """Return the key ranges without the keys of the pieces."""
    kept = list(key_ranges)
    for low, high, _ in pieces:
        remaining = []
        for key_range in kept:
            if key_range.end < low or key_range.start > high:
                remaining.append(key_range)
                continue
            if key_range.start < low:
                remaining.append(msgspec.structs.replace(key_range, end=low - 1))
            if key_range.end > high:
                remaining.append(msgspec.structs.replace(key_range, start=high + 1))
        kept = remaining
    return kept


def _with_new_ranges(keymap, kept, assigned):
    """Return the key map with new ranges, under a fence above all earlier ones."""
    if not assigned:
        return keymap
    fence = keymap.next_fence
    new = [
        KeyRange(s, e, fence, o.vm, o.target_incarnation, token)
        for s, e, o, token in assigned
    ]
    key_ranges = tuple(sorted([*kept, *new], key=lambda key_range: key_range.start))
    return msgspec.structs.replace(keymap, next_fence=fence + 1, ranges=key_ranges)
