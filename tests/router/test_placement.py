"""Which keys a VM gives to another one."""

import pytest

from jujuberudder_router._placement import Move, Share, plan_move

ROWS = [(0, 999)]
# Ten keys, each with a tenth of the work.
EVEN = [(key, 0.1) for key in range(0, 1000, 100)]
# One hot key in the middle with nine tenths of the work.
HOT = [(500, 0.1)] * 9 + [(900, 0.1)]


def share(vm, usage, width=1000):
    """Return what is known of a VM; all targets are equally fast."""
    return Share(vm, usage, width, 0.1)


@pytest.mark.parametrize(
    "own, others, work, expected",
    [
        (share("a", 0.5), [share("b", 0.1)], EVEN, None),
        (share("a", 0.9), [share("b", 0.8)], EVEN, None),
        (share("a", 0.9), [share("b", 0.1), share("c", 1.0)], EVEN, None),
        (share("a", 0.9), [], EVEN, None),
        (share("a", 1.0), [share("b", 0.6)], EVEN, Move(0, 100, "b")),
        (share("a", 1.0), [share("b", 0.9), share("c", 0.6)], EVEN, Move(0, 100, "c")),
        (share("a", 1.0), [share("b", 0.7)], HOT, Move(900, 999, "b")),
        (share("a", 0.4), [share("b", 0.0, 0)], EVEN, Move(0, 400, "b")),
        (share("a", 0.0), [share("b", 0.0, 0)], [], Move(500, 999, "b")),
        (share("a", 0.0, 9), [share("b", 0.0, 0), share("c", 0.0, 99)], [], None),
        (
            share("a", 1.0), [share("b", 1.2), share("c", 0.6), share("d", 0.5)], EVEN,
            Move(0, 100, "c"),
        ),
        (
            share("a", 1.0), [share("b", 0.6)._replace(settled=False)], EVEN, None,
        ),
        (
            share("a", 1.0),
            [share("b", 0.5)._replace(settled=False), share("c", 0.6)], EVEN,
            Move(0, 100, "c"),
        ),
        (
            share("a", 0.6), [share("b", 1.2), share("c", 1.0), share("d", 0.1)], EVEN,
            None,
        ),
        (
            share("a", 0.0, 98), [share(v, 0.0, w) for v, w in (("b", 99), ("c", 0))],
            [], None,
        ),
        (
            share("a", 0.0, 98),
            [share(v, 0.0, w) for v, w in (("b", 99), ("c", 0), ("d", 0))], [],
            Move(500, 999, "d"),
        ),
    ],
    ids=[
        "low usage", "small gain", "another is busier", "alone", "even out",
        "to the least used", "beside a hot key", "to one without keys",
        "to one without keys, no work", "another has more keys",
        "the second most used to the second least", "one that just got keys",
        "one that just got keys is passed over", "the less used half keeps its keys",
        "one without keys, another has more", "two without keys, the second is next",
    ],
)  # fmt: skip
def test_move(own, others, work, expected):
    """Guards against moves without gain, and hot keys that stay where they crowd."""
    assert plan_move(own, others, ROWS, work) == expected
