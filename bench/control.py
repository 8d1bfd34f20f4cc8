"""Measures the control cost per node as nodes, shards and sections increase."""

import sys
from itertools import cycle, islice

import trio
from common import (
    READY_TIMEOUT_S,
    ZONES,
    running_deployment,
    target_process,
    write_result,
)

from jujuberudder_core import BoottimeClock
from jujuberudder_standins import memory_bytes, processor_s

NODE_COUNTS = (3, 9, 27, 81)
SHARD_BIT_COUNTS = (9,)
SECTION_COUNTS = (300,)
NODES_PER_SERVICE = 9
# Shards are split and moved at first; the measurement starts once the log has received
# no append for QUIET_PERIOD_S, or at the latest after QUIET_TIMEOUT_S.
QUIET_PERIOD_S, QUIET_TIMEOUT_S, MEASURE_S = 5.0, 45.0, 12.0
SECTION_TEMPLATE = """\
service: {name}
routes: [{{path_prefix: /{name}/}}]
key: {{source: path_segment, index: 1}}
initial_shard_bits: {bits}
"""


async def measure(nodes, bits=5, extra_sections=0):
    """Return the mean cost per node of an idle deployment.

    Parameters
    ----------
    nodes : int
    bits : int
        Each service starts with ``2**bits`` shards.
    extra_sections : int
        Number of sections of services without nodes.
    """
    services = [f"jobs{number // NODES_PER_SERVICE}" for number in range(nodes)]
    node_specs = list(zip(services, islice(cycle(ZONES), nodes)))
    names = set(services) | {f"other{number}" for number in range(extra_sections)}
    sections = {name: SECTION_TEMPLATE.format(name=name, bits=bits) for name in names}
    async with target_process("127.0.0.1") as (target, _):
        async with running_deployment(
            node_specs, sections, links="shared", target_address=target
        ) as deployment:
            quiet = await _wait_until_quiet(deployment.log)
            before = _read_counters(deployment)
            started = trio.current_time()
            await trio.sleep(MEASURE_S)
            seconds = trio.current_time() - started
            after = _read_counters(deployment)
    deltas = {name: after[name] - before[name] for name in after}
    memory = after["memory_bytes"]
    return {
        "nodes": nodes,
        "quiet": quiet,
        "shards_per_service": 2**bits,
        "sections": len(names),
        "processor_percent": round(100 * deltas["processor_s"] / seconds / nodes, 3),
        "control_bytes_per_s": round(deltas["control_bytes"] / seconds / nodes, 1),
        "log_bytes_per_s": round(deltas["log_bytes"] / seconds / nodes, 1),
        "memory_mb": round(memory / nodes / 1e6, 2),
        "appends_per_s": round(deltas["appends"] / seconds, 3),
    }


async def _wait_until_quiet(log):
    """Wait until the log receives no append for ``QUIET_PERIOD_S``.

    Returns
    -------
    quiet : bool
        False if appends continue for ``QUIET_TIMEOUT_S``.
    """
    with trio.move_on_after(QUIET_TIMEOUT_S):
        appends = None
        while appends != log.appends:
            appends = log.appends
            await trio.sleep(QUIET_PERIOD_S)
        return True
    return False


def _read_counters(deployment):
    names = list(deployment.members)
    network = deployment.network
    pids = [deployment.pid(name) for name in names]
    paths = network.between(names, ["any"])
    return {
        "processor_s": sum(map(processor_s, pids)),
        "memory_bytes": sum(map(memory_bytes, pids)),
        "control_bytes": sum(path.forwarded_bytes for path in paths),
        "log_bytes": sum(
            path.forwarded_bytes for path in network.between(names, ["log"])
        ),
        "appends": deployment.log.appends,
    }


def main(nodes=NODE_COUNTS, bits=SHARD_BIT_COUNTS, sections=SECTION_COUNTS):
    """Measure the cost over shards, sections and nodes and write one result."""
    rows = {"nodes": [], "shards": [], "sections": []}
    for number in bits:
        rows["shards"].append(_run_measurement(NODES_PER_SERVICE, number))
    for number in sections:
        rows["sections"].append(_run_measurement(NODES_PER_SERVICE, 5, number))
    for number in nodes:
        rows["nodes"].append(_run_measurement(number))
    limits = {"processor_percent": 4, "bytes_per_s": 3000, "memory_mb": 32}
    write_result("control", {"measured_s": MEASURE_S, "limits": limits, **rows})


def _run_measurement(*args):
    try:
        row = trio.run(measure, *args, clock=BoottimeClock())
    except* trio.TooSlowError:
        row = {
            "nodes": args[0],
            "failed": f"not all held a lease after {READY_TIMEOUT_S} s",
        }
    print(row, flush=True)
    return row


if __name__ == "__main__":
    main(*([(3, 9), (), ()] if "--quick" in sys.argv else []))
