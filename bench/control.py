"""Control cost of each node, and its slopes over nodes, shards and sections."""

import sys
from itertools import cycle, islice

import trio
from common import ZONES, deployed, target_process, write_result

from jujuberudder_core import BoottimeClock
from jujuberudder_standins import memory_bytes, processor_s

NODES = (3, 9, 27, 81)
SHARD_BITS = (3, 9)
SECTIONS = (30, 300)
PER_SERVICE = 9
SETTLE_S, MEASURE_S = 8.0, 12.0
SECTION = """\
service: {name}
routes: [{{path_prefix: /{name}/}}]
key: {{source: path_segment, index: 1}}
initial_shard_bits: {bits}
"""


async def measure(nodes, bits=5, further=0):
    """Return the cost of each node of an idle deployment.

    Parameters
    ----------
    nodes : int
    bits : int
        Each service starts with ``2**bits`` shards.
    further : int
        Sections of services without nodes.
    """
    services = [f"jobs{number // PER_SERVICE}" for number in range(nodes)]
    places = list(zip(services, islice(cycle(ZONES), nodes)))
    names = set(services) | {f"other{number}" for number in range(further)}
    sections = {name: SECTION.format(name=name, bits=bits) for name in names}
    async with target_process("127.0.0.1") as (target, _):
        async with deployed(
            places, sections, links="shared", target_address=target
        ) as deployment:
            await trio.sleep(SETTLE_S)
            before = _counts(deployment)
            started = trio.current_time()
            await trio.sleep(MEASURE_S)
            seconds = trio.current_time() - started
            after = _counts(deployment)
    spent = {name: after[name] - before[name] for name in after}
    memory = after["memory_bytes"]
    return {
        "nodes": nodes,
        "shards_per_service": 2**bits,
        "sections": len(names),
        "processor_percent": round(100 * spent["processor_s"] / seconds / nodes, 3),
        "control_bytes_per_s": round(spent["control_bytes"] / seconds / nodes, 1),
        "log_bytes_per_s": round(spent["log_bytes"] / seconds / nodes, 1),
        "memory_mb": round(memory / nodes / 1e6, 2),
        "appends_per_s": round(spent["appends"] / seconds, 3),
    }


def _counts(deployment):
    names = list(deployment.members)
    network = deployment.network
    pids = [deployment.pid(name) for name in names]
    links = network.between(names, ["any"])
    return {
        "processor_s": sum(map(processor_s, pids)),
        "memory_bytes": sum(map(memory_bytes, pids)),
        "control_bytes": sum(path.carried for path in links),
        "log_bytes": sum(p.carried for p in network.between(names, ["log"])),
        "appends": deployment.log.appends,
    }


def main(nodes=NODES, bits=SHARD_BITS, sections=SECTIONS):
    """Measure the slopes and write one result."""
    rows = {"nodes": [], "shards": [], "sections": []}
    for number in bits:
        rows["shards"].append(_measure(PER_SERVICE, number))
    for number in sections:
        rows["sections"].append(_measure(PER_SERVICE, 5, number))
    for number in nodes:
        rows["nodes"].append(_measure(number))
    limits = {"processor_percent": 4, "bytes_per_s": 3000, "memory_mb": 32}
    write_result("control", {"measured_s": MEASURE_S, "limits": limits, **rows})


def _measure(*args):
    row = trio.run(measure, *args, clock=BoottimeClock())
    print(row, flush=True)
    return row


if __name__ == "__main__":
    main(*([(3, 9), (), ()] if "--quick" in sys.argv else []))
