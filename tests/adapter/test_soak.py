"""The soak: its checks, its schedule, and short runs of it."""

import os
import random
import signal
import socket
import subprocess
import sys
from typing import NamedTuple

import pytest
import trio
import trio.testing

from jujuberudder_emulator import (
    Deployment,
    Response,
    Run,
    _soak_clients,
    free_addresses,
)
from jujuberudder_emulator._checks import (
    Disturbance,
    Evacuation,
    contradicted_responses,
    late_arrivals,
    lost_requests,
    overlapping_owners,
    overrun_targets,
)
from jujuberudder_emulator._soak_clients import Attempt, KeptClient
from jujuberudder_emulator._soak_faults import FAULTS, make_schedule
from jujuberudder_emulator._soak_log import LogPipe
from jujuberudder_emulator._target import Arrival
from jujuberudder_emulator.soak import has_handler, run

# Seed, seconds and number of VMs of a run, and its purpose. A seed that failed stays
# here with its cause.
RUNS = [
    (1, 8.0, 4, "the usual faults in sequence"),
    # A node whose log pipe was full stood still in the write of a log line.
    (37029, 10.0, 6, "a log that is not read for 6 s stops no request"),
]


class VM(NamedTuple):
    """The part of a VM that a client needs."""

    name: str
    client_address: str


def make_run(target, started, ended, fence, key=7, request_id="q1", body=b""):
    return Run(target, request_id, key, fence, started, ended, body)


@pytest.mark.parametrize(
    "runs, pairs",
    [
        ([make_run("a", 0, 2, 1), make_run("b", 3, 4, 2)], 0),
        ([make_run("a", 0, 2, 1), make_run("b", 1, 4, 2)], 1),
        ([make_run("a", 0, None, 1), make_run("b", 1, 4, 2)], 1),
        ([make_run("a", 0, 2, 2), make_run("b", 3, 4, 1)], 1),
        ([make_run("a", 0, 2, 2), make_run("b", 3, 4, 2)], 1),
        ([make_run("a", 0, 2, 1), make_run("a", 1, 4, 1)], 0),
        ([make_run("a", 0, 9, 1), make_run("a", 1, 2, 1), make_run("b", 3, 4, 2)], 1),
        ([make_run("a", 0, 1, 6), make_run("a", 2, 3, 3), make_run("b", 4, 5, 4)], 1),
        (
            [
                make_run("a", 0, 9, 1),
                make_run("b", 10, 11, 2),
                make_run("c", 10.5, 12, 3),
            ],
            1,
        ),
        ([make_run("a", 0, 2, 1), make_run("b", 1, 4, 1, key=8)], 0),
        ([make_run("a", 0, 2, None), make_run("b", 1, 4, None)], 0),
    ],
)
def test_overlapping_owners(runs, pairs):
    """Guards against a check that misses two owners of a key at the same time."""
    assert len(overlapping_owners(runs)) == pairs


OK = Response(200, {}, b"done q1")


@pytest.mark.parametrize(
    "response, body, runs, kinds",
    [
        (OK, b"x", [make_run("a", 0, 1, None, None, body=b"x")], []),
        (OK, b"x", [make_run("a", 0, 1, None, None, body=b"y")], ["altered"]),
        (OK, b"x", [], ["altered"]),
        (
            Response(200, {}, b"done q2"), b"x",
            [make_run("a", 0, 1, None, None, body=b"x")], ["altered"],
        ),
        (Response(503, {}, b""), b"", [], []),
        (Response(503, {}, b""), b"", [make_run("a", 0, 1, 1)], ["refused"]),
        (Response(502, {}, b""), b"", [make_run("a", 0, 1, None, None)] * 2, ["twice"]),
        (Response(502, {}, b""), b"", [make_run("a", 0, 1, 1)] * 2, []),
    ],
)  # fmt: skip
def test_contradicted_responses(response, body, runs, kinds):
    """Guards against a check that misses a response that the runs contradict."""
    result = contradicted_responses([("q1", response, body)], runs)
    assert [kind for kind, _ in result] == kinds


def make_attempt(end="closed", sent=10.1, ended=11.0):
    return Attempt("vm-0", "q1", 10.0, sent, ended, end)


RUN = make_run("a", 10.2, 10.3, None, None)
OTHER_RUN = make_run("a", 10.2, 10.3, None, None, request_id="q2")


@pytest.mark.parametrize(
    "attempt, runs, kinds",
    [
        (make_attempt("answered"), [RUN], []),
        (make_attempt(), [RUN], ["lost"]),
        (make_attempt(), [], ["lost"]),
        (make_attempt(ended=10.2), [RUN], ["lost"]),
        (make_attempt(ended=10.2), [OTHER_RUN], []),
        (make_attempt(ended=10.29), [], []),
        (make_attempt(ended=10.31), [], ["lost"]),
        (make_attempt(sent=None), [], []),
        (make_attempt(sent=None), [RUN], ["lost"]),
        (make_attempt("given up", ended=14.0), [], ["unanswered"]),
        (make_attempt("given up", ended=14.0), [RUN], ["unanswered"]),
        (make_attempt("given up", sent=None, ended=14.0), [], ["unanswered"]),
    ],
)
def test_lost_requests(attempt, runs, kinds):
    """Guards against a check that misses a request left without an answer."""
    assert [kind for kind, _ in lost_requests([attempt], runs, [])] == kinds


@pytest.mark.parametrize(
    "disturbance, excused",
    [
        (Disturbance("vm-0", 10.5, 10.5), True),
        (Disturbance("vm-0", 1.0, float("inf")), True),
        (Disturbance("vm-0", 1.0, 7.1), True),
        (Disturbance("vm-0", 1.0, 6.9), False),
        (Disturbance("vm-0", 11.1, 12.0), False),
        (Disturbance("vm-1", 10.5, 10.5), False),
    ],
)
def test_only_disturbances_of_its_vm_excuse_a_lost_request(disturbance, excused):
    """Guards against a lost request that a fault elsewhere or long ago excuses."""
    calm = Disturbance("vm-0", 1.0, 2.0)
    found = lost_requests([make_attempt()], [RUN], [calm, disturbance])
    assert bool(found) != excused


@pytest.mark.parametrize(
    "end, stall, excused",
    [
        ("given up", (9.0, 12.0), True),
        ("given up", (11.5, 13.6), True),
        ("given up", (9.0, 11.9), False),
        ("given up", (12.1, 15.0), False),
        ("given up", (9.0, 9.9), False),
        ("closed", (10.0, 14.0), False),
    ],
)
def test_stall_of_the_soak_excuses_only_requests_given_up(end, stall, excused):
    """Guards against a stall that excuses more than what it delayed."""
    attempt = make_attempt(end, ended=14.0)
    assert bool(lost_requests([attempt], [RUN], [], [stall])) != excused


HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"


@pytest.mark.parametrize(
    "response, closes, ends, used",
    [
        (HEAD + b"\r\ndone", False, ["answered"] * 3, [0, 0, 0]),
        (HEAD + b"Connection: close\r\n\r\ndone", False, ["answered"] * 3, [0, 1, 2]),
        (HEAD + b"\r\ndone", True, ["answered", "closed"] * 2, [0, 1]),
        (HEAD + b"\r\ndon", True, ["closed"] * 2, [0, 1]),
        (HEAD + b"\r\ndon", False, ["given up"] * 2, [0, 1]),
        (b"", True, ["closed"] * 2, [0, 1]),
        (b"", False, ["given up"] * 2, [0, 1]),
        (b"no response\r\n\r\n", False, ["closed"] * 2, [0, 1]),
    ],
)
async def test_kept_client_records_how_a_request_ended(
    response, closes, ends, used, nursery, monkeypatch
):
    """Guards against clients that leave early, or take part of an answer for all."""
    monkeypatch.setattr(_soak_clients, "DEADLINE_S", 0.1)
    monkeypatch.setattr(_soak_clients, "PATIENCE_S", 0.2)
    monkeypatch.setattr(_soak_clients, "MEAN_PAUSE_S", 0.01)
    monkeypatch.setattr(_soak_clients, "BOOKING_SHARE", 0.0)
    streams, arrivals, attempts, told = [], [], [], []

    async def serve(stream):
        streams.append(stream)
        async for _ in stream:
            arrivals.append(streams.index(stream))
            await stream.send_all(response)
            if closes:
                return

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    vm = VM("vm-0", f"127.0.0.1:{listeners[0].socket.getsockname()[1]}")
    client = KeptClient(
        vm, random.Random(1), lambda: f"q{len(attempts)}", ["/jobs/x"], [7], attempts,
        lambda *record: told.append(record),
    )  # fmt: skip
    nursery.start_soon(client.run)
    with trio.fail_after(5):
        while len(attempts) < len(ends) or len(arrivals) < len(used):
            await trio.sleep(0.01)
    nursery.cancel_scope.cancel()
    assert [attempt.end for attempt in attempts[: len(ends)]] == ends
    assert arrivals[: len(used)] == used
    if ends[0] == "answered":
        assert told[0] == ("q0", 200, b"done", b"")


async def test_blocked_log_stops_a_writer_and_loses_nothing(nursery, tmp_path):
    """Guards against a block that a writer does not notice, or that lasts."""
    pipe, path = LogPipe(tmp_path / "log"), tmp_path / "log"
    with pipe.open(nursery) as output:
        os.write(output.fileno(), b"before\n")
        await trio.testing.wait_all_tasks_blocked()
        nursery.start_soon(pipe.block, 0.5)
        await trio.testing.wait_all_tasks_blocked()
        started = trio.current_time()
        await trio.to_thread.run_sync(os.write, output.fileno(), b"after\n")
        assert 0.4 < trio.current_time() - started < 3.0
    with trio.fail_after(5):
        while not path.exists() or path.read_bytes() != b"before\nafter\n":
            await trio.sleep(0.01)


def test_schedule_is_reproducible_and_draws_all_faults():
    """Guards against schedules that differ under one seed, and faults never drawn."""
    names = ["a", "b", "c"]
    events = make_schedule(random.Random(5), names, 600.0)
    assert events == make_schedule(random.Random(5), names, 600.0)
    assert {event.fault for event in events} == set(FAULTS)
    assert events == sorted(events) and events[-1].at_s < 610.0


@pytest.mark.parametrize(
    "at, zone, excuses, found",
    [
        (14.9, "z", [], False), (15.1, "z", [], True), (15.1, "y", [], False),
        (20.1, "z", [], False), (15.1, "z", [("vm-0", 9.0, 11.0)], False),
        (15.1, "z", [("vm-1", 9.0, 11.0), ("vm-0", 1.0, 2.0)], True),
    ],
    ids=["in time", "late", "other zone", "after the end", "cut off", "others cut off"],
)  # fmt: skip
def test_requests_in_an_evacuated_zone(at, zone, excuses, found):
    """Guards against a check that overlooks requests in an evacuated zone."""
    arrival = Arrival(zone, "i", "q", at, 0, "vm-0")
    evacuation = Evacuation("z", 10.0, 20.0)
    excuses = [Disturbance(*excuse) for excuse in excuses]
    assert bool(late_arrivals([arrival], [evacuation], 5.0, excuses)) == found


@pytest.mark.parametrize(
    "cold, stalls, found",
    [(20, [], False), (21, [], True), (21, [(6.0, 9.5)], False), (21, [(1, 2)], True)],
)
def test_requests_at_a_cold_target(cold, stalls, found):
    """Guards against a check that overlooks a cold target with too many requests."""
    arrival = Arrival("z", "i", "q", 10.0, cold, "vm-0")
    assert bool(overrun_targets([arrival], 20.75, stalls)) == found


@pytest.mark.parametrize(
    "signals", [(signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM)], ids=str
)
def test_signals_during_the_imports(signals, tmp_path):
    """Guards against a node that a signal ends during its imports (seed 4, 25 s)."""

    async def send_signals():
        async with trio.open_nursery() as nursery:
            vm = Deployment(nursery).add("vm-0", "jobs")
            with open(tmp_path / "out", "wb") as output:
                process = vm.start_process(tmp_path, output)
            try:
                with trio.fail_after(30):
                    while not has_handler(process.pid, signal.SIGHUP):
                        await trio.sleep(0.001)
                    for signal_number in signals:
                        process.send_signal(signal_number)
                    code = await trio.to_thread.run_sync(process.wait)
            finally:
                process.kill()
            nursery.cancel_scope.cancel()
            return code

    assert trio.run(send_signals) == 0
    assert b"event=stop " in (tmp_path / "out").read_bytes()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_signals_at_the_end_of_a_stop(number, tmp_path):
    """Guards against a stopped node that a later signal ends (seed 37011, 10 s)."""
    output_path = tmp_path / "out"

    async def send_signals():
        async with trio.open_nursery() as nursery:
            vm = Deployment(nursery).add("vm-0", "jobs")
            with open(output_path, "wb") as output:
                process = vm.start_process(tmp_path, output)
            try:
                with trio.fail_after(30):
                    while not has_handler(process.pid, signal.SIGHUP):
                        await trio.sleep(0.001)
                    process.send_signal(signal.SIGTERM)
                    while b"event=stop " not in output_path.read_bytes():
                        await trio.sleep(0.001)
                    while process.poll() is None:
                        process.send_signal(number)
                        await trio.sleep(0.002)
            finally:
                process.kill()
            nursery.cancel_scope.cancel()
            return process.wait()

    assert trio.run(send_signals) == 0


@pytest.mark.parametrize("seed, seconds, vms, purpose", RUNS)
def test_soak_run(seed, seconds, vms, purpose, tmp_path):
    """Guards against violations by real node processes under faults from outside."""
    report = trio.run(run, seed, seconds, vms, tmp_path)
    assert report["broken"] == {}, purpose
    assert report["runs"] > 0


def test_two_processes_allocate_different_ports():
    """Guards against two concurrent processes that allocate the same ports.

    With shared ports a target of one run mistook the store of the other for its node
    (seed 125).
    """
    code = "from jujuberudder_emulator import _deployment as d; import sys;"
    code += "d._PORTS = iter(range(int(sys.argv[1]), 32000));"
    code += "print(d.free_addresses(1)[0], flush=True); sys.stdin.read()"
    address = free_addresses(1)[0]
    command = [sys.executable, "-c", code, address.rpartition(":")[2]]
    result = subprocess.run(
        command, input="", capture_output=True, text=True, timeout=60
    )
    assert result.stdout.strip() not in ("", address)
    server = socket.create_server(("127.0.0.1", int(address.rpartition(":")[2])))
    server.close()
