"""Runs a fault under load on node processes and notes what every side recorded."""

import random
import tempfile
from typing import NamedTuple

import trio

from ._audit import Violations, assignments, audit, lost_assignments
from ._load import Client
from ._processes import LOG, ProcessDeployment
from ._target import TargetStandin

ZONES = ("dar-a", "dar-b", "dar-c")
SERVICES = ("jobs", "dispatch")
KEYS = 12
VICTIM, ITS_ZONE = "jobs-dar-b", "dar-b"
DRAINED = "jobs-dar-c"
BEFORE_S, FAULT_S = 1.0, 3.0
WORKERS, PAUSE_S = 4, 0.04
WATCH_S = 0.2
WORK_S, LONG_WORK_S = 0.005, 0.4
# A target that leaves gets no new work after this time.
DRAIN_S = 2.0
AFTER_DRAIN_S = 2.0
# Outcomes must follow at some time; nothing is measured against this bound.
EVENTUALLY_S = 40.0
CLIENT_TIMEOUT_S = 5.0
JOBS = """\
service: jobs
routes: [{path_prefix: /jobs/}]
key: {source: path_segment, index: 1}
idempotent_methods: [GET]
deadline_ms: 3000
initial_shard_bits: 3
"""
DISPATCH = """\
service: dispatch
routes: [{path_prefix: /dispatch/}]
idempotent_methods: [GET]
deadline_ms: 3000
"""


class Proof(NamedTuple):
    """What one run showed.

    Parameters
    ----------
    violations : Violations
    lost_assignments : int
        Assignments that a node reported and that the log does not hold.
    served_again : bool
        Whether every key was served after the faults ended.
    agreed : bool
        Whether all nodes came to report the assignments of the log.
    reverted : int
        Times that a node reported a lower section version than before.
    in_force : bool
        Whether the section published during the fault came into force everywhere.
    cut_off : int
        Requests that ran on a target and were not answered.
    exits : dict of str to int
        Exit codes of nodes that were asked to leave.
    outcomes : dict of str to int
        Requests by what the client was told.
    folder : str
        Of the nodes' log lines.
    """

    violations: Violations
    lost_assignments: int
    served_again: bool
    agreed: bool
    reverted: int
    in_force: bool
    cut_off: int
    exits: dict
    outcomes: dict
    folder: str


class Drained(NamedTuple):
    """What a run with a drained target showed.

    Parameters
    ----------
    in_force : bool
        Whether the line came into force on all nodes.
    before : int
        Requests that the target ran before.
    late : int
        Requests that it started 2 s after the line was in force everywhere.
    folder : str
        Of the nodes' log lines.
    """

    in_force: bool
    before: int
    late: int
    folder: str


class _Run:
    """State of a run."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.client = Client(CLIENT_TIMEOUT_S)
        self.rng = random.Random(seed)
        self.reported = set()
        self.versions = {}
        self.reverted = 0
        self.exits = {}
        self.avoided = set()

    def address(self):
        """Return the client address of a random node that is up."""
        running = [n for n in self.deployment.running if n not in self.avoided]
        name = self.rng.choice(running or list(self.deployment.members))
        return self.deployment.members[name].addresses.client


async def _no_fault(run):
    await trio.lowlevel.checkpoint()


async def _kill(run, name=VICTIM):
    run.deployment.kill(name)
    await trio.sleep(FAULT_S)
    run.deployment.start(name)


async def _freeze(run, seconds=FAULT_S):
    run.deployment.freeze(VICTIM)
    await trio.sleep(seconds)
    run.deployment.resume(VICTIM)


async def _pause(run):
    await _freeze(run, seconds=1.2)


async def _short_pauses(run):
    for _ in range(3):
        await _freeze(run, seconds=0.6)
        await trio.sleep(0.4)


async def _cut(run, paths):
    for path in paths:
        path.cut()
    await trio.sleep(FAULT_S)
    for path in paths:
        path.heal()


def _others(run):
    return [n for n in run.deployment.members if n != VICTIM] + [LOG]


async def _cut_out(run):
    await _cut(run, run.deployment.network.paths([VICTIM], _others(run)))


async def _cut_in(run):
    await _cut(run, run.deployment.network.paths(_others(run), [VICTIM]))


async def _cut_both(run):
    await _cut(run, run.deployment.network.between([VICTIM], _others(run)))


async def _cut_from_nodes(run):
    nodes = [name for name in _others(run) if name != LOG]
    await _cut(run, run.deployment.network.between([VICTIM], nodes))


async def _cut_from_log(run):
    await _cut(run, run.deployment.network.between([VICTIM], [LOG]))


async def _cut_pair(run):
    other = "jobs-dar-c"
    await _cut(run, run.deployment.network.between([VICTIM], [other]))


def _between_zones(run):
    groups = [run.deployment.zone(zone) for zone in ZONES]
    network = run.deployment.network
    pairs = [(a, b) for a in groups for b in groups if a != b]
    return [path for a, b in pairs for path in network.paths(a, b)]


async def _lossy(run):
    for path in _between_zones(run):
        path.delay_s, path.jitter_s = 0.004, 0.004
        path.bytes_per_s = 256 * 1024
        path.stall_share, path.reset_share = 0.05, 0.01
    await trio.sleep(FAULT_S)
    run.deployment.network.heal()


async def _answers_lost(run):
    for path in _between_zones(run):
        path.lose_answers = 2
    await trio.sleep(FAULT_S)
    run.deployment.network.heal()


async def _cut_zone(run):
    names = run.deployment.members
    inside = run.deployment.zone(ITS_ZONE)
    outside = [n for n in names if n not in inside] + [LOG]
    await _cut(run, run.deployment.network.between(inside, outside))


async def _log_down(run):
    run.deployment.log.down = True
    await trio.sleep(FAULT_S)
    run.deployment.log.down = False


async def _log_slow(run):
    run.deployment.log.delay_s = 0.5
    await trio.sleep(FAULT_S)
    run.deployment.log.delay_s = 0.0


async def _log_answer_lost(run):
    run.deployment.log.lose_answers = 5
    await trio.sleep(FAULT_S)
    run.deployment.log.lose_answers = 0


async def _log_stale(run):
    run.deployment.log.stale_reads = 200
    await trio.sleep(FAULT_S)
    run.deployment.log.stale_reads = 0


async def _retention(run):
    run.deployment.log.retain(5)
    await _kill(run)


async def _health_lies(run):
    run.deployment.members[VICTIM].target.up = False
    await trio.sleep(FAULT_S)
    run.deployment.members[VICTIM].target.up = True


async def _cold_start(run):
    """All nodes leave before the first one is started again."""
    for name in run.deployment.members:
        await _stop(run, name)
    for name in run.deployment.members:
        run.deployment.start(name)
    await run.deployment.wait_ready()
    run.avoided.clear()


async def _all_killed(run):
    """All nodes are lost at once, which is past what is tolerated without a word."""
    for name in run.deployment.running:
        run.deployment.kill(name)
    for name in run.deployment.members:
        run.deployment.start(name)
    await trio.sleep(FAULT_S)


async def _stop(run, name=VICTIM):
    run.avoided.add(name)
    run.exits[name] = await run.deployment.stop(name)


async def _graceful(run):
    await _stop(run)
    run.deployment.start(VICTIM)
    await run.deployment.wait_ready([VICTIM])
    run.avoided.clear()


async def _replaced(run):
    for name in run.deployment.members:
        await _stop(run, name)
        run.deployment.start(name)
        await run.deployment.wait_ready([name])
        run.avoided.clear()


async def _zone_lost(run):
    async with trio.open_nursery() as nursery:
        for name in run.deployment.zone(ITS_ZONE):
            nursery.start_soon(_kill, run, name)


async def _planner_killed(run):
    planners = run.deployment.fold().planners
    planner = planners["jobs"].planner if "jobs" in planners else None
    state = run.deployment.fold().incarnations.get(planner)
    await _kill(run, state.admit.node if state else VICTIM)


FAULTS = {
    "none": _no_fault,
    "kill -9": _kill,
    "freeze and return": _freeze,
    "pause past the lease": _pause,
    "short pauses": _short_pauses,
    "cut outwards": _cut_out,
    "cut inwards": _cut_in,
    "cut both ways": _cut_both,
    "cut from nodes": _cut_from_nodes,
    "cut from log": _cut_from_log,
    "cut between two": _cut_pair,
    "slow lossy zones": _lossy,
    "answers lost": _answers_lost,
    "zone cut": _cut_zone,
    "zone lost": _zone_lost,
    "log down": _log_down,
    "log slow": _log_slow,
    "log answer lost": _log_answer_lost,
    "log stale": _log_stale,
    "retention passed": _retention,
    "health lies": _health_lies,
    "cold start": _cold_start,
    "all killed": _all_killed,
    "graceful stop": _graceful,
    "all replaced": _replaced,
    "planner killed": _planner_killed,
}


async def run_proof(faults, seed):
    """Run faults under load.

    Parameters
    ----------
    faults : str
        Names in `FAULTS`, joined by " + "; they begin together.
    seed : int

    Returns
    -------
    proof : Proof
    """
    return await _deployed(_run, faults, seed, WORK_S)


async def run_drain(faults, seed):
    """Drain a target by a line in its section while faults happen.

    Returns
    -------
    drained : Drained
    """
    return await _deployed(_run_drain, faults, seed, WORK_S)


async def run_graceful(seed):
    """Ask a node to leave while requests are in flight that take long.

    Returns
    -------
    proof : Proof
    """
    return await _deployed(_run, "graceful stop", seed, LONG_WORK_S)


async def _deployed(run, faults, seed, work_s):
    folder = tempfile.mkdtemp(prefix="jujuberudder-proof-")

    def target(name):
        # Targets that check fences would hide two owners.
        return TargetStandin(name, checks_fences=False, work_s=work_s)

    async with trio.open_nursery() as nursery:
        deployment = ProcessDeployment("lango", nursery, folder, seed)
        try:
            await deployment.prepare([(s, z) for s in SERVICES for z in ZONES], target)
            result = await run(deployment, faults, seed, folder)
        finally:
            deployment.close()
        nursery.cancel_scope.cancel()
    return result


async def _started(deployment, seed):
    """Start all nodes and return the state of the run once all keys are served."""
    for name in deployment.members:
        deployment.start(name)
    with trio.fail_after(EVENTUALLY_S):
        await deployment.wait_ready()
    run = _Run(deployment, seed)
    await _serve_all(run)
    return run


async def _inject(run, faults):
    async with trio.open_nursery() as nursery:
        for fault in faults.split(" + "):
            nursery.start_soon(FAULTS[fault], run)


async def _run_drain(deployment, faults, seed, folder):
    version = deployment.publish("jobs", JOBS)
    deployment.publish("dispatch", DISPATCH)
    run = await _started(deployment, seed)
    target = deployment.members[DRAINED].target
    async with trio.open_nursery() as nursery:
        stop = trio.Event()
        for _ in range(WORKERS):
            nursery.start_soon(_work, run, stop)
        with trio.move_on_after(EVENTUALLY_S):
            while not target.runs:
                await trio.sleep(PAUSE_S)
        nursery.start_soon(_inject, run, faults)
        before = len(target.runs)
        text = JOBS + f"drain: [{DRAINED}]\n"
        version = deployment.publish("jobs", text, version)
        in_force = await _in_force(run, version, "jobs")
        await trio.sleep(DRAIN_S)
        since = trio.current_time()
        await trio.sleep(AFTER_DRAIN_S)
        stop.set()
    late = sum(one.started >= since for one in target.runs)
    return Drained(in_force, before, late, folder)


async def _run(deployment, faults, seed, folder):
    deployment.publish("jobs", JOBS)
    version = deployment.publish("dispatch", DISPATCH)
    run = await _started(deployment, seed)
    async with trio.open_nursery() as nursery:
        stop = trio.Event()
        nursery.start_soon(_watch, run, stop)
        for _ in range(WORKERS):
            nursery.start_soon(_work, run, stop)
        await trio.sleep(BEFORE_S)
        async with trio.open_nursery() as injected:
            injected.start_soon(_inject, run, faults)
            await trio.sleep(FAULT_S / 2)
            text = DISPATCH + "queue: 90\n"
            version = deployment.publish("dispatch", text, version)
        served_again = await _serve_all(run)
        in_force = await _in_force(run, version, "dispatch")
        agreed = await _agree(run)
        stop.set()
    return _proof(run, served_again, in_force, agreed, folder)


async def _work(run, stop):
    while not stop.is_set():
        service = run.rng.choice(SERVICES)
        key = run.rng.randrange(KEYS)
        method = run.rng.choice(("POST", "POST", "GET"))
        body = run.rng.randbytes(200) if method == "POST" else b""
        path = f"/{service}/{key}"
        await run.client.send(run.address(), method, path, body, method == "GET")
        await trio.sleep(PAUSE_S)


async def _watch(run, stop):
    """Note what nodes report of assignments and section versions."""
    while not stop.is_set():
        for name in run.deployment.running:
            owners = await run.deployment.view(name, "/v1/owners")
            run.reported |= _reported(owners or {})
            status = await run.deployment.status(name)
            if status:
                _note_versions(run, name, status)
        await trio.sleep(WATCH_S)


def _reported(owners):
    return {
        (service, prefix, shard["epoch"], shard["owner"])
        for service, shards in owners.items()
        for prefix, shard in shards.items()
        if shard["owner"]
    }


def _note_versions(run, name, status):
    pid = run.deployment.pid(name)
    for section, version in status["sections"].items():
        before = run.versions.get((pid, section), 0)
        run.reverted += version < before
        run.versions[pid, section] = version


async def _serve_all(run):
    """Return whether every key is served by some node in the end."""
    with trio.move_on_after(EVENTUALLY_S):
        for key in range(KEYS):
            path = f"/jobs/{key}"
            while True:
                told = await run.client.send(run.address(), "GET", path, b"", True)
                if told.outcome == "completed":
                    break
                await trio.sleep(PAUSE_S)
        return True
    return False


async def _in_force(run, version, section):
    with trio.move_on_after(EVENTUALLY_S):
        for name in run.deployment.members:
            while True:
                status = await run.deployment.status(name)
                if status and status["sections"].get(section) == version:
                    break
                await trio.sleep(WATCH_S)
        return True
    return False


async def _agree(run):
    """Return whether all nodes report the assignments of the log in the end."""
    with trio.move_on_after(EVENTUALLY_S):
        while not await _agree_now(run):
            await trio.sleep(WATCH_S)
        return True
    return False


async def _agree_now(run):
    expected = assignments(run.deployment.fold())
    for name in run.deployment.members:
        owners = await run.deployment.view(name, "/v1/owners")
        if owners is None or _reported(owners) != expected:
            return False
    return bool(expected)


def _proof(run, served_again, in_force, agreed, folder):
    deployment = run.deployment
    runs = [r for m in deployment.members.values() for r in m.target.runs]
    told = run.client.told
    ran = {one.request for one in runs}
    outcomes = [one.outcome for one in told]
    return Proof(
        audit(runs, told),
        len(lost_assignments(run.reported, deployment.history)),
        served_again,
        agreed,
        run.reverted,
        in_force,
        sum(one.request in ran and one.outcome != "completed" for one in told),
        run.exits,
        {kind: outcomes.count(kind) for kind in sorted(set(outcomes))},
        folder,
    )
