"""Decisions on moves of keys between VMs."""

import pytest

from jujuberudder_router._placement import Move, VMLoad, plan_move, plan_split

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


@pytest.mark.parametrize(
    "demand, others, expected",
    [
        ({0: 1.0, 9: 0.2}, [load("b", 0.1)], []),
        ({0: 1.0, 9: 0.5}, [load("b", 0.8)], []),
        ({0: 1.0, 9: 0.5}, [load("b", 0.1)], [Move(1, 999, "b")]),
        (
            {0: 1.0, 10: 0.5, 20: 0.5, 30: 0.5},
            [load("b", 0.1), load("c", 0.0), load("d", 0.9)],
            [Move(1, 19, "c"), Move(20, 29, "b")],
        ),
        (
            {10: 0.5, 20: 2.0, 30: 0.5}, [load("b", 0.0), load("c", 0.0)],
            [Move(0, 19, "b"), Move(21, 999, "c")],
        ),
        ({20: 5.0}, [load("b", 0.0)], []),
        ({5000: 5.0, 9: 0.5}, [load("b", 0.0)], []),
        (
            {0: 1.0, 9: 0.5, 99: 0.5}, [load("0", 1.5), load("b", 0.0), load("c", 0.0)],
            [Move(1, 98, "c")],
        ),
        ({0: 1.0, 9: 0.5}, [load("b", 0.1)._replace(settled=False)], []),
    ],
    ids=[
        "low demand", "no room elsewhere", "to one VM", "to two VMs",
        "around a hot key", "only a hot key",
        "key of another VM", "another VM splits as well",
        "receiver just got keys",
    ],
)  # fmt: skip
def test_plan_split(demand, others, expected):
    """Guards against hot keys of one VM that are spread one receiver at a time."""
    assert plan_split(load("a", 1.5), others, KEY_RANGES, demand) == expected


@pytest.mark.parametrize(
    "own_slots, receiver_slots, expected",
    [(18, 18, 2), (3, 18, 3), (18, 3, 0), (0, 18, 2)],
    ids=["equal", "from a limited VM", "to a limited VM", "not known"],
)
def test_move_counts_the_slots_of_both_vms(own_slots, receiver_slots, expected):
    """Guards against keys that overload a limited VM, or that stay there for long.

    The usage of 1.0 and 0.6 is even after two tenths of the work have moved to a VM of
    the same size, 3.4 tenths to one of six times the size and 0.6 tenths to one of a
    sixth of it; each key has a tenth.
    """
    own = load("a", 1.0)._replace(slots=own_slots)
    receiver = load("b", 0.6)._replace(slots=receiver_slots)
    move = plan_move(own, [receiver], KEY_RANGES, EVEN)
    assert (move.end // 100 + 1 if move else 0) == expected


def test_split_leaves_a_limited_vm_what_it_can_serve():
    """Guards against keys that overload a VM whose target limits its rate."""
    own = load("a", 1.5)._replace(slots=18)
    receivers = [load("b", 0.0)._replace(slots=3), load("c", 0.1)._replace(slots=18)]
    demand = {0: 0.9, 10: 0.1, 20: 0.4, 30: 0.4}
    moves = plan_split(own, receivers, KEY_RANGES, demand)
    assert moves == [Move(11, 999, "c")]


def test_hot_keys_are_spread_within_two_moves():
    """Guards against slots that stay idle while 200 busy keys lie on one VM.

    Of the requests of 36 VMs, 36 % are for 200 adjacent keys; all together they need
    0.9 of the slots.
    """
    vms = [f"vm-{number:02}" for number in range(36)]
    total = 0.9 * len(vms)
    demand = {key: 0.64 * total / 3600 for key in range(0, 3600)}
    for key in range(1000, 1200):
        demand[key] += 0.36 * total / 200
    ranges = {vm: [(100 * n, 100 * n + 99)] for n, vm in enumerate(vms)}

    def needed(vm):
        return {
            key: demand[key]
            for start, end in ranges[vm]
            for key in range(start, end + 1)
        }

    for _ in range(2):
        loads = [VMLoad(vm, min(1.8, sum(needed(vm).values())), 100, 0.1) for vm in vms]
        moves = []
        for own in loads:
            others = [load for load in loads if load is not own]
            work = sorted(needed(own.vm).items())
            planned = plan_split(own, others, ranges[own.vm], needed(own.vm))
            if not planned:
                move = plan_move(own, others, ranges[own.vm], work)
                planned = [move] if move else []
            moves += [(own.vm, move) for move in planned]
        for vm, (start, end, receiver) in moves:
            ranges[vm] = [
                piece
                for low, high in ranges[vm]
                for piece in ((low, min(high, start - 1)), (max(low, end + 1), high))
                if piece[0] <= piece[1]
            ]
            ranges[receiver].append((start, end))
    served = sum(min(1.0, sum(needed(vm).values())) for vm in vms)
    assert served >= 0.9 * total
