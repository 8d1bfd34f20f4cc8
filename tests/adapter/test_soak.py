"""The soak: its checks, its schedule, and short runs of it."""

import random
import signal
import socket
import subprocess
import sys

import pytest
import trio

from jujuberudder_emulator import Deployment, Response, Run, free_addresses
from jujuberudder_emulator._checks import contradicted_responses, overlapping_owners
from jujuberudder_emulator._soak_faults import FAULTS, make_schedule
from jujuberudder_emulator.soak import has_handler, run

# Seed, seconds and VMs of a run, with what it guards against. A seed that failed stays
# here with its cause.
RUNS = [
    (1, 8.0, 4, "the usual faults, one after the other"),
]


def ran(target, started, ended, fence, key=7, request_id="q1", body=b""):
    return Run(target, request_id, key, fence, started, ended, body)


@pytest.mark.parametrize(
    "runs, found",
    [
        ([ran("a", 0, 2, 1), ran("b", 3, 4, 2)], 0),
        ([ran("a", 0, 2, 1), ran("b", 1, 4, 2)], 1),
        ([ran("a", 0, None, 1), ran("b", 1, 4, 2)], 1),
        ([ran("a", 0, 2, 2), ran("b", 3, 4, 1)], 1),
        ([ran("a", 0, 2, 2), ran("b", 3, 4, 2)], 1),
        ([ran("a", 0, 2, 1), ran("a", 1, 4, 1)], 0),
        ([ran("a", 0, 9, 1), ran("a", 1, 2, 1), ran("b", 3, 4, 2)], 1),
        ([ran("a", 0, 1, 6), ran("a", 2, 3, 3), ran("b", 4, 5, 4)], 1),
        ([ran("a", 0, 9, 1), ran("b", 10, 11, 2), ran("c", 10.5, 12, 3)], 1),
        ([ran("a", 0, 2, 1), ran("b", 1, 4, 1, key=8)], 0),
        ([ran("a", 0, 2, None), ran("b", 1, 4, None)], 0),
    ],
)
def test_overlapping_owners(runs, found):
    """Guards against a check that misses two owners of a key at once."""
    assert len(overlapping_owners(runs)) == found


OK = Response(200, {}, b"done q1")


@pytest.mark.parametrize(
    "answer, body, runs, kinds",
    [
        (OK, b"x", [ran("a", 0, 1, None, None, body=b"x")], []),
        (OK, b"x", [ran("a", 0, 1, None, None, body=b"y")], ["altered"]),
        (OK, b"x", [], ["altered"]),
        (
            Response(200, {}, b"done q2"), b"x",
            [ran("a", 0, 1, None, None, body=b"x")], ["altered"],
        ),
        (Response(503, {}, b""), b"", [], []),
        (Response(503, {}, b""), b"", [ran("a", 0, 1, 1)], ["refused"]),
        (Response(502, {}, b""), b"", [ran("a", 0, 1, None, None)] * 2, ["twice"]),
        (Response(502, {}, b""), b"", [ran("a", 0, 1, 1)] * 2, []),
    ],
)  # fmt: skip
def test_contradicted_responses(answer, body, runs, kinds):
    """Guards against a check that misses an answer that the runs contradict."""
    found = contradicted_responses([("q1", answer, body)], runs)
    assert [kind for kind, _ in found] == kinds


def test_schedule():
    """Guards against seeds that can't be played again, and faults never drawn."""
    names = ["a", "b", "c"]
    events = make_schedule(random.Random(5), names, 600.0)
    assert events == make_schedule(random.Random(5), names, 600.0)
    assert {event.fault for event in events} == set(FAULTS)
    assert events == sorted(events) and events[-1].at_s < 610.0


@pytest.mark.parametrize(
    "numbers", [(signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM)], ids=str
)
def test_early_signals(numbers, tmp_path):
    """Guards against a node that a signal ends while it imports (seed 4, 25 s)."""

    async def play():
        async with trio.open_nursery() as nursery:
            vm = Deployment(nursery).add("vm-0", "jobs")
            with open(tmp_path / "out", "wb") as output:
                process = vm.start_process(tmp_path, output)
            try:
                with trio.fail_after(30):
                    while not has_handler(process.pid, signal.SIGHUP):
                        await trio.sleep(0.001)
                    for number in numbers:
                        process.send_signal(number)
                    code = await trio.to_thread.run_sync(process.wait)
            finally:
                process.kill()
            nursery.cancel_scope.cancel()
            return code

    assert trio.run(play) == 0
    assert b"event=stop " in (tmp_path / "out").read_bytes()


@pytest.mark.parametrize("seed, seconds, vms, guards", RUNS)
def test_run(seed, seconds, vms, guards, tmp_path):
    """Guards against broken promises of real processes under faults from outside."""
    report = trio.run(run, seed, seconds, vms, tmp_path)
    assert report["broken"] == {}, guards
    assert report["runs"] > 0


def test_ports_of_two_processes():
    """Guards against two runs at once that give out the same ports.

    A target of one took the store of the other for its node (seed 125).
    """
    code = "from jujuberudder_emulator import _deployment as d; import sys;"
    code += "d._PORTS = iter(range(int(sys.argv[1]), 32000));"
    code += "print(d.free_addresses(1)[0], flush=True); sys.stdin.read()"
    mine = free_addresses(1)[0]
    command = [sys.executable, "-c", code, mine.rpartition(":")[2]]
    found = subprocess.run(
        command, input="", capture_output=True, text=True, timeout=60
    )
    assert found.stdout.strip() not in ("", mine)
    server = socket.create_server(("127.0.0.1", int(mine.rpartition(":")[2])))
    server.close()
