"""Measures the unavailable time of a key after a fault of the node that owns it.

Run as ``python bench/unavailable.py RUNS [FAULT ...]``, by default with all faults.
"""

import sys
import time

import trio
from common import (
    JOBS_SECTION,
    ZONES,
    probe,
    running_deployment,
    target_process,
    write_result,
)

from jujuberudder_core import BoottimeClock, hash_bits, prefix_of
from jujuberudder_standins import Availability

PROBE_INTERVAL_S = 0.01
# Without a deadline, probes accumulate while a key has no owner and become a load test.
PROBE_DEADLINE_MS = 500
BEFORE_FAULT_S, FAULT_DURATION_S, AFTER_FAULT_S = 0.5, 4.0, 0.5
LOG_DOWN_DURATION_S = 5.0
SETTLE_TIMEOUT_S = 60.0
INGRESS_NODE = "dispatch-dar-a"
DISPATCH_SECTION = "service: dispatch\nroutes: [{path_prefix: /dispatch/}]\n"


async def kill(deployment, victim):
    """SIGKILL; the node is started again."""
    deployment.kill(victim)
    await trio.sleep(FAULT_DURATION_S)
    deployment.start(victim)


async def freeze(deployment, victim):
    """SIGSTOP, later SIGCONT."""
    deployment.freeze(victim)
    await trio.sleep(FAULT_DURATION_S)
    deployment.resume(victim)


async def partition(deployment, victim):
    """Cut off from all nodes and from the log, both ways."""
    others = [name for name in deployment.members if name != victim] + ["log"]
    for path in deployment.network.between([victim], others):
        path.cut()
    await trio.sleep(FAULT_DURATION_S)
    deployment.network.heal()


async def kill_log_down(deployment, victim):
    """SIGKILL while the log service is down; it stays down for 5 s."""
    deployment.log.down = True
    deployment.kill(victim)
    await trio.sleep(LOG_DOWN_DURATION_S)
    deployment.log.down = False
    await trio.sleep(FAULT_DURATION_S)
    deployment.start(victim)


async def none(deployment, victim):
    """Nothing happens: what load and machine alone cost."""
    await trio.sleep(FAULT_DURATION_S)


async def log_down(deployment, victim):
    """The log service alone is down."""
    deployment.log.down = True
    await trio.sleep(LOG_DOWN_DURATION_S)
    deployment.log.down = False


FAULTS = {
    "none": none,
    "kill -9": kill,
    "freeze": freeze,
    "partition": partition,
    "log down": log_down,
    "kill -9, log down 5 s": kill_log_down,
}


async def measure(fault, runs):
    """Return the unavailable seconds and the number of failed probes of each run."""
    node_specs = [(service, zone) for service in ("jobs", "dispatch") for zone in ZONES]
    sections = {"jobs": JOBS_SECTION, "dispatch": DISPATCH_SECTION}
    links = "pairs" if fault == "partition" else "none"
    unavailable_s, not_served = [], []
    async with target_process("127.0.0.1") as (target, _):
        async with running_deployment(
            node_specs, sections, links=links, target_address=target
        ) as deployment:
            for number in range(runs):
                observations = await _run_fault(deployment, fault, number)
                unavailable_s.append(round(observations.availability.worst_s, 4))
                not_served.append(observations.not_served)
                print(f"{fault} run {number + 1}: {unavailable_s[-1]} s", flush=True)
                with trio.fail_after(SETTLE_TIMEOUT_S):
                    await deployment.wait_ready()
    return unavailable_s, not_served


class _Observations:
    def __init__(self):
        self.availability = Availability()
        self.not_served = 0


async def _run_fault(deployment, fault, number):
    victim = f"jobs-{ZONES[number % len(ZONES)]}"
    key = await _wait_settled_key(deployment, victim)
    observations = _Observations()
    async with trio.open_nursery() as nursery:
        stop = trio.Event()
        nursery.start_soon(_send_probes, deployment, observations, key, stop)
        await trio.sleep(BEFORE_FAULT_S)
        await FAULTS[fault](deployment, victim)
        await trio.sleep(AFTER_FAULT_S)
        stop.set()
    # Otherwise a key that is never served again would count as always available.
    observations.availability.close()
    return observations


async def _wait_settled_key(deployment, node):
    """Wait until no shard moves and a node owns some; return a key of that node."""
    with trio.fail_after(SETTLE_TIMEOUT_S):
        while True:
            key = _settled_key(deployment.fold(), node)
            if key is not None:
                return key
            await trio.sleep(0.1)


def _settled_key(ownership, node):
    shards = ownership.shards("jobs")
    if not shards or any(shard.destination for shard in shards.values()):
        return None
    nodes = {name: state.admit.node for name, state in ownership.live()}
    for number in range(500):
        key = f"gate-{number}"
        owner = shards[prefix_of(hash_bits(key), shards)].owner
        if nodes.get(owner) == node:
            return key
    return None


async def _send_probes(deployment, observations, key, stop):
    """Send a probe every 10 ms until stopped, each in a separate task."""
    address = deployment.members[INGRESS_NODE].addresses.client

    async def send_probe():
        started = time.monotonic()
        served = await probe(address, f"/jobs/{key}", PROBE_DEADLINE_MS)
        observations.availability.record_request(key, started, served)
        observations.not_served += not served

    async with trio.open_nursery() as nursery:
        due = trio.current_time()
        while not stop.is_set():
            nursery.start_soon(send_probe)
            due += PROBE_INTERVAL_S
            await trio.sleep_until(due)


def main(runs=20, faults=()):
    """Measure the given faults, by default all, and write one result per fault."""
    for fault in faults or FAULTS:
        unavailable_s, not_served = trio.run(
            measure, fault, runs, clock=BoottimeClock()
        )
        sorted_s = sorted(unavailable_s)
        metrics = {
            "fault": fault,
            "what": FAULTS[fault].__doc__,
            "probe_interval_s": PROBE_INTERVAL_S,
            "probe_deadline_ms": PROBE_DEADLINE_MS,
            "runs": runs,
            "unavailable_s": unavailable_s,
            "probes_not_served": not_served,
            "median_s": sorted_s[len(sorted_s) // 2],
            "worst_s": sorted_s[-1],
            "target_s": 2.0,
        }
        name = fault.replace(" -9", "").replace(", ", "-").replace(" ", "-")
        write_result(f"unavailable-{name}", metrics)


if __name__ == "__main__":
    main(int(sys.argv[1]), sys.argv[2:])
