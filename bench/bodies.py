"""Compares pynng messages and HTTP exchanges for sending bodies between processes.

Run as ``python bench/bodies.py``. A server process receives bodies and responds with
their size; this process sends them sequentially. For each size, the result holds the
time per body over HTTP as a ratio of the time over pynng, and the growth of the
server's peak memory.
"""

import re
import statistics
import subprocess
import sys
import time
from pathlib import Path

import defopt
import msgspec
import pynng
import trio
from result import Ok

from jujuberudder_clients import serve_http
from jujuberudder_targets import ConnectionPool, TargetRequest, exchange

BODY_SIZES_BYTES = (1024, 64 * 1024, 1024 * 1024, 16 * 1024 * 1024)
CHUNK_BYTES = 64 * 1024
ROUNDS = 5
BYTES_PER_ROUND = 16 * 1024 * 1024
MAX_BODIES_PER_ROUND = 100


async def app(scope, receive, send):
    """Respond with the size of the request body (an ASGI application)."""
    size, more_body = 0, True
    while more_body:
        message = await receive()
        size += len(message["body"])
        more_body = message["more_body"]
    body = b"%d" % size
    headers = [(b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def serve():
    """Serve both protocols and print the HTTP and the pynng address."""
    with pynng.Rep0(recv_max_size=0) as socket:
        socket.listen("tcp://127.0.0.1:0")
        async with trio.open_nursery() as nursery:
            http_address = await nursery.start(
                serve_http, app, "127.0.0.1:0", trio.Event()
            )
            pynng_address = str(socket.listeners[0].local_address)
            print(http_address, pynng_address, flush=True)
            while True:
                body = await socket.arecv()
                await socket.asend(b"%d" % len(body))


def memory_kib(pid, field="VmHWM"):
    """Return a memory field of a process, by default its peak resident memory."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(rf"{field}:\s+(\d+)", text)[1])


async def send_over_http(pool, address, size):
    """Send a body in chunks."""

    async def chunks():
        for start in range(0, size, CHUNK_BYTES):
            yield b"x" * min(CHUNK_BYTES, size - start)

    headers = [(b"host", b"a"), (b"content-length", b"%d" % size)]
    request = TargetRequest(
        address, b"PUT", b"/", chunks(), lambda: Ok(headers), size <= CHUNK_BYTES
    )
    async with exchange(pool, request, "bench") as response:
        body = b"".join([chunk async for chunk in response.ok_value.body])
    assert int(body) == size


async def send_over_pynng(socket, size):
    """Send a body as one message."""
    await socket.asend(b"x" * size)
    assert int(await socket.arecv()) == size


async def mean_time_s(function, *args):
    """Return the mean time per body in seconds; the last argument is the size."""
    count = max(1, min(MAX_BODIES_PER_ROUND, BYTES_PER_ROUND // args[-1]))
    started = time.perf_counter()
    for _ in range(count):
        await function(*args)
    return (time.perf_counter() - started) / count


async def measure(protocol):
    """Start a server process and return the metrics of one protocol by body size."""
    command = [sys.executable, __file__, "--serving"]
    server = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        http_address, pynng_address = server.stdout.readline().split()
        rows = {}
        with pynng.Req0(recv_max_size=0) as socket:
            socket.dial(f"tcp://{pynng_address.removeprefix('tcp://')}", block=True)
            pool = ConnectionPool()
            send_args = (
                (send_over_http, pool, http_address)
                if protocol == "http"
                else (send_over_pynng, socket)
            )
            for size in BODY_SIZES_BYTES:
                await mean_time_s(*send_args, size)
                peak_before_kib = memory_kib(server.pid)
                seconds = [await mean_time_s(*send_args, size) for _ in range(ROUNDS)]
                rows[size] = {
                    "median_ms": statistics.median(seconds) * 1000,
                    "server_peak_kib": memory_kib(server.pid),
                    "server_peak_growth_kib": memory_kib(server.pid) - peak_before_kib,
                }
    finally:
        server.kill()
        server.wait()
    return rows


def bodies(*, output: str = "", serving: bool = False):
    """Compare pynng and HTTP.

    Parameters
    ----------
    output : str
        File for the raw figures, which are also printed; none if empty.
    serving : bool
        Run as the server process of a measurement.
    """
    if serving:
        trio.run(serve)
        return
    rows = {protocol: trio.run(measure, protocol) for protocol in ("pynng", "http")}
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True
    ).stdout.strip()
    ratios = {
        size: rows["http"][size]["median_ms"] / rows["pynng"][size]["median_ms"]
        for size in BODY_SIZES_BYTES
    }
    result = {
        "commit": commit,
        "command": "python bench/bodies.py",
        "date": time.strftime("%Y-%m-%d"),
        "rows": {
            protocol: {str(s): r for s, r in by_size.items()}
            for protocol, by_size in rows.items()
        },
        "http_over_pynng": {str(size): ratio for size, ratio in ratios.items()},
    }
    text = msgspec.json.format(msgspec.json.encode(result), indent=1).decode()
    if output:
        Path(output).write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    defopt.run(bodies)
