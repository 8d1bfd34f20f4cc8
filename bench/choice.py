"""Compares policies that choose a target for a request without a key.

Run as ``python bench/choice.py``. The metrics are the imbalance, the p99 latency and
the share of requests that cross availability zones. The policies choose among
simulated targets on a simulated clock, so the results depend on the seed only. Each
node knows only the number of its own requests in flight, and their latencies and
errors. choice-with-reports.json comes from a version that also used load reports of
the targets.
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
CROSS_ZONE_DELAY_S = 0.004
MEAN_WORK_S = 0.02


class Scenario(NamedTuple):
    """Targets and load of a simulation.

    Parameters
    ----------
    targets : int
        Number of targets.
    slots : int
        Slots of each target.
    load : float
        Share of the capacity of all targets.
    slowdowns : dict of int to float
        Factor on the service time, by index of the target.
    failing_targets : tuple of int
        Indices of the targets that fail every request.
    entry_weights : tuple of int
        Relative number of requests that enter in each availability zone.
    """

    targets: int = 3
    slots: int = 6
    load: float = 0.7
    slowdowns: dict = {}
    failing_targets: tuple = ()
    entry_weights: tuple = (1, 1, 1)


SCENARIOS = {
    "even": Scenario(),
    "20 slots": Scenario(slots=20),
    "9 targets": Scenario(targets=9),
    "one slow target": Scenario(slowdowns={1: 4.0}, load=0.5),
    "one fails fast": Scenario(failing_targets=(1,), load=0.4),
    "uneven entry": Scenario(entry_weights=(6, 1, 1)),
}


class Target:
    """A simulated target with slots and a queue."""

    def __init__(self, index, scenario):
        self.index = index
        self.zone = ZONES[index % len(ZONES)]
        self.scenario = scenario
        self.slots = trio.CapacityLimiter(scenario.slots)
        self.served = 0
        self.busy_s = 0.0

    async def serve(self, rng):
        """Serve one request and return whether it succeeded."""
        if self.index in self.scenario.failing_targets:
            await trio.sleep(0.001)
            return False
        work_s = rng.expovariate(1 / MEAN_WORK_S)
        work_s *= self.scenario.slowdowns.get(self.index, 1.0)
        async with self.slots:
            await trio.sleep(work_s)
        self.served += 1
        self.busy_s += work_s
        return True


class _Response(NamedTuple):
    status: int


def policies(rng, targets):
    """Return the policies by name.

    Each value is a function of the entry zone that returns the state of the policy,
    or None, and a function that chooses a target.
    """

    def random_target(zone):
        return None, lambda: rng.choice(targets)

    def two_random_choices(zone):
        in_flight = Counter()

        def choose():
            pair = rng.sample(targets, 2)
            return min(pair, key=lambda target: in_flight[target.index])

        return in_flight, choose

    def node_policy(zone):
        selector = TargetSelector(lambda: "", lambda: 0, rng)
        same_zone = {str(t.index): t.zone == zone for t in targets}

        def choose():
            return targets[
                int(selector.choose(same_zone, targets[0].scenario.slots)[0])
            ]

        return selector, choose

    return {
        "random": random_target,
        "two choices": two_random_choices,
        "nodes": node_policy,
    }


async def send_request(target, zone, state, rng, results):
    """Send one request; record its success, latency and whether it crossed zones."""
    started = trio.current_time()
    cross_zone = target.zone != zone
    if isinstance(state, TargetSelector):
        with state.track(str(target.index)) as tracked:
            succeeded = await call_target(target, cross_zone, rng)
            tracked.record_response(_Response(200 if succeeded else 500))
    elif state is None:
        succeeded = await call_target(target, cross_zone, rng)
    else:
        state[target.index] += 1
        succeeded = await call_target(target, cross_zone, rng)
        state[target.index] -= 1
    results.append((succeeded, trio.current_time() - started, cross_zone))


async def call_target(target, cross_zone, rng):
    """Call a target, with the network delay in both directions."""
    await trio.sleep(CROSS_ZONE_DELAY_S * cross_zone)
    succeeded = await target.serve(rng)
    await trio.sleep(CROSS_ZONE_DELAY_S * cross_zone)
    return succeeded


async def run_policy(policy, scenario, seed, seconds):
    """Return the metrics of one policy in one scenario."""
    rng = random.Random(seed)
    targets = [Target(index, scenario) for index in range(scenario.targets)]
    make_chooser = policies(rng, targets)[policy]
    entries = [(zone, *make_chooser(zone)) for zone in ZONES]
    rate = scenario.load * scenario.targets * scenario.slots / MEAN_WORK_S
    results = []
    async with trio.open_nursery() as nursery:
        end_time = trio.current_time() + seconds
        while trio.current_time() < end_time:
            await trio.sleep(rng.expovariate(rate))
            zone, state, choose = rng.choices(entries, scenario.entry_weights)[0]
            nursery.start_soon(send_request, choose(), zone, state, rng, results)
    latencies = sorted(latency for succeeded, latency, _ in results if succeeded)
    busy_times_s = [target.busy_s for target in targets]
    return {
        "requests": len(results),
        "failed_share": sum(not succeeded for succeeded, _, _ in results)
        / len(results),
        "imbalance": max(busy_times_s) / statistics.mean(busy_times_s),
        "median_ms": latencies[len(latencies) // 2] * 1000,
        "p99_ms": latencies[int(len(latencies) * 0.99)] * 1000,
        "cross_zone_share": sum(c for _, _, c in results) / len(results),
    }


def simulate(policy, scenario, seed, seconds):
    """Run one policy in one scenario on a simulated clock."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(run_policy, policy, scenario, seed, seconds, clock=clock)


VARIANTS = {
    "nodes": {},
    "nodes, zones at a fourth": {"CROSSING_S": 0.008},
    "nodes, zones ignored": {"CROSSING_S": 0.0},
    "nodes, failures ignored": {"FAILURE_S": 0.0},
}
POLICIES = ("random", "two choices", *VARIANTS)
METRICS = ("imbalance", "p99_ms", "cross_zone_share", "failed_share")
PROCESSES = 3


def run_case(case):
    """Run one case; a module-level function because the pool pickles it by name."""
    name, policy, seed, seconds = case
    for field, value in VARIANTS.get(policy, {}).items():
        setattr(_choice, field, value)
    metrics = simulate(policy.partition(",")[0], SCENARIOS[name], seed, seconds)
    return {"scenario": name, "policy": policy, "seed": seed} | metrics


def print_means(rows):
    """Print the mean of each metric over the seeds."""
    for name in SCENARIOS:
        for policy in POLICIES:
            matching = [
                r for r in rows if (r["scenario"], r["policy"]) == (name, policy)
            ]
            means = {f: statistics.mean(r[f] for r in matching) for f in METRICS}
            text = "  ".join(f"{f} {value:8.3f}" for f, value in means.items())
            print(f"{name:26} {policy:26} {text}")


def choice(*, seeds: int = 3, seconds: float = 4.0, output: str = ""):
    """Compare policies in all scenarios.

    Parameters
    ----------
    seeds : int
        Number of seeds, from 1.
    seconds : float
        Simulated time per case in seconds.
    output : str
        File for the raw figures; none if empty.
    """
    cases = [
        (name, policy, seed, seconds)
        for name in SCENARIOS
        for policy in POLICIES
        for seed in range(1, seeds + 1)
    ]
    # Each case runs in a new process because variants change module constants.
    with Pool(PROCESSES, maxtasksperchild=1) as pool:
        rows = pool.map(run_case, cases, chunksize=1)
    print_means(rows)
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
