"""Decisions after the store came back from an older copy.

The store states an era in its responses, which rises by one whenever it is restored
from a copy. Records that were acknowledged after the copy was made are then lost, and
their offsets are used again. docs/design/store-era.md gives the argument why no two
targets hold a key.

The load that this module handles is that of all nodes of a service reading the new era
within a second: one of them writes the key map again, and the others read it.
"""

from typing import NamedTuple

import msgspec

from ._types import KeyMap

# Era of a store that was never restored, as far as it states one.
FIRST_ERA = 1
# Seconds for which a record of the operator topic that is missing in a new era still
# counts: the operator writes again what was lost, within the time of an evacuation.
KEEP_MISSING_S = 5.0
# Longest delay of a node that restores the key map, in seconds. The node with the
# newest key map may be the last in the order of names; it keeps its lease only if the
# key map is in the store again within 7.6 s after its last read of the earlier era.
MAX_RESTORE_DELAY_S = 4.0
# Least increase of the next fence when a key map is settled, for each era. Each lost
# change raised the fence by one, or doubled it; a second holds less than 1000 changes.
FENCE_STEP = 2**20
# Fence above which it only rises by this step: doubled at each restore, it would leave
# the range of fences, and that of whole numbers in JSON (2**53), after 33 restores.
MAX_DOUBLED_FENCE = 2**40
# Era up to which the step grows, so that fences stay in their range in any era.
MAX_STEP_ERA = 1024


class EraState(NamedTuple):
    """What a node knows about the present era of the store.

    Parameters
    ----------
    era : int
        Era of the last read, 0 if the store states none.
    age_s : float
        Seconds since this process first saw the era.
    changed : bool
        Whether this process has read an earlier era.
    knew_keymap : bool
        Whether it knew a key map of its service when the era changed.
    stored : KeyMap or None
        Newest key map of its service that it read in this era.
    """

    era: int = 0
    age_s: float = float("inf")
    changed: bool = False
    knew_keymap: bool = False
    stored: KeyMap | None = None


def is_settled(keymap, era):
    """Whether no older key map can be assigning keys to other VMs any more.

    It is settled by a process that knew it in the era itself, or after all leases of
    the previous era have ended.
    """
    return era == 0 or (keymap.era == era and not keymap.provisional)


def may_apply(known, read, era, changed):
    """Whether a key map that was read replaces the known one.

    Parameters
    ----------
    known : KeyMap or None
    read : KeyMap
    era : int
        Present era of the store, 0 if it states none.
    changed : bool
        Whether this process has read an earlier era.
    """
    if known is None or era == 0:
        return True
    # Fences never decrease.
    if read.era < known.era or read.next_fence < known.next_fence:
        return False
    # An append of the earlier era may be executed late, in place of one that is lost.
    # What it says must not change the grants of leases that are still valid.
    if changed and read.era < era:
        return False
    return (
        read.next_fence > known.next_fence
        or read.ranges == known.ranges
        or read.era == known.era == era
    )


def is_stored(keymap, state):
    """Whether the store has a key map, or a later one, in the present era."""
    stored = state.stored
    if stored is None:
        return False
    return stored.era >= keymap.era and stored.next_fence >= keymap.next_fence


def is_current(keymap, state):
    """Whether a key map may be changed: the known one is the newest in the store."""
    stored = state.stored
    if state.era == 0 or (stored is None and keymap.next_fence == 1):
        return True
    return stored is not None and (
        (stored.era, stored.next_fence) == (keymap.era, keymap.next_fence)
    )


def is_unsettled(keymap, state):
    """Whether the owners of keys have to stay as they are until the map is settled.

    In the first era, a service without a key map is new, unless this process has read
    an earlier one.
    """
    if state.era == 0 or is_settled(keymap, state.era):
        return False
    known = bool(keymap.ranges) or keymap.next_fence > 1
    return known or state.changed or state.era > FIRST_ERA


def reads_extend_lease(keymap, state, lease_valid):
    """Whether reads of the present era extend a lease.

    Parameters
    ----------
    keymap : KeyMap or None
        The known key map.
    state : EraState
    lease_valid : bool
        Whether there was a lease in the previous era, and it has not ended since.
    """
    if state.era == 0:
        return True
    if keymap is None:
        return state.era <= FIRST_ERA and not state.changed
    if not is_stored(keymap, state):
        return False
    if is_settled(keymap, state.era):
        return True
    # With a lease that has not ended, no takeover of this VM's keys can be among the
    # lost records.
    return lease_valid and keymap.era == state.era


def restored_keymap(keymap, state, delay_s):
    """Return the key map that a node is to append because the store lacks it, or None.

    Parameters
    ----------
    keymap : KeyMap
        The known key map.
    state : EraState
    delay_s : float
        Delay of this node in the order of ranks.
    """
    if state.era == 0 or state.age_s < min(delay_s, MAX_RESTORE_DELAY_S):
        return None
    stored_fence = 0 if state.stored is None else state.stored.next_fence
    if keymap.era == state.era:
        if is_stored(keymap, state):
            return None
        # An append of an earlier era that was executed late may have raised it.
        fence = max(keymap.next_fence, stored_fence)
        return msgspec.structs.replace(keymap, next_fence=fence)
    if not state.knew_keymap or stored_fence > keymap.next_fence:
        return None
    return msgspec.structs.replace(keymap, era=state.era, provisional=True)


def settled_keymap(keymap, state):
    """Return the newer of the known key map and the stored one, settled in this era.

    All ranges get a fence above those of changes that were lost. The step grows with
    the era, since a restore may also lose the settled key map of an earlier era, and
    the changes made after it.
    """
    stored, era = state.stored, state.era
    if stored is not None and stored.next_fence > keymap.next_fence:
        keymap = stored
    fence = keymap.next_fence + FENCE_STEP * min(era, MAX_STEP_ERA)
    if keymap.next_fence < MAX_DOUBLED_FENCE:
        fence += keymap.next_fence
    key_ranges = tuple(
        msgspec.structs.replace(r, fence=fence, handover="") for r in keymap.ranges
    )
    return msgspec.structs.replace(
        keymap, next_fence=fence + 1, ranges=key_ranges, era=era, provisional=False
    )


def label(keymap, era):
    """Return a changed key map with the era in which it is appended."""
    if era == 0 or keymap.era == era:
        return keymap
    return msgspec.structs.replace(keymap, era=era, provisional=False)


def keeps_missing(read_at, now):
    """Whether a record that is missing in the new era still counts.

    Parameters
    ----------
    read_at : float or None
        When the node first completed a read of the topic in the new era; None if it
        has not, or if the era has not changed since its start.
    now : float
    """
    return read_at is not None and now - read_at < KEEP_MISSING_S
