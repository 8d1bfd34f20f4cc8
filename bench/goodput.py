"""Measures the goodput of one target behind a node under increasing open-loop load.

Run as ``python bench/goodput.py --seed 1``. The target has 6 slots and takes 300 ms
per request, so its capacity is 20 requests/s. Requests have a deadline of 2 s.
"""

import random
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

SLOTS, WORK_S, DEADLINE_S = 6, 0.3, 2.0
CAPACITY = SLOTS / WORK_S
SECTION_TEXT = f"""\
service: jobs
routes: [{{path_prefix: /jobs/}}]
key: {{source: path_segment, index: 1}}
slots: {SLOTS}
queue: 100
call_slots: 0
"""
LOAD_FACTORS = (0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0)
WARM_UP_S = 6.0
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Target:
    """A target that limits its own concurrency; further requests wait inside it."""

    def __init__(self):
        self._slots = trio.CapacityLimiter(SLOTS)
        self.runs = 0

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled; the task starts with the address."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        task_status.started(f"127.0.0.1:{port}")
        await trio.serve_listeners(self._connection, listeners)

    async def _connection(self, stream):
        async with stream:
            try:
                while request := await stream.receive_some(65536):
                    if not request.startswith(b"GET /health"):
                        async with self._slots:
                            await trio.sleep(WORK_S)
                            self.runs += 1
                    await stream.send_all(OK_RESPONSE)
            except trio.BrokenResourceError:
                pass


async def send_request(address, number, results):
    """Send one request and record its outcome, latency and end."""
    host, _, port = address.rpartition(":")
    started = trio.current_time()
    outcome = "none"
    source = f"127.0.0.{1 + number % 20}"
    try:
        with trio.move_on_after(2 * DEADLINE_S):
            stream = await trio.open_tcp_stream(host, int(port), local_address=source)
            async with stream:
                request = (
                    f"POST /jobs/{number} HTTP/1.1\r\nHost: a\r\nContent-Length: 0"
                )
                request += (
                    f"\r\nJujuberudder-Deadline: {int(DEADLINE_S * 1000)}\r\n\r\n"
                )
                await stream.send_all(request.encode())
                response = await stream.receive_some(65536)
                for name in (b"completed", b"not-run", b"unknown"):
                    if b"outcome: " + name in response:
                        outcome = name.decode()
    except OSError:
        outcome = "not-run"
    ended = trio.current_time()
    results.append((outcome, ended - started, ended))


async def offer_load(address, load, seconds, rng):
    """Send requests with Poisson arrivals and return the metrics of their outcomes.

    Parameters
    ----------
    address : str
        Client address of the node.
    load : float
        Arrival rate as a share of ``CAPACITY``.
    seconds : float
        Duration of the arrivals.
    rng : random.Random
    """
    results = []
    started = due = trio.current_time()
    async with trio.open_nursery() as nursery:
        number = 0
        while due < started + seconds:
            due += rng.expovariate(load * CAPACITY)
            await trio.sleep_until(due)
            nursery.start_soon(send_request, address, number, results)
            number += 1
    completed_in_time = [
        ended
        for outcome, latency_s, ended in results
        if outcome == "completed" and latency_s <= DEADLINE_S
    ]
    # Idle slots serve the requests that end after the arrivals stop, so the goodput
    # leaves these out.
    completed_in_window = [
        ended for ended in completed_in_time if ended <= started + seconds
    ]
    refusal_latencies_s = sorted(s for outcome, s, _ in results if outcome == "not-run")
    outcomes = [outcome for outcome, _, _ in results]
    return {
        "load": load,
        "offered_per_s": len(results) / seconds,
        "goodput_per_s": len(completed_in_window) / seconds,
        "completed": outcomes.count("completed"),
        "completed_late": outcomes.count("completed") - len(completed_in_time),
        "not_run": outcomes.count("not-run"),
        "unknown": outcomes.count("unknown"),
        "no_answer": outcomes.count("none"),
        "refusal_median_ms": refusal_latencies_s[len(refusal_latencies_s) // 2] * 1000
        if refusal_latencies_s
        else None,
    }


async def measure(seed, seconds):
    """Start the node and the target and return one row per load factor."""
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            log_service, target = LogStandin(), Target()
            log_address = await nursery.start(serve_app, log_service.app)
            section = records.Section(new_id(), "jobs", 0, SECTION_TEXT)
            log_service.put("lango.sections", encode_record(section))
            address = await nursery.start(target.serve)
            node = await start_node(
                nursery, Path(folder), log_address, "jobs", "dar-a", address
            )
            await offer_load(node.client, 0.5, WARM_UP_S, rng)
            rows = [
                await offer_load(node.client, load, seconds, rng)
                for load in LOAD_FACTORS
            ]
            nursery.cancel_scope.cancel()
    return rows


def goodput(*, seed: int = 1, seconds: float = 10.0, output: str = ""):
    """Measure goodput under rising load.

    Parameters
    ----------
    seed : int
        Seed of the arrivals.
    seconds : float
        Duration in seconds for each load factor.
    output : str
        File for the raw figures, which are also printed; none if empty.
    """
    rows = trio.run(measure, seed, seconds)
    peak = max(row["goodput_per_s"] for row in rows)
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True
    ).stdout.strip()
    result = {
        "seed": seed,
        "commit": commit,
        "command": f"python bench/goodput.py --seed {seed} --seconds {seconds}",
        "date": time.strftime("%Y-%m-%d"),
        "rows": rows,
        "goodput_over_peak": {r["load"]: r["goodput_per_s"] / peak for r in rows},
    }
    text = msgspec.json.format(msgspec.json.encode(result), indent=1).decode()
    if output:
        Path(output).write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    defopt.run(goodput)
