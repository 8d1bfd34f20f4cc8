"""Unavailable time of a key after the loss of its owner, with node processes."""

import sys
import time

import trio
from common import JOBS, ZONES, deployed, probe, target_process, write_result

from jujuberudder_core import BoottimeClock, hash_bits, prefix_of
from jujuberudder_standins import Availability

PROBE_S = 0.01
# Probes without a deadline pile up while a key has no owner, and are a load test then.
DEADLINE_MS = 500
BEFORE_S, FAULT_S, AFTER_S = 0.5, 4.0, 0.5
LOG_DOWN_S = 5.0
SETTLE_S = 60.0
INGRESS = "dispatch-dar-a"
DISPATCH = "service: dispatch\nroutes: [{path_prefix: /dispatch/}]\n"


async def kill(deployment, victim):
    """SIGKILL; the node is started again."""
    deployment.kill(victim)
    await trio.sleep(FAULT_S)
    deployment.start(victim)


async def freeze(deployment, victim):
    """SIGSTOP, later SIGCONT."""
    deployment.freeze(victim)
    await trio.sleep(FAULT_S)
    deployment.resume(victim)


async def partition(deployment, victim):
    """Cut off from all nodes and from the log, both ways."""
    others = [name for name in deployment.members if name != victim] + ["log"]
    for path in deployment.network.between([victim], others):
        path.cut()
    await trio.sleep(FAULT_S)
    deployment.network.heal()


async def kill_log_down(deployment, victim):
    """SIGKILL while the log service is down; it stays down for 5 s."""
    deployment.log.down = True
    deployment.kill(victim)
    await trio.sleep(LOG_DOWN_S)
    deployment.log.down = False
    await trio.sleep(FAULT_S)
    deployment.start(victim)


async def none(deployment, victim):
    """Nothing happens: what load and machine alone cost."""
    await trio.sleep(FAULT_S)


async def log_down(deployment, victim):
    """The log service alone is down."""
    deployment.log.down = True
    await trio.sleep(LOG_DOWN_S)
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
    """Return the unavailable time of each run in seconds."""
    places = [(s, z) for s in ("jobs", "dispatch") for z in ZONES]
    sections = {"jobs": JOBS, "dispatch": DISPATCH}
    links = "pairs" if fault == "partition" else "none"
    times, refused = [], []
    async with target_process("127.0.0.1") as (target, _):
        async with deployed(
            places, sections, links=links, target_address=target
        ) as deployment:
            for number in range(runs):
                noted = await _run(deployment, fault, number)
                times.append(round(noted.availability.worst_s, 4))
                refused.append(noted.refused)
                print(f"{fault} run {number + 1}: {times[-1]} s", flush=True)
                with trio.fail_after(SETTLE_S):
                    await deployment.wait_ready()
    return times, refused


class _Noted:
    def __init__(self):
        self.availability = Availability()
        self.refused = 0


async def _run(deployment, fault, number):
    victim = f"jobs-{ZONES[number % len(ZONES)]}"
    key = await _key_of(deployment, victim)
    noted = _Noted()
    async with trio.open_nursery() as nursery:
        stop = trio.Event()
        nursery.start_soon(_probe, deployment, noted, key, stop)
        await trio.sleep(BEFORE_S)
        await FAULTS[fault](deployment, victim)
        await trio.sleep(AFTER_S)
        stop.set()
    # A key that is never served again must not count as always served.
    noted.availability.close()
    return noted


async def _key_of(deployment, node):
    """Wait until a node owns shards that do not move; return a key of them."""
    with trio.fail_after(SETTLE_S):
        while True:
            found = _settled_key(deployment.fold(), node)
            if found is not None:
                return found
            await trio.sleep(0.1)


def _settled_key(ownership, node):
    shards = ownership.shards("jobs")
    if not shards or any(shard.destination for shard in shards.values()):
        return None
    nodes = {key: state.admit.node for key, state in ownership.live()}
    for number in range(500):
        key = f"gate-{number}"
        owner = shards[prefix_of(hash_bits(key), shards)].owner
        if nodes.get(owner) == node:
            return key
    return None


async def _probe(deployment, noted, key, stop):
    """Probe every 10 ms, each probe in a task of its own."""
    address = deployment.members[INGRESS].addresses.client

    async def one():
        started = time.monotonic()
        served = await probe(address, f"/jobs/{key}", DEADLINE_MS)
        noted.availability.record_request(key, started, served)
        noted.refused += not served

    async with trio.open_nursery() as nursery:
        due = trio.current_time()
        while not stop.is_set():
            nursery.start_soon(one)
            due += PROBE_S
            await trio.sleep_until(due)


def main(runs=20, faults=()):
    """Measure and write one result per fault, of all faults if none is given."""
    for fault in faults or FAULTS:
        times, refused = trio.run(measure, fault, runs, clock=BoottimeClock())
        ordered = sorted(times)
        figures = {
            "fault": fault,
            "what": FAULTS[fault].__doc__,
            "probe_interval_s": PROBE_S,
            "probe_deadline_ms": DEADLINE_MS,
            "runs": runs,
            "unavailable_s": times,
            "probes_not_served": refused,
            "median_s": ordered[len(ordered) // 2],
            "worst_s": ordered[-1],
            "target_s": 2.0,
        }
        name = fault.replace(" -9", "").replace(", ", "-").replace(" ", "-")
        write_result(f"unavailable-{name}", figures)


if __name__ == "__main__":
    main(int(sys.argv[1]), sys.argv[2:])
