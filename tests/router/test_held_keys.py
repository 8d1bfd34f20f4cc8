"""What a target may hold, and which grants are due, as pure decisions."""

import pytest

from jujuberudder_router import KeyRange
from jujuberudder_router._grant_calls import combine, due_grants
from jujuberudder_router._held_keys import DISTRUST_MIN_S, HeldKeys

LAST_KEY = 65535


def make_held(*grants):
    """Return ``HeldKeys`` with acknowledged grants (start, end, fence, until)."""
    held = HeldKeys()
    for start, end, fence, until in grants:
        held.confirm(start, end, fence, until, until + 1)
    return held


@pytest.mark.parametrize(
    "grants, released, key, now, covered",
    [
        ([(0, 99, 1, 5.0)], None, 50, 4.9, True),
        ([(0, 99, 1, 5.0)], None, 50, 5.1, False),
        ([(0, 99, 1, 5.0)], None, 100, 1.0, False),
        ([(0, 99, 1, 5.0)], (40, 60), 50, 1.0, False),
        ([(0, 99, 1, 5.0)], (40, 60), 39, 1.0, True),
        ([(0, 99, 1, 5.0)], (40, 60), 61, 1.0, True),
        ([(0, 99, 1, 5.0), (40, 60, 2, 3.0)], None, 50, 4.0, False),
        ([(0, 99, 1, 5.0)], None, None, 9.0, True),
    ],
)
def test_covers(grants, released, key, now, covered):
    """Guards against requests for keys that the target no longer holds."""
    held = make_held(*grants)
    if released:
        held.release(*released)
    assert held.covers(key, now) == covered


def test_latest_end_counts_calls_without_a_response():
    """Guards against a handover before a late grant has certainly run out."""
    held = make_held((0, 99, 1, 5.0))
    number = held.begin_call(0, 99, 1, 4.0, 7.5)
    assert held.expiry(0, 9) == 7.5
    held.release(0, 99)
    assert held.expiry(0, 9) == held.open_call_expiry(0, 9) == 7.5
    assert held.open_call_expiry(100, 200) == 0.0
    held.end_call(number)
    assert held.expiry(0, LAST_KEY) == 0.0


def test_new_incarnation_may_get_calls_without_a_response():
    """Guards against a grant for the previous incarnation that counts as ended."""
    held = make_held((0, 99, 1, 5.0))
    held.begin_call(0, 99, 1, 4.0, 7.5)
    held.reset()
    assert not held.covers(5, 4.5)
    assert held.open_call_expiry(0, 99) == 7.5


def test_previous_process_may_have_granted_everything():
    """Guards against a new process that ignores the calls of its predecessor."""
    held = HeldKeys()
    held.assume_granted(0.0, 2.5)
    held.release(0, 99)
    assert held.open_call_expiry(0, 99) == 2.5
    assert [r[:2] for r in held.possible(1.0)] == [(100, LAST_KEY)]
    assert held.possible(2.6) == ()


def test_a_statement_of_the_target_ends_the_belief_in_a_grant():
    """Guards against thousands of requests to a target that does not hold their keys.

    The first statement ends the use of the range; after a second one, in spite of a
    new grant, the range is used again only after a delay that doubles.
    """
    held, delays = make_held((0, 99, 1, 50.0), (100, 199, 1, 50.0)), []
    for now in (1.0, 2.0, 3.0, 4.0):
        assert held.disown(50, now) == [(0, 99)]
        assert held.disown(50, now) == []
        assert not held.covers(50, now) and held.covers(150, now)
        delays.append(held.distrusted_s(50, now))
        held.confirm(0, 99, 1, 50.0, 51.0)
        assert held.covers(50, now + delays[-1] + 0.01)
    assert delays == pytest.approx([0, DISTRUST_MIN_S, 0.4, 0.8])
    held.trust(60)
    held.disown(50, 5.0)
    assert held.distrusted_s(50, 5.0) == 0.0


def test_combine():
    """Guards against one call for each piece of a range that was split."""
    ranges = [
        KeyRange(50, 99, 3, "a", "t"), KeyRange(0, 49, 3, "a", "t"),
        KeyRange(100, 149, 4, "a", "t"), KeyRange(150, 199, 4, "a", "t", "token"),
        KeyRange(201, 210, 3, "a", "t"),
    ]  # fmt: skip
    rows = [(r.start, r.end, r.fence, r.handover) for r in combine(ranges)]
    assert rows == [
        (0, 99, 3, ""), (100, 149, 4, ""), (150, 199, 4, "token"), (201, 210, 3, ""),
    ]  # fmt: skip


@pytest.mark.parametrize(
    "grants, busy, retry_at, now, due",
    [
        ([], [], {}, 0.0, True),
        ([(0, 99, 3, 2.4)], [], {}, 0.7, False),
        ([(0, 99, 3, 2.4)], [], {}, 0.9, True),
        ([(0, 99, 2, 2.4)], [], {}, 0.1, True),
        ([(0, 49, 3, 2.4)], [], {}, 0.1, True),
        ([(0, 49, 3, 2.4), (50, 99, 3, 2.4)], [], {}, 0.1, False),
        ([], [(90, 120)], {}, 0.0, False),
        ([], [], {(0, 99, 3): 0.5}, 0.0, False),
        ([], [], {(0, 99, 2): 0.5}, 0.0, True),
    ],
)
def test_due_grants(grants, busy, retry_at, now, due):
    """Guards against grants that are renewed too late, or twice at the same time."""
    wanted = (KeyRange(0, 99, 3, "a", "t"),)
    result = due_grants(wanted, make_held(*grants), busy, retry_at, 2.4, now)
    assert result == (list(wanted) if due else [])
