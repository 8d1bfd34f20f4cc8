"""Shared helpers of the benchmarks: deployments, probes and result files.

Each result is a JSON file with the seed, the commit and the command of the run.
"""

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
READY_TIMEOUT_S = 120.0
# Results are marked as taken on a busy machine above this load average per core.
BUSY_LOAD_PER_CORE = 0.3

JOBS_SECTION = """\
service: jobs
routes: [{path_prefix: /jobs/}]
key: {source: path_segment, index: 1}
idempotent_methods: [GET]
deadline_ms: 10000
"""


def write_result(name, metrics):
    """Write the result file of a benchmark.

    Parameters
    ----------
    name : str
        Stem of the file name.
    metrics : dict
        Added to the result; replaces entries of the same name.

    Returns
    -------
    path : Path
    """
    load_average = os.getloadavg()[0]
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{name}.json"
    content = {
        "measure": name,
        "command": " ".join([Path(sys.argv[0]).name, *sys.argv[1:]]),
        "commit": _git_describe(),
        "seed": SEED,
        "processors": os.cpu_count(),
        "load_average_after": round(load_average, 2),
        "busy_machine": load_average > BUSY_LOAD_PER_CORE * os.cpu_count(),
        **metrics,
    }
    path.write_text(json.dumps(content, indent=1) + "\n", encoding="utf-8")
    print(f"{name}: {path.name}", flush=True)
    return path


def _git_describe():
    command = ["git", "describe", "--always", "--dirty"]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    return completed.stdout.strip()


@asynccontextmanager
async def running_deployment(
    node_specs, sections, *, links="pairs", target_address=None
):
    """Start a deployment of node processes and yield it once all hold their leases.

    Parameters
    ----------
    node_specs : list of (str, str)
        Service and availability zone of each node.
    sections : dict of str to str
        Section text by name.
    links : str
        Proxies between the nodes: "pairs", "shared" or "none", as for
        ``ProcessDeployment``.
    target_address : str or None
        Address of the target of all nodes.
    """
    with tempfile.TemporaryDirectory(prefix="jujuberudder-bench-") as folder:
        async with trio.open_nursery() as nursery:
            deployment = ProcessDeployment("bench", nursery, folder, SEED, links)
            try:
                for name, text in sections.items():
                    deployment.publish(name, text)
                await deployment.prepare(node_specs, target_address=target_address)
                for name in deployment.members:
                    deployment.start(name)
                with trio.fail_after(READY_TIMEOUT_S):
                    await deployment.wait_ready()
                yield deployment
            finally:
                deployment.close()
            nursery.cancel_scope.cancel()


async def probe(address, path, deadline_ms=10_000):
    """Send one GET on a new connection and return whether it was completed.

    With a connection pool, probes would wait for each other.
    """
    host, _, port = address.rpartition(":")
    request = (
        f"GET {path} HTTP/1.1\r\nHost: bench\r\nConnection: close\r\n"
        f"Jujuberudder-Deadline: {deadline_ms}\r\n\r\n"
    )
    response = b""
    with trio.move_on_after(deadline_ms / 1000 + 1):
        try:
            async with await trio.open_tcp_stream(host, int(port)) as stream:
                await stream.send_all(request.encode())
                async for data in stream:
                    response += data
        except OSError:
            return False
        except trio.BrokenResourceError:
            return False
    return b"jujuberudder-outcome: completed" in response.lower()


@asynccontextmanager
async def target_process(host, work_s=0.0):
    """Run a separate target process and yield its address and process ID."""
    command = [sys.executable, "-m", "jujuberudder_standins.target", "bench"]
    command += ["--address", f"{host}:0", "--work-s", str(work_s)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        line = await trio.to_thread.run_sync(process.stdout.readline)
        yield line.split()[-1], process.pid
    finally:
        process.kill()
        process.wait()
