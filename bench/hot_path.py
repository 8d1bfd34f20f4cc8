"""Measures requests/s per core of a node and the latency it adds to a direct call.

Run as ``python bench/hot_path.py``. Requests over keep-alive connections go to the
target directly, through its node, and through another node that forwards them. The
cost is the CPU time of the nodes per request, which depends little on other load of
the machine.
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

CLOCK_TICKS_PER_S = 100
CONNECTIONS = 4
SECTION_TEXT = """\
service: jobs
routes: [{path_prefix: /jobs/}]
key: {source: path_segment, index: 1}
idempotent_methods: [GET]
"""
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def serve_connection(stream):
    """Send the same response to each request head."""
    async with stream:
        try:
            while await stream.receive_some(65536):
                await stream.send_all(OK_RESPONSE)
        except trio.BrokenResourceError:
            pass


async def start_target(nursery):
    """Start a target and return its address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, serve_connection, listeners)
    return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


async def send_requests(address, end_time, latencies):
    """Send requests sequentially on one connection until a time of the trio clock."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    count = 0
    while trio.current_time() < end_time:
        count += 1
        started = trio.current_time()
        await stream.send_all(b"GET /jobs/%d HTTP/1.1\r\nHost: a\r\n\r\n" % count)
        data = await stream.receive_some(65536)
        if b" 200 " not in data:
            raise RuntimeError(data)
        while not data.endswith(b"ok"):
            data += await stream.receive_some(65536)
        latencies.append(trio.current_time() - started)


def cpu_s(process):
    """Return the CPU time of a process in seconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")")[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


async def measure_path(address, processes, seconds):
    """Return the number of requests, the CPU time per request and the latencies."""
    latencies, cpu_before_s = [], sum(map(cpu_s, processes))
    async with trio.open_nursery() as nursery:
        end_time = trio.current_time() + seconds
        for _ in range(CONNECTIONS):
            nursery.start_soon(send_requests, address, end_time, latencies)
    cpu_used_s = sum(map(cpu_s, processes)) - cpu_before_s
    latencies.sort()
    return {
        "requests": len(latencies),
        "requests_per_core_s": len(latencies) / cpu_used_s if cpu_used_s else None,
        "cpu_us_per_request": cpu_used_s / len(latencies) * 1e6,
        "median_ms": latencies[len(latencies) // 2] * 1000,
        "p99_ms": latencies[int(len(latencies) * 0.99)] * 1000,
    }


async def measure_paths(seconds):
    """Start the target and the nodes and return the metrics of the three paths."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            log_service = LogStandin()
            log_address = await nursery.start(serve_app, log_service.app)
            section = records.Section(new_id(), "jobs", 0, SECTION_TEXT)
            log_service.put("lango.sections", encode_record(section))
            target = await start_target(nursery)
            nodes = [
                await start_node(
                    nursery, Path(folder), log_address, *service_and_zone, target
                )
                for service_and_zone in (("jobs", "dar-a"), ("dispatch", "dar-b"))
            ]
            # Warm-up; its results are discarded.
            for node in nodes:
                with trio.move_on_after(30):
                    await measure_path(node.client, [], 1.0)
            processes = [node.process for node in nodes]
            rows = {
                "direct": await measure_path(target, [], seconds),
                "owner": await measure_path(nodes[0].client, processes[:1], seconds),
                "forwarded": await measure_path(nodes[1].client, processes, seconds),
            }
            nursery.cancel_scope.cancel()
    return rows


def hot_path(*, seconds: float = 5.0, output: str = ""):
    """Measure the hot path.

    Parameters
    ----------
    seconds : float
        Duration in seconds for each path.
    output : str
        File for the raw figures, which are also printed; none if empty.
    """
    rows = trio.run(measure_paths, seconds)
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
