"""Requests/s per core of a node, and the latency it adds to the direct call.

Run as ``python bench/hot_path.py``. Requests over keep-alive connections go to the
target directly, through its node, and through another node first. The cost is CPU time
of the nodes per request, so that a busy machine disturbs it little.
"""

import subprocess
import sys
import tempfile
import time
from pathlib import Path

import defopt
import msgspec
import trio

from jujuberudder_core import encode_record, new_id, records
from jujuberudder_standins import LogStandin, serve_app

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))
from processes import start_node  # noqa: E402

TICKS_PER_S = 100
CONNECTIONS = 4
SECTION = """\
service: jobs
routes: [{path_prefix: /jobs/}]
key: {source: path_segment, index: 1}
idempotent_methods: [GET]
"""
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def answer(stream):
    """Answer each head with the same bytes."""
    async with stream:
        try:
            while await stream.receive_some(65536):
                await stream.send_all(OK)
        except trio.BrokenResourceError:
            pass


async def start_target(nursery):
    """Start a target and return its address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, answer, listeners)
    return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


async def load(address, until, latencies):
    """Send one request after the other on one connection."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    number = 0
    while trio.current_time() < until:
        number += 1
        started = trio.current_time()
        await stream.send_all(b"GET /jobs/%d HTTP/1.1\r\nHost: a\r\n\r\n" % number)
        data = await stream.receive_some(65536)
        if b" 200 " not in data:
            raise RuntimeError(data)
        while not data.endswith(b"ok"):
            data += await stream.receive_some(65536)
        latencies.append(trio.current_time() - started)


def cpu_s(process):
    """Return the CPU time of a process."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")")[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def measure(address, processes, seconds):
    """Return requests, CPU time per request and latencies."""
    latencies, before = [], sum(map(cpu_s, processes))
    async with trio.open_nursery() as nursery:
        until = trio.current_time() + seconds
        for _ in range(CONNECTIONS):
            nursery.start_soon(load, address, until, latencies)
    used_s = sum(map(cpu_s, processes)) - before
    latencies.sort()
    return {
        "requests": len(latencies),
        "requests_per_core_s": len(latencies) / used_s if used_s else None,
        "cpu_us_per_request": used_s / len(latencies) * 1e6,
        "median_ms": latencies[len(latencies) // 2] * 1000,
        "p99_ms": latencies[int(len(latencies) * 0.99)] * 1000,
    }


async def run(seconds):
    """Return the figures of the three paths."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            log = LogStandin()
            log_address = await nursery.start(serve_app, log.app)
            section = records.Section(new_id(), "jobs", 0, SECTION)
            log.put("lango.sections", encode_record(section))
            target = await start_target(nursery)
            nodes = [
                await start_node(nursery, Path(folder), log_address, *one, target)
                for one in (("jobs", "dar-a"), ("dispatch", "dar-b"))
            ]
            for node in nodes:
                with trio.move_on_after(30):
                    await measure(node.client, [], 1.0)
            processes = [node.process for node in nodes]
            rows = {
                "direct": await measure(target, [], seconds),
                "owner": await measure(nodes[0].client, processes[:1], seconds),
                "forwarded": await measure(nodes[1].client, processes, seconds),
            }
            nursery.cancel_scope.cancel()
    return rows


def hot_path(*, seconds: float = 5.0, output: str = ""):
    """Measure the hot path.

    Parameters
    ----------
    seconds : float
        Per path.
    output : str
        File for the raw figures.
    """
    rows = trio.run(run, seconds)
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True
    ).stdout.strip()
    direct = rows["direct"]["median_ms"]
    result = {
        "commit": commit,
        "command": f"python bench/hot_path.py --seconds {seconds}",
        "date": time.strftime("%Y-%m-%d"),
        "rows": rows,
        "median_over_direct": {n: r["median_ms"] / direct for n, r in rows.items()},
    }
    text = msgspec.json.format(msgspec.json.encode(result), indent=1).decode()
    if output:
        Path(output).write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    defopt.run(hot_path)
