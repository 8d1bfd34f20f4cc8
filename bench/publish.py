"""Measures the time from a publish until it is in force, under load and link faults.

The faults are delays, stalls and resets on the paths between availability zones, and
between them and the log service. The times are per availability zone.
"""

import sys
from collections import defaultdict

import trio
from common import JOBS_SECTION, SEED, ZONES, probe, running_deployment, write_result

from jujuberudder_core import BoottimeClock

DEFAULT_RUNS, POLL_INTERVAL_S, REQUEST_INTERVAL_S = 20, 0.01, 0.05
IN_FORCE_TIMEOUT_S = 60.0
SERVICES = ("jobs", "dispatch", "fieldmedia")
SECTION_TEMPLATE = "service: {0}\nroutes: [{{path_prefix: /{0}/}}]\n"
DELAY_S, JITTER_S, STALL_SHARE, RESET_SHARE = 0.004, 0.004, 0.02, 0.002


async def measure(runs):
    """Return the seconds from each publish until in force, by availability zone."""
    sections = {name: SECTION_TEMPLATE.format(name) for name in SERVICES[1:]} | {
        "jobs": JOBS_SECTION
    }
    node_specs = [(service, zone) for service in SERVICES for zone in ZONES]
    times_by_zone = defaultdict(list)
    async with running_deployment(node_specs, sections) as deployment:
        _add_link_faults(deployment)
        stream = deployment.log.stream("bench.sections")
        version = next(offset + 1 for offset, data in stream if '"dispatch"' in data)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_requests, deployment)
            for number in range(runs):
                text = SECTION_TEMPLATE.format("dispatch") + f"queue: {50 + number}\n"
                version = deployment.publish("dispatch", text, version)
                in_force_s = await _wait_in_force(deployment, version)
                for zone in ZONES:
                    names = deployment.zone(zone)
                    times_by_zone[zone].append(
                        round(max(in_force_s[n] for n in names), 4)
                    )
                await trio.sleep(0.2)
            nursery.cancel_scope.cancel()
    return dict(times_by_zone)


def _add_link_faults(deployment):
    network = deployment.network
    for zone in ZONES:
        zone_nodes = deployment.zone(zone)
        other_nodes = [n for n in deployment.members if n not in zone_nodes] + ["log"]
        for path in network.between(zone_nodes, other_nodes):
            path.delay_s, path.jitter_s = DELAY_S, JITTER_S
            path.stall_share, path.reset_share = STALL_SHARE, RESET_SHARE


async def _send_requests(deployment):
    addresses = [m.addresses.client for m in deployment.members.values()]
    async with trio.open_nursery() as nursery:
        number = 0
        while True:
            address = addresses[number % len(addresses)]
            nursery.start_soon(probe, address, f"/jobs/gate-{number % 50}")
            number += 1
            await trio.sleep(REQUEST_INTERVAL_S)


async def _wait_in_force(deployment, version):
    """Wait until all nodes report a version; return the seconds by node."""
    started = trio.current_time()
    in_force_s = {}

    async def poll_status(name):
        while True:
            status = await deployment.status(name)
            if status and status["sections"].get("dispatch", 0) >= version:
                in_force_s[name] = trio.current_time() - started
                return
            await trio.sleep(POLL_INTERVAL_S)

    with trio.fail_after(IN_FORCE_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            for name in deployment.members:
                nursery.start_soon(poll_status, name)
    return in_force_s


def main(runs=DEFAULT_RUNS):
    """Measure and write one result."""
    times_by_zone = trio.run(measure, runs, clock=BoottimeClock())
    worst_by_zone = {zone: max(times_s) for zone, times_s in times_by_zone.items()}
    faults = {"delay_s": DELAY_S, "jitter_s": JITTER_S}
    faults |= {"stall_share": STALL_SHARE, "reset_share": RESET_SHARE}
    metrics = {
        "runs": runs,
        "link_faults": faults,
        "load_per_s": 1 / REQUEST_INTERVAL_S,
    }
    metrics |= {"seconds": times_by_zone, "worst_s": worst_by_zone, "limit_s": 12}
    write_result("publish", metrics | {"seed": SEED})
    print(worst_by_zone, flush=True)


if __name__ == "__main__":
    main(5 if "--quick" in sys.argv else DEFAULT_RUNS)
