"""Time from publish to in force per availability zone, under load and link faults."""

import sys
from collections import defaultdict

import trio
from common import JOBS, SEED, ZONES, deployed, probe, write_result

from jujuberudder_core import BoottimeClock

RUNS, POLL_S, LOAD_S = 20, 0.01, 0.05
LIMIT_S = 60.0
SERVICES = ("jobs", "dispatch", "fieldmedia")
OTHER = "service: {0}\nroutes: [{{path_prefix: /{0}/}}]\n"
DELAY_S, JITTER_S, STALLS, RESETS = 0.004, 0.004, 0.02, 0.002


async def measure(runs):
    """Return the times of each publish by availability zone, in seconds."""
    sections = {name: OTHER.format(name) for name in SERVICES[1:]} | {"jobs": JOBS}
    places = [(service, zone) for service in SERVICES for zone in ZONES]
    times = defaultdict(list)
    async with deployed(places, sections) as deployment:
        _make_faulty(deployment)
        version = deployment.log.stream("bench.sections")
        version = next(o + 1 for o, d in version if '"dispatch"' in d)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_load, deployment)
            for number in range(runs):
                text = OTHER.format("dispatch") + f"queue: {50 + number}\n"
                version = deployment.publish("dispatch", text, version)
                taken = await _in_force(deployment, version)
                for zone in ZONES:
                    names = deployment.zone(zone)
                    times[zone].append(round(max(taken[n] for n in names), 4))
                await trio.sleep(0.2)
            nursery.cancel_scope.cancel()
    return dict(times)


def _make_faulty(deployment):
    network = deployment.network
    for zone in ZONES:
        inside = deployment.zone(zone)
        outside = [n for n in deployment.members if n not in inside] + ["log"]
        for path in network.between(inside, outside):
            path.delay_s, path.jitter_s = DELAY_S, JITTER_S
            path.stall_share, path.reset_share = STALLS, RESETS


async def _load(deployment):
    addresses = [m.addresses.client for m in deployment.members.values()]
    async with trio.open_nursery() as nursery:
        number = 0
        while True:
            address = addresses[number % len(addresses)]
            nursery.start_soon(probe, address, f"/jobs/gate-{number % 50}")
            number += 1
            await trio.sleep(LOAD_S)


async def _in_force(deployment, version):
    """Return the seconds until each node reports a version."""
    started = trio.current_time()
    taken = {}

    async def wait(name):
        while True:
            status = await deployment.status(name)
            if status and status["sections"].get("dispatch", 0) >= version:
                taken[name] = trio.current_time() - started
                return
            await trio.sleep(POLL_S)

    with trio.fail_after(LIMIT_S):
        async with trio.open_nursery() as nursery:
            for name in deployment.members:
                nursery.start_soon(wait, name)
    return taken


def main(runs=RUNS):
    """Measure and write one result."""
    times = trio.run(measure, runs, clock=BoottimeClock())
    worst = {zone: max(each) for zone, each in times.items()}
    faults = {"delay_s": DELAY_S, "jitter_s": JITTER_S}
    faults |= {"stall_share": STALLS, "reset_share": RESETS}
    figures = {"runs": runs, "link_faults": faults, "load_per_s": 1 / LOAD_S}
    figures |= {"seconds": times, "worst_s": worst, "limit_s": 12}
    write_result("publish", figures | {"seed": SEED})
    print(worst, flush=True)


if __name__ == "__main__":
    main(5 if "--quick" in sys.argv else RUNS)
