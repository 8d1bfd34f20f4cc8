"""Measures latency added to a direct call and requests/s per core, open loop."""

import sys

import httpcore
import trio
from common import JOBS_SECTION, running_deployment, target_process, write_result
from hdrh.histogram import HdrHistogram

from jujuberudder_core import BoottimeClock, hash_bits, prefix_of
from jujuberudder_standins import processor_s

RATE_PER_S, DURATION_S, WARM_UP_S = 40, 15.0, 3.0
LOWEST_LATENCY_US, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS = 1, 60_000_000, 3
NODE_SPECS = [("jobs", "dar-a"), ("jobs", "dar-b"), ("jobs", "dar-c")]


async def send_requests(address, path, seconds, rate=RATE_PER_S):
    """Send requests at a fixed rate.

    Returns
    -------
    histogram : HdrHistogram
        Latencies in us, each measured from the intended start of its request.
    failed : int
        Number of responses with a status other than 200.
    """
    histogram = HdrHistogram(LOWEST_LATENCY_US, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)
    failed = 0
    pool = httpcore.AsyncConnectionPool(max_connections=32)

    async def send_request(due):
        nonlocal failed
        response = await pool.request("GET", f"http://{address}{path}")
        failed += response.status != 200
        histogram.record_value(int((trio.current_time() - due) * 1e6))

    async with pool:
        async with trio.open_nursery() as nursery:
            start = trio.current_time()
            for number in range(int(rate * seconds)):
                due = start + number / rate
                await trio.sleep_until(due)
                nursery.start_soon(send_request, due)
    return histogram, failed


async def _measure_path(address, path, pids, seconds):
    await send_requests(address, path, WARM_UP_S)
    before_times_s = [processor_s(pid) for pid in pids]
    histogram, failed = await send_requests(address, path, seconds)
    processor_times_s = [
        processor_s(pid) - before_s for pid, before_s in zip(pids, before_times_s)
    ]
    response_count = histogram.get_total_count()
    return {
        "requests": response_count,
        "failed": failed,
        **{
            f"p{p:g}_us": histogram.get_value_at_percentile(p)
            for p in (50, 90, 99, 100)
        },
        "processor_us_per_request": [
            round(1e6 * s / response_count) for s in processor_times_s
        ],
        "requests_per_s_and_core": round(response_count / sum(processor_times_s))
        if sum(processor_times_s)
        else None,
    }


async def measure(seconds):
    """Return the metrics of direct, local and forwarded requests."""
    async with target_process("127.0.0.1") as (target, target_pid):
        async with running_deployment(
            NODE_SPECS, {"jobs": JOBS_SECTION}, links="none", target_address=target
        ) as deployment:
            key, owner = await _wait_settled_owner(deployment)
            other_node = next(name for name in deployment.members if name != owner)
            path = f"/jobs/{key}"
            client_addresses = {
                n: m.addresses.client for n, m in deployment.members.items()
            }
            pids = {name: deployment.pid(name) for name in client_addresses}
            return {
                "direct": await _measure_path(target, path, [target_pid], seconds),
                "local": await _measure_path(
                    client_addresses[owner], path, [pids[owner]], seconds
                ),
                "forwarded": await _measure_path(
                    client_addresses[other_node],
                    path,
                    [pids[other_node], pids[owner]],
                    seconds,
                ),
            }


async def _wait_settled_owner(deployment):
    """Wait until every shard has an owner and none moves; return a key and its node."""
    while True:
        ownership = deployment.fold()
        shards = ownership.shards("jobs")
        if shards and all(s.owner and not s.destination for s in shards.values()):
            owner = shards[prefix_of(hash_bits("gate-1"), shards)].owner
            return "gate-1", ownership.incarnations[owner].admit.node
        await trio.sleep(0.1)


def main(seconds=DURATION_S):
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
    write_result(
        "latency", {"rate_per_s": RATE_PER_S, "cases": cases, "ratios": ratios}
    )
    print(ratios, flush=True)


if __name__ == "__main__":
    main(5.0 if "--quick" in sys.argv else DURATION_S)
