"""Changes of the key map, and which change a node makes next."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jujuberudder_router._keymap import (
    Owner,
    add_suspicion,
    assign_to_new_incarnation,
    assign_unowned,
    clear_suspicion,
    hand_over,
    key_count,
    locate,
    suspicion_of,
    take_over,
    unowned_ranges,
)
from jujuberudder_router._ownership import (
    DISPLACED_DELAY_S,
    GRANT_TTL_S,
    INITIAL_ASSIGNMENT_DELAY_S,
    LEASE_S,
    REFUTE_GRACE_S,
    SUSPECT_AFTER_S,
    TAKEOVER_DELAY_S,
    OwnershipView,
    Release,
    next_change,
)
from jujuberudder_router._types import KEY_COUNT, KeyMap

A, B, C = Owner("a", "a@1"), Owner("b", "b@1"), Owner("c", "c@1")
ASSIGNED = assign_unowned(KeyMap("jobs"), [A, B, C])


def fences(keymap):
    """Return the fence of each key range."""
    return {
        (key_range.start, key_range.end): key_range.fence for key_range in keymap.ranges
    }


def disjoint(keymap):
    """Return whether key ranges are in order and share no key."""
    ends = [-1] + [key_range.end for key_range in keymap.ranges]
    return all(key_range.start > end for key_range, end in zip(keymap.ranges, ends))


def test_assign_unowned_gives_first_owners_equal_shares():
    """Guards against an uneven first assignment that loads one target more."""
    widths = [key_count(ASSIGNED, owner.vm) for owner in (A, B, C)]
    assert unowned_ranges(ASSIGNED) == []
    assert len(ASSIGNED.ranges) == 3
    assert max(widths) - min(widths) <= 2


changes = st.lists(
    st.one_of(
        st.tuples(
            st.just("hand_over"),
            st.sampled_from("abc"),
            st.integers(0, KEY_COUNT - 1),
            st.integers(0, KEY_COUNT - 1),
        ),
        st.tuples(st.just("take_over"), st.sampled_from("abc")),
        st.tuples(st.just("renew"), st.sampled_from("abc"), st.integers(2, 5)),
    ),
    max_size=12,
)


def apply_change(keymap, change):
    """Return the key map after a generated change."""
    kind, vm, *rest = change
    others = [owner for owner in (A, B, C) if owner.vm != vm]
    if kind == "hand_over":
        start, end = sorted(rest)
        return hand_over(keymap, vm, [(start, end, "token")], others)
    if kind == "take_over":
        return take_over(keymap, vm, others)
    return assign_to_new_incarnation(keymap, Owner(vm, f"{vm}@{rest[0]}"))


@given(changes)
def test_fence_rises_whenever_the_owner_of_a_key_changes(sequence):
    """Guards against two owners of a key and against a new owner under an old fence."""
    keymap = ASSIGNED
    probes = [0, 1, 21845, 21846, 30000, 43690, 65535]
    highest = {key: locate(keymap, key).fence for key in probes}
    for change in sequence:
        before = keymap
        keymap = apply_change(keymap, change)
        assert disjoint(keymap) and unowned_ranges(keymap) == []
        for key in probes:
            old, new = locate(before, key), locate(keymap, key)
            if (old.vm, old.target_incarnation) != (new.vm, new.target_incarnation):
                assert new.fence > highest[key]
            highest[key] = max(highest[key], new.fence)


def test_hand_over_passes_the_token_and_keeps_the_other_ranges():
    """Guards against a lost token, which slows keys that were released in order."""
    moved = hand_over(ASSIGNED, "a", [(100, 199, "token")], [B])
    assert [locate(moved, key).vm for key in (99, 100, 199, 200)] == list("abba")
    assert locate(moved, 150).handover == "token"
    assert fences(moved)[(0, 99)] == fences(ASSIGNED)[(0, 21845)]


def test_hand_over_ignores_ranges_that_the_vm_does_not_own():
    """Guards against a late release that takes keys from their new owner."""
    assert hand_over(ASSIGNED, "a", [(60000, 60010, "token")], [B]) == ASSIGNED


def view(**changes):
    """Return a view of VM ``a`` that requires no change, with some fields replaced."""
    unchanged = OwnershipView(
        now=100.0, vm="a", keymap=ASSIGNED, owner=A, owners=[A, B, C],
        unreachable_vms={}, watch_ranks={"b": 0, "c": 1}, displaced_vms={},
        released=[], suspicions={}, caught_up_s=60.0,
    )  # fmt: skip
    return unchanged._replace(**changes)


SUSPECTED = add_suspicion(ASSIGNED, "b", "s1")


@pytest.mark.parametrize(
    "changes, expected",
    [
        ({}, None),
        (
            {"keymap": KeyMap("jobs"), "caught_up_s": INITIAL_ASSIGNMENT_DELAY_S / 2},
            None,
        ),
        ({"keymap": KeyMap("jobs")}, ASSIGNED),
        ({"keymap": KeyMap("jobs"), "owner": None, "owners": [B, C]}, None),
        ({"keymap": add_suspicion(ASSIGNED, "a", "s1")}, ASSIGNED),
        ({"unreachable_vms": {"b": SUSPECT_AFTER_S / 2}}, None),
        ({"unreachable_vms": {"b": SUSPECT_AFTER_S}}, SUSPECTED),
        (
            {
                "unreachable_vms": {"b": 60.0},
                "keymap": SUSPECTED,
                "suspicions": {"s1": 99.0},
            },
            None,
        ),
        (
            {
                "unreachable_vms": {"b": 60.0},
                "keymap": SUSPECTED,
                "suspicions": {"s1": 99.9 - TAKEOVER_DELAY_S},
            },
            take_over(SUSPECTED, "b", [A, C]),
        ),
        (
            {
                "unreachable_vms": {"b": 0.0},
                "keymap": SUSPECTED,
                "suspicions": {"s1": 99.9 - TAKEOVER_DELAY_S},
            },
            None,
        ),
        (
            {
                "unreachable_vms": {"b": 0.0},
                "keymap": SUSPECTED,
                "suspicions": {"s1": 99.9 - TAKEOVER_DELAY_S - REFUTE_GRACE_S},
            },
            take_over(SUSPECTED, "b", [A, C]),
        ),
        (
            {
                "unreachable_vms": {"b": 1.0},
                "displaced_vms": {"b": DISPLACED_DELAY_S - 0.1},
            },
            None,
        ),
        (
            {"displaced_vms": {"b": DISPLACED_DELAY_S + 0.1}},
            take_over(ASSIGNED, "b", [A, C]),
        ),
        (
            {"released": [Release("a", 0, 99, "t", "c")]},
            hand_over(ASSIGNED, "a", [(0, 99, "t")], [C]),
        ),
        ({"released": [Release("a", 0, 99, "t")], "owners": [A]}, None),
        (
            {"released": [Release("b", 30000, 30099, "t", "c", 1)]},
            hand_over(ASSIGNED, "b", [(30000, 30099, "t")], [C]),
        ),
        ({"released": [Release("b", 30000, 30099, "t", "c", 7)]}, None),
        (
            {
                "released": [
                    Release("a", 0, 99, "t", "c"),
                    Release("b", 30000, 30099, "u", "c", 1),
                ]
            },
            hand_over(
                hand_over(ASSIGNED, "a", [(0, 99, "t")], [C]),
                "b", [(30000, 30099, "u")], [C],
            ),
        ),
        (
            {"owner": Owner("a", "a@2"), "owners": [Owner("a", "a@2"), B, C]},
            assign_to_new_incarnation(ASSIGNED, Owner("a", "a@2")),
        ),
    ],
    ids=[
        "nothing to change", "too early to assign", "assign unowned keys",
        "own target may not own keys", "refute the suspicion", "unreachable briefly",
        "add a suspicion", "suspicion is too recent", "take over",
        "suspected but reachable again", "reachable but does not refute the suspicion",
        "displaced a moment ago", "displaced", "released",
        "released without a receiver", "reported", "reported under an earlier fence",
        "two releases in one change", "target restarted",
    ],
)  # fmt: skip
def test_next_change(changes, expected):
    """Guards against keys that are taken over too early, or never."""
    change = next_change(view(**changes), lambda: "s1")
    assert (change and change.keymap) == expected


def test_takeover_delay_exceeds_lease_and_grant():
    """Guards against two targets that serve a key after a network partition."""
    assert TAKEOVER_DELAY_S > LEASE_S + GRANT_TTL_S * 1.02


def test_clear_suspicion_keeps_suspicions_of_other_vms():
    """Guards against a VM that removes the suspicion against another VM."""
    both = add_suspicion(SUSPECTED, "c", "s2")
    assert suspicion_of(clear_suspicion(both, "c"), "b") == "s1"
    assert suspicion_of(clear_suspicion(both, "c"), "c") is None
