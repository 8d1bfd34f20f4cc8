"""What the measures share: results as JSON with seed, commit and command."""

import json
import os
import subprocess
import sys
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from jujuberudder_standins import ProcessDeployment

RESULTS = Path(os.environ.get("BENCH_RESULTS", Path(__file__).with_name("results")))
SEED = 20261204
ZONES = ("dar-a", "dar-b", "dar-c")
READY_S = 120.0
# Above this load average per core, figures count as taken on a busy machine.
BUSY_LOAD = 0.3

JOBS = """\
service: jobs
routes: [{path_prefix: /jobs/}]
key: {source: path_segment, index: 1}
idempotent_methods: [GET]
deadline_ms: 10000
"""


def write_result(name, figures):
    """Write the figures of a measure and return the path of the file."""
    load = os.getloadavg()[0]
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{name}.json"
    content = {
        "measure": name,
        "command": " ".join([Path(sys.argv[0]).name, *sys.argv[1:]]),
        "commit": _commit(),
        "seed": SEED,
        "processors": os.cpu_count(),
        "load_average_after": round(load, 2),
        "busy_machine": load > BUSY_LOAD * os.cpu_count(),
        **figures,
    }
    path.write_text(json.dumps(content, indent=1) + "\n", encoding="utf-8")
    print(f"{name}: {path.name}", flush=True)
    return path


def _commit():
    command = ["git", "describe", "--always", "--dirty"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.stdout.strip()


@asynccontextmanager
async def deployed(places, sections, *, links="pairs", target_address=None):
    """Yield a deployment of node processes that hold their leases.

    Parameters
    ----------
    places : list of (str, str)
        Service and availability zone of each node.
    sections : dict of str to str
        Text by name.
    """
    with tempfile.TemporaryDirectory(prefix="jujuberudder-bench-") as folder:
        async with trio.open_nursery() as nursery:
            deployment = ProcessDeployment("bench", nursery, folder, SEED, links)
            try:
                for name, text in sections.items():
                    deployment.publish(name, text)
                await deployment.prepare(places, target_address=target_address)
                for name in deployment.members:
                    deployment.start(name)
                with trio.fail_after(READY_S):
                    await deployment.wait_ready()
                yield deployment
            finally:
                deployment.close()
            nursery.cancel_scope.cancel()


async def probe(address, path, deadline_ms=10_000):
    """Send one GET on a connection of its own; return whether it was completed.

    A pool of connections would make probes wait for each other.
    """
    host, _, port = address.rpartition(":")
    head = (
        f"GET {path} HTTP/1.1\r\nHost: bench\r\nConnection: close\r\n"
        f"Jujuberudder-Deadline: {deadline_ms}\r\n\r\n"
    )
    received = b""
    with trio.move_on_after(deadline_ms / 1000 + 1):
        try:
            async with await trio.open_tcp_stream(host, int(port)) as stream:
                await stream.send_all(head.encode())
                async for data in stream:
                    received += data
        except OSError:
            return False
        except trio.BrokenResourceError:
            return False
    return b"jujuberudder-outcome: completed" in received.lower()


@asynccontextmanager
async def target_process(host, work_s=0.0):
    """Yield the address and process id of a target of its own."""
    command = [sys.executable, "-m", "jujuberudder_standins.target", "bench"]
    command += ["--address", f"{host}:0", "--work-s", str(work_s)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        line = await trio.to_thread.run_sync(process.stdout.readline)
        yield line.split()[-1], process.pid
    finally:
        process.kill()
        process.wait()
