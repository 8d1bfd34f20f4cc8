"""Choice of a target without a key: imbalance, p99 and share across zones.

Run as ``python bench/choice.py``. The policy of the nodes chooses among simulated
targets on a simulated clock, so the figures depend on the seed only. Each node sees
only what it has in flight itself, and the delays and errors of its own requests.
choice-with-reports.json is of a version that also took reports of the targets' load.
"""

import random
import statistics
import subprocess
import time
from collections import Counter
from multiprocessing import Pool
from pathlib import Path
from typing import NamedTuple

import defopt
import msgspec
import trio
import trio.testing

from jujuberudder_clients import TargetSelector, _choice

ZONES = ("a", "b", "c")
CROSSING_S = 0.004
WORK_S = 0.02


class Scenario(NamedTuple):
    """Targets and load; speeds and zones are per target."""

    targets: int = 3
    slots: int = 6
    load: float = 0.7
    slow: dict = {}
    failing: tuple = ()
    entry_weights: tuple = (1, 1, 1)


SCENARIOS = {
    "even": Scenario(),
    "20 slots": Scenario(slots=20),
    "9 targets": Scenario(targets=9),
    "one slow target": Scenario(slow={1: 4.0}, load=0.5),
    "one fails fast": Scenario(failing=(1,), load=0.4),
    "uneven entry": Scenario(entry_weights=(6, 1, 1)),
}


class Target:
    """A simulated target with slots and a queue."""

    def __init__(self, number, scenario):
        self.number = number
        self.zone = ZONES[number % len(ZONES)]
        self.scenario = scenario
        self.slots = trio.CapacityLimiter(scenario.slots)
        self.served = 0
        self.busy_s = 0.0

    async def serve(self, generator):
        """Serve one request; return whether it succeeded."""
        if self.number in self.scenario.failing:
            await trio.sleep(0.001)
            return False
        work_s = generator.expovariate(1 / WORK_S)
        work_s *= self.scenario.slow.get(self.number, 1.0)
        async with self.slots:
            await trio.sleep(work_s)
        self.served += 1
        self.busy_s += work_s
        return True


class _Answer(NamedTuple):
    status: int


def policies(generator, targets):
    """Return ``name -> make_chooser``; a chooser is made per entry zone."""

    def random_target(zone):
        return None, lambda: generator.choice(targets)

    def two_choices(zone):
        flights = Counter()

        def choose():
            pair = generator.sample(targets, 2)
            return min(pair, key=lambda target: flights[target.number])

        return flights, choose

    def nodes(zone):
        choice = TargetSelector(lambda: "", lambda: 0, generator)
        same = {str(t.number): t.zone == zone for t in targets}

        def choose():
            return targets[int(choice.choose(same, targets[0].scenario.slots)[0])]

        return choice, choose

    return {"random": random_target, "two choices": two_choices, "nodes": nodes}


async def request(target, zone, state, generator, results):
    """Send one request and note its latency, or its failure."""
    started = trio.current_time()
    crossing = target.zone != zone
    if isinstance(state, TargetSelector):
        with state.track(str(target.number)) as flight:
            good = await travel(target, crossing, generator)
            flight.record_response(_Answer(200 if good else 500))
    elif state is None:
        good = await travel(target, crossing, generator)
    else:
        state[target.number] += 1
        good = await travel(target, crossing, generator)
        state[target.number] -= 1
    results.append((good, trio.current_time() - started, crossing))


async def travel(target, crossing, generator):
    """Go to a target and back."""
    await trio.sleep(CROSSING_S * crossing)
    good = await target.serve(generator)
    await trio.sleep(CROSSING_S * crossing)
    return good


async def run(policy, scenario, seed, seconds):
    """Return the figures of one policy in one scenario."""
    generator = random.Random(seed)
    targets = [Target(number, scenario) for number in range(scenario.targets)]
    make = policies(generator, targets)[policy]
    entries = [(zone, *make(zone)) for zone in ZONES]
    rate = scenario.load * scenario.targets * scenario.slots / WORK_S
    results = []
    async with trio.open_nursery() as nursery:
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            await trio.sleep(generator.expovariate(rate))
            zone, state, choose = generator.choices(entries, scenario.entry_weights)[0]
            nursery.start_soon(request, choose(), zone, state, generator, results)
    latencies = sorted(latency for good, latency, _ in results if good)
    busy = [target.busy_s for target in targets]
    return {
        "requests": len(results),
        "failed_share": sum(not good for good, _, _ in results) / len(results),
        "imbalance": max(busy) / statistics.mean(busy),
        "median_ms": latencies[len(latencies) // 2] * 1000,
        "p99_ms": latencies[int(len(latencies) * 0.99)] * 1000,
        "cross_zone_share": sum(c for _, _, c in results) / len(results),
    }


def simulate(policy, scenario, seed, seconds):
    """Run one case on a simulated clock."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(run, policy, scenario, seed, seconds, clock=clock)


VARIANTS = {
    "nodes": {},
    "nodes, zones at a fourth": {"CROSSING_S": 0.008},
    "nodes, zones ignored": {"CROSSING_S": 0.0},
    "nodes, failures ignored": {"FAILURE_S": 0.0},
}
POLICIES = ("random", "two choices", *VARIANTS)
FIGURES = ("imbalance", "p99_ms", "cross_zone_share", "failed_share")
PROCESSES = 3


def one(case):
    """Run one case; top level, so that a pool can call it."""
    name, policy, seed, seconds = case
    for field, value in VARIANTS.get(policy, {}).items():
        setattr(_choice, field, value)
    figures = simulate(policy.partition(",")[0], SCENARIOS[name], seed, seconds)
    return {"scenario": name, "policy": policy, "seed": seed} | figures


def show(rows):
    """Print the means over the seeds."""
    for name in SCENARIOS:
        for policy in POLICIES:
            of = [r for r in rows if (r["scenario"], r["policy"]) == (name, policy)]
            means = {f: statistics.mean(r[f] for r in of) for f in FIGURES}
            text = "  ".join(f"{f} {value:8.3f}" for f, value in means.items())
            print(f"{name:26} {policy:26} {text}")


def choice(*, seeds: int = 3, seconds: float = 4.0, output: str = ""):
    """Compare policies in all scenarios.

    Parameters
    ----------
    seeds : int
        Number of seeds, from 1.
    seconds : float
        Simulated time per case.
    output : str
        File for the raw figures.
    """
    cases = [
        (name, policy, seed, seconds)
        for name in SCENARIOS
        for policy in POLICIES
        for seed in range(1, seeds + 1)
    ]
    # A process per case: variants change constants of the policy.
    with Pool(PROCESSES, maxtasksperchild=1) as pool:
        rows = pool.map(one, cases, chunksize=1)
    show(rows)
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True
    ).stdout.strip()
    result = {
        "seeds": seeds,
        "commit": commit,
        "command": f"python bench/choice.py --seeds {seeds} --seconds {seconds}",
        "date": time.strftime("%Y-%m-%d"),
        "rows": rows,
    }
    if output:
        text = msgspec.json.format(msgspec.json.encode(result), indent=1).decode()
        Path(output).write_text(text + "\n")


if __name__ == "__main__":
    defopt.run(choice)
