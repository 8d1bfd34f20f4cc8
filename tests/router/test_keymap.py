"""Changes of the owners of keys, and which one a node makes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jujuberudder_router._keymap import (
    Owner,
    clear,
    fill,
    gaps,
    hand_over,
    locate,
    renew,
    suspect,
    suspicion_of,
    take_over,
    width,
)
from jujuberudder_router._ownership import (
    HOLD_S,
    LEASE_S,
    SETTLE_S,
    SUSPECT_S,
    TAKEOVER_S,
    OwnershipView,
    next_change,
)
from jujuberudder_router._types import KEY_COUNT, KeyMap

A, B, C = Owner("a", "a@1"), Owner("b", "b@1"), Owner("c", "c@1")
DEALT = fill(KeyMap("jobs"), [A, B, C])


def fences(keymap):
    """Return the highest fence under which each row's keys were given."""
    return {(row.start, row.end): row.fence for row in keymap.ranges}


def disjoint(keymap):
    """Whether rows are in order and share no key."""
    ends = [-1] + [row.end for row in keymap.ranges]
    return all(row.start > end for row, end in zip(keymap.ranges, ends))


def test_first_owners_get_even_parts():
    """Guards against a target that starts with more keys than others."""
    widths = [width(DEALT, owner.vm) for owner in (A, B, C)]
    assert gaps(DEALT) == []
    assert len(DEALT.ranges) == 3
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
    """Return the map after a generated change."""
    kind, vm, *rest = change
    others = [owner for owner in (A, B, C) if owner.vm != vm]
    if kind == "hand_over":
        start, end = sorted(rest)
        return hand_over(keymap, vm, [(start, end, "token")], others)
    if kind == "take_over":
        return take_over(keymap, vm, others)
    return renew(keymap, Owner(vm, f"{vm}@{rest[0]}"))


@given(changes)
def test_keys_change_hands_with_rising_fences_only(sequence):
    """Guards against two owners of a key and against fences that do not rise."""
    keymap = DEALT
    probes = [0, 1, 21845, 21846, 30000, 43690, 65535]
    highest = {key: locate(keymap, key).fence for key in probes}
    for change in sequence:
        before = keymap
        keymap = apply_change(keymap, change)
        assert disjoint(keymap) and gaps(keymap) == []
        for key in probes:
            old, new = locate(before, key), locate(keymap, key)
            if (old.vm, old.target_incarnation) != (new.vm, new.target_incarnation):
                assert new.fence > highest[key]
            highest[key] = max(highest[key], new.fence)


def test_a_handed_over_range_carries_its_token_and_leaves_the_rest():
    """Guards against keys that are slow although their last holder released them."""
    moved = hand_over(DEALT, "a", [(100, 199, "token")], [B])
    assert [locate(moved, key).vm for key in (99, 100, 199, 200)] == list("abba")
    assert locate(moved, 150).handover == "token"
    assert fences(moved)[(0, 99)] == fences(DEALT)[(0, 21845)]


def test_ranges_of_others_are_not_handed_over():
    """Guards against a late release that takes keys from their new owner."""
    assert hand_over(DEALT, "a", [(60000, 60010, "token")], [B]) == DEALT


def view(**changes):
    """Return a calm view of VM ``a``, with changes."""
    calm = OwnershipView(
        now=100.0, vm="a", keymap=DEALT, owner=A, owners=[A, B, C], down={},
        released=[], wanted=[], suspicions={}, settled_s=60.0,
    )  # fmt: skip
    return calm._replace(**changes)


SUSPECTED = suspect(DEALT, "b", "s1")


@pytest.mark.parametrize(
    "changes, expected",
    [
        ({}, None),
        ({"keymap": KeyMap("jobs"), "settled_s": SETTLE_S / 2}, None),
        ({"keymap": KeyMap("jobs")}, DEALT),
        ({"keymap": KeyMap("jobs"), "owner": None, "owners": [B, C]}, None),
        ({"keymap": suspect(DEALT, "a", "s1")}, DEALT),
        ({"down": {"b": SUSPECT_S / 2}}, None),
        ({"down": {"b": SUSPECT_S}}, SUSPECTED),
        ({"down": {"b": 60.0}, "keymap": SUSPECTED, "suspicions": {"s1": 99.0}}, None),
        (
            {
                "down": {"b": 60.0},
                "keymap": SUSPECTED,
                "suspicions": {"s1": 99.9 - TAKEOVER_S},
            },
            take_over(SUSPECTED, "b", [A, C]),
        ),
        (
            {"keymap": SUSPECTED, "suspicions": {"s1": 99.9 - TAKEOVER_S}},
            None,
        ),
        (
            {"released": [(0, 99, "t")], "wanted": [(0, 99, "c")]},
            hand_over(DEALT, "a", [(0, 99, "t")], [C]),
        ),
        ({"released": [(0, 99, "t")], "owners": [A]}, None),
        (
            {"owner": Owner("a", "a@2"), "owners": [Owner("a", "a@2"), B, C]},
            renew(DEALT, Owner("a", "a@2")),
        ),
    ],
    ids=[
        "calm", "too early to deal", "deal", "own target may not own", "answer",
        "short silence", "suspect", "suspicion is young", "take over",
        "suspected but back", "released", "released with no one to take it",
        "target started again",
    ],
)  # fmt: skip
def test_step(changes, expected):
    """Guards against keys that are taken too early, or never."""
    step = next_change(view(**changes), lambda: "s1")
    assert (step and step.keymap) == expected


def test_takeover_waits_for_the_last_lease_and_hold():
    """Guards against two holders of a key after a partition."""
    assert TAKEOVER_S > LEASE_S + HOLD_S * 1.02


def test_answering_a_suspicion_removes_only_the_own_one():
    """Guards against a VM that clears what stands against another."""
    both = suspect(SUSPECTED, "c", "s2")
    assert suspicion_of(clear(both, "c"), "b") == "s1"
    assert suspicion_of(clear(both, "c"), "c") is None
