"""Decisions on moves of keys between VMs."""

import pytest

from jujuberudder_router._placement import Move, VMLoad, plan_move

KEY_RANGES = [(0, 999)]
# Ten keys, each with a tenth of the work.
EVEN = [(key, 0.1) for key in range(0, 1000, 100)]
# One hot key in the middle with nine tenths of the work.
HOT = [(500, 0.1)] * 9 + [(900, 0.1)]


def load(vm, usage, key_count=1000):
    """Return the load of a VM; all targets have the same service time."""
    return VMLoad(vm, usage, key_count, 0.1)


@pytest.mark.parametrize(
    "own, others, work, expected",
    [
        (load("a", 0.5), [load("b", 0.1)], EVEN, None),
        (load("a", 0.9), [load("b", 0.8)], EVEN, None),
        (load("a", 0.9), [load("b", 0.1), load("c", 1.0)], EVEN, None),
        (load("a", 0.9), [], EVEN, None),
        (load("a", 1.0), [load("b", 0.6)], EVEN, Move(0, 100, "b")),
        (load("a", 1.0), [load("b", 0.9), load("c", 0.6)], EVEN, Move(0, 100, "c")),
        (load("a", 1.0), [load("b", 0.7)], HOT, Move(900, 999, "b")),
        (load("a", 0.4), [load("b", 0.0, 0)], EVEN, Move(0, 400, "b")),
        (load("a", 0.0), [load("b", 0.0, 0)], [], Move(500, 999, "b")),
        (load("a", 0.0, 9), [load("b", 0.0, 0), load("c", 0.0, 99)], [], None),
        (
            load("a", 1.0), [load("b", 1.2), load("c", 0.6), load("d", 0.5)], EVEN,
            Move(0, 100, "c"),
        ),
        (
            load("a", 1.0), [load("b", 0.6)._replace(settled=False)], EVEN, None,
        ),
        (
            load("a", 1.0),
            [load("b", 0.5)._replace(settled=False), load("c", 0.6)], EVEN,
            Move(0, 100, "c"),
        ),
        (
            load("a", 0.6), [load("b", 1.2), load("c", 1.0), load("d", 0.1)], EVEN,
            None,
        ),
        (
            load("a", 0.0, 98), [load(v, 0.0, w) for v, w in (("b", 99), ("c", 0))],
            [], None,
        ),
        (
            load("a", 0.0, 98),
            [load(v, 0.0, w) for v, w in (("b", 99), ("c", 0), ("d", 0))], [],
            Move(500, 999, "d"),
        ),
    ],
    ids=[
        "low usage", "small difference", "another has a higher usage", "no other VM",
        "even out", "to the lowest usage", "beside a hot key", "to a VM without keys",
        "to a VM without keys, no work", "another has more keys",
        "second highest usage to second lowest", "receiver got keys recently",
        "VM that got keys recently is skipped", "lower half moves no keys",
        "one VM without keys, another has more", "two VMs without keys, second is next",
    ],
)  # fmt: skip
def test_plan_move(own, others, work, expected):
    """Guards against moves without gain and hot keys that keep one VM overloaded."""
    assert plan_move(own, others, KEY_RANGES, work) == expected
