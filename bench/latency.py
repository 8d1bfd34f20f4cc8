"""Latency added to a direct call, and requests per second and core, open loop."""

import sys

import httpcore
import trio
from common import JOBS, deployed, target_process, write_result
from hdrh.histogram import HdrHistogram

from jujuberudder_core import BoottimeClock, hash_bits, prefix_of
from jujuberudder_standins import processor_s

RATE, SECONDS, WARM_S = 40, 15.0, 3.0
LOWEST_US, HIGHEST_US, DIGITS = 1, 60_000_000, 3
PLACES = [("jobs", "dar-a"), ("jobs", "dar-b"), ("jobs", "dar-c")]


async def load(address, path, seconds, rate=RATE):
    """Return a histogram of latencies in us, each from its intended start."""
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    failed = 0
    pool = httpcore.AsyncConnectionPool(max_connections=32)

    async def one(due):
        nonlocal failed
        answer = await pool.request("GET", f"http://{address}{path}")
        failed += answer.status != 200
        histogram.record_value(int((trio.current_time() - due) * 1e6))

    async with pool:
        async with trio.open_nursery() as nursery:
            start = trio.current_time()
            for number in range(int(rate * seconds)):
                due = start + number / rate
                await trio.sleep_until(due)
                nursery.start_soon(one, due)
    return histogram, failed


async def _case(address, path, pids, seconds):
    await load(address, path, WARM_S)
    before = [processor_s(pid) for pid in pids]
    histogram, failed = await load(address, path, seconds)
    spent = [processor_s(pid) - b for pid, b in zip(pids, before)]
    count = histogram.get_total_count()
    return {
        "requests": count,
        "failed": failed,
        **{
            f"p{p:g}_us": histogram.get_value_at_percentile(p)
            for p in (50, 90, 99, 100)
        },
        "processor_us_per_request": [round(1e6 * s / count) for s in spent],
        "requests_per_s_and_core": round(count / sum(spent)) if sum(spent) else None,
    }


async def measure(seconds):
    """Return the figures of a direct, a local and a forwarded request."""
    async with target_process("127.0.0.1") as (target, target_pid):
        async with deployed(
            PLACES, {"jobs": JOBS}, links="none", target_address=target
        ) as deployment:
            key, owner = await _owner(deployment)
            other = next(name for name in deployment.members if name != owner)
            path = f"/jobs/{key}"
            client = {n: m.addresses.client for n, m in deployment.members.items()}
            pids = {name: deployment.pid(name) for name in client}
            return {
                "direct": await _case(target, path, [target_pid], seconds),
                "local": await _case(client[owner], path, [pids[owner]], seconds),
                "forwarded": await _case(
                    client[other], path, [pids[other], pids[owner]], seconds
                ),
            }


async def _owner(deployment):
    """Return a key and the node that owns it once nothing moves any more."""
    while True:
        ownership = deployment.fold()
        shards = ownership.shards("jobs")
        if shards and all(s.owner and not s.destination for s in shards.values()):
            owner = shards[prefix_of(hash_bits("gate-1"), shards)].owner
            return "gate-1", ownership.incarnations[owner].admit.node
        await trio.sleep(0.1)


def main(seconds=SECONDS):
    """Measure and write one result."""
    cases = trio.run(measure, seconds, clock=BoottimeClock())
    direct = cases["direct"]
    ratios = {
        f"{name} to direct, {percentile}": round(
            cases[name][percentile] / direct[percentile], 2
        )
        for name in ("local", "forwarded")
        for percentile in ("p50_us", "p99_us")
    }
    ratios |= {
        f"{name} processor time to the target's": round(
            sum(cases[name]["processor_us_per_request"])
            / direct["processor_us_per_request"][0],
            2,
        )
        for name in ("local", "forwarded")
    }
    write_result("latency", {"rate_per_s": RATE, "cases": cases, "ratios": ratios})
    print(ratios, flush=True)


if __name__ == "__main__":
    main(5.0 if "--quick" in sys.argv else SECONDS)
