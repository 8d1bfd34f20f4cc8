"""Bodies between two processes: pynng messages against HTTP exchanges.

Run as ``python bench/bodies.py``. A server process takes bodies and answers with their
size; this process sends them one after the other. Reported per size: the time of a
body over HTTP as a ratio of that over pynng, and the growth of the server's memory.
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

SIZES = (1024, 64 * 1024, 1024 * 1024, 16 * 1024 * 1024)
STEP = 64 * 1024
ROUNDS = 5
BYTES_PER_ROUND = 16 * 1024 * 1024
MAX_PER_ROUND = 100


async def app(scope, receive, send):
    """Count a body."""
    size, more = 0, True
    while more:
        message = await receive()
        size += len(message["body"])
        more = message["more_body"]
    body = b"%d" % size
    headers = [(b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def serve():
    """Serve both protocols and print the addresses."""
    with pynng.Rep0(recv_max_size=0) as socket:
        socket.listen("tcp://127.0.0.1:0")
        async with trio.open_nursery() as nursery:
            http = await nursery.start(serve_http, app, "127.0.0.1:0", trio.Event())
            name = str(socket.listeners[0].local_address)
            print(http, name, flush=True)
            while True:
                body = await socket.arecv()
                await socket.asend(b"%d" % len(body))


def resident_kib(pid, field="VmHWM"):
    """Return a figure of a process's memory."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(rf"{field}:\s+(\d+)", text)[1])


async def over_http(pool, address, size):
    """Send a body in steps."""

    async def chunks():
        for start in range(0, size, STEP):
            yield b"x" * min(STEP, size - start)

    headers = [(b"host", b"a"), (b"content-length", b"%d" % size)]
    outgoing = TargetRequest(
        address, b"PUT", b"/", chunks(), lambda: Ok(headers), size <= STEP
    )
    async with exchange(pool, outgoing, "bench") as answer:
        body = b"".join([chunk async for chunk in answer.ok_value.body])
    assert int(body) == size


async def over_pynng(socket, size):
    """Send a body as one message."""
    await socket.asend(b"x" * size)
    assert int(await socket.arecv()) == size


async def timed(function, *args):
    """Return the mean seconds of one body."""
    number = max(1, min(MAX_PER_ROUND, BYTES_PER_ROUND // args[-1]))
    started = time.perf_counter()
    for _ in range(number):
        await function(*args)
    return (time.perf_counter() - started) / number


async def run(way):
    """Return rows of one way, with a server of its own."""
    command = [sys.executable, __file__, "--serving"]
    server = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        http, name = server.stdout.readline().split()
        rows = {}
        with pynng.Req0(recv_max_size=0) as socket:
            socket.dial(f"tcp://{name.removeprefix('tcp://')}", block=True)
            pool = ConnectionPool()
            call = (over_http, pool, http) if way == "http" else (over_pynng, socket)
            for size in SIZES:
                await timed(*call, size)
                before = resident_kib(server.pid)
                seconds = [await timed(*call, size) for _ in range(ROUNDS)]
                rows[size] = {
                    "median_ms": statistics.median(seconds) * 1000,
                    "server_peak_kib": resident_kib(server.pid),
                    "server_peak_growth_kib": resident_kib(server.pid) - before,
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
        File for the raw figures.
    serving : bool
        Run the server instead.
    """
    if serving:
        trio.run(serve)
        return
    rows = {way: trio.run(run, way) for way in ("pynng", "http")}
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True
    ).stdout.strip()
    ratios = {
        size: rows["http"][size]["median_ms"] / rows["pynng"][size]["median_ms"]
        for size in SIZES
    }
    result = {
        "commit": commit,
        "command": "python bench/bodies.py",
        "date": time.strftime("%Y-%m-%d"),
        "rows": {way: {str(s): r for s, r in by.items()} for way, by in rows.items()},
        "http_over_pynng": {str(size): ratio for size, ratio in ratios.items()},
    }
    text = msgspec.json.format(msgspec.json.encode(result), indent=1).decode()
    if output:
        Path(output).write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    defopt.run(bodies)
