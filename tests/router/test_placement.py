"""Decisions on moves of keys between VMs."""

import random
import re
import time

import pytest
import trio

from jujuberudder_emulator import run_deployment
from jujuberudder_router._placement import (
    Move,
    SuddenDemand,
    VMLoad,
    plan_move,
    plan_split,
    plan_sudden_split,
    sudden_demand,
)

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


@pytest.mark.parametrize(
    "demand, others, expected",
    [
        ({0: 0.8, 9: 0.8, 99: 0.5}, {"b": 0.1, "c": 0.05}, [Move(10, 999, "c")]),
        ({0: 3.0, 9: 0.5}, {"b": 0.1}, [Move(1, 999, "b")]),
        (
            {0: 0.5, 5: 0.5, 9: 3.0, 99: 0.5}, {"b": 0.1, "c": 0.05},
            [Move(9, 9, "c"), Move(10, 999, "b")],
        ),
        ({9: 3.0}, {"c": 0.05}, [Move(9, 9, "c")]),
        ({9: 3.0}, {"c": 0.06}, []),
        ({9: 3.0}, {"b": 0.4, "c": 0.06}, []),
    ],
    ids=[
        "fastest first", "a hot key stays where targets are as fast",
        "a hot key goes to a fast target", "only a hot key", "little faster",
        "no faster VM",
    ],
)  # fmt: skip
def test_split_prefers_fast_targets(demand, others, expected):
    """Guards against hot keys on slow targets, and moves of them without a gain."""
    loads = [VMLoad(vm, 0.1, 100, service_s) for vm, service_s in others.items()]
    assert plan_split(load("a", 1.5), loads, KEY_RANGES, demand) == expected


def test_receiver_gets_what_its_target_can_serve():
    """Guards against slow targets that get as many keys as fast ones."""
    demand = {key: 0.099 for key in range(40)}
    loads = [VMLoad("b", 0.0, 9, 0.2), VMLoad("c", 0.0, 9, 0.05)]
    moves = plan_split(load("a", 2.0), loads, KEY_RANGES, demand)
    sizes = {vm: sum(start <= key <= end for key in demand) for start, end, vm in moves}
    assert sizes == {"c": 19, "b": 4}


@pytest.mark.parametrize(
    "ages_s, expected_total, expected_growth",
    [
        ([0.01 * n for n in range(50)], 2.5, 1.04),
        ([0.01 * n for n in range(20)], 1.0, 2.0),
        ([0.3 + 0.01 * n for n in range(20)], 1.0, 1.0),
        ([0.01 * n for n in range(15)], 0.0, 2.0),
        ([0.6 + 0.01 * n for n in range(50)], 0.0, 1.0),
    ],
    ids=["even", "rises", "falls", "too few", "long ago"],
)
def test_sudden_demand(ages_s, expected_total, expected_growth):
    """Guards against a hot range that is split by the demand of its first moments."""
    arrivals = [(10.0 - age_s, 7, 0.1) for age_s in ages_s]
    demand = sudden_demand(arrivals, 4, 10.0)
    assert demand.total == pytest.approx(expected_total)
    assert demand.growth == pytest.approx(expected_growth)


@pytest.mark.parametrize(
    "by_key, requests, again, split",
    [
        ({0: 0.6, 9: 0.6, 99: 0.6}, 40, False, False),
        ({0: 0.6, 9: 0.6, 99: 0.6}, 40, True, True),
        ({0: 0.7, 9: 0.7, 99: 0.7}, 40, False, True),
        ({0: 0.7, 9: 0.7, 99: 0.7}, 10, False, False),
        ({0: 0.7, 9: 0.7, 5000: 0.7}, 40, False, False),
    ],
    ids=["not sudden", "after a split", "sudden", "too few requests", "moved key"],
)
def test_plan_sudden_split(by_key, requests, again, split):
    """Guards against splits by chance, and for keys that have moved."""
    demand = SuddenDemand(by_key, requests, 1.0)
    moves = plan_sudden_split(
        load("a", 0.9), [load("b", 0.1)], KEY_RANGES, demand, again
    )
    assert bool(moves) == split


def test_calm_load_is_not_split():
    """Guards against more moves than before while no range is hot.

    An hour of a VM at 0.8 of its slots, with a check at each heartbeat.
    """
    rng, arrivals, now, splits = random.Random(5), [], 0.0, 0
    others = [load("b", 0.1)]
    while now < 3600:
        checked_at = now + 0.87
        while (now := now + rng.expovariate(32)) < checked_at:
            arrivals.append((now, rng.randrange(1000), 0.1))
        demand = sudden_demand(reversed(arrivals[-100:]), 4, now)
        splits += bool(plan_sudden_split(load("a", 0.8), others, KEY_RANGES, demand, 0))
    assert splits == 0


def split_at(lines):
    """Return the Unix time of the first split in batches of log lines."""
    return min(
        float(re.match(r"time=([0-9.]+)", line)[1])
        for batch in lines
        for line in batch.splitlines()
        if "sudden=True" in line
    )


@pytest.mark.parametrize("service", ["sheets", "jobs"])
@pytest.mark.parametrize("writer_lost", [False, True])
async def test_hot_range_is_spread(service, writer_lost):
    """Guards against refusals for seconds while slots of other VMs are free.

    150 adjacent keys suddenly need 3.5 times the slots of their owner. The VM that
    writes the key map may be lost when that begins.
    """
    rng, results = random.Random(3), []
    async with run_deployment() as deployment:
        deployment.node_settings = {"heartbeatS": 0.87}
        for number in range(5):
            vm = deployment.add(f"vm-{number}", service, slots=4, work_s=0.2)
            vm.start_node()
        await deployment.wait_until(deployment.serves_keys)
        clients = list(deployment.vms.values())[1:]

        async def send(key):
            sent_at = trio.current_time()
            response = await rng.choice(clients).send_request(
                f"/{service}/x", key=key, deadline_ms=1000
            )
            results.append((sent_at, response.status == 200))

        await trio.sleep(5.0)
        started, started_at = trio.current_time(), time.time()
        if writer_lost:
            deployment.vms["vm-0"].node_scope.cancel()
            deployment.vms["vm-0"].target_scope.cancel()
        async with trio.open_nursery() as nursery:
            while trio.current_time() < started + 4.5:
                nursery.start_soon(send, rng.randrange(20000, 20150))
                await trio.sleep(rng.expovariate(70))
        lines = [line for vm in clients for line in vm.lines if "sudden=True" in line]
        # The second heartbeat shows the whole demand, and only one VM needs to split.
        assert split_at(lines) - started_at <= 2.0
        served = [ok for sent_at, ok in results if sent_at > started + 3.0]
        assert sum(served) >= 0.75 * len(served)
        assert deployment.double_owners() == []
