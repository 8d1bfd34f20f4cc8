"""Injects faults into node processes under load and audits the recorded requests."""

import random
import tempfile
from typing import NamedTuple

import trio

from ._audit import Violations, assignments, audit, lost_assignments
from ._load import Client
from ._processes import LOG_SERVICE, ProcessDeployment
from ._target import TargetStandin

ZONES = ("dar-a", "dar-b", "dar-c")
SERVICES = ("jobs", "dispatch")
KEYS = 12
VICTIM, VICTIM_ZONE = "jobs-dar-b", "dar-b"
DRAINED_TARGET = "jobs-dar-c"
WARM_UP_S, FAULT_S = 1.0, 3.0
WORKERS, REQUEST_INTERVAL_S = 4, 0.04
POLL_INTERVAL_S = 0.2
REQUEST_WORK_S, SLOW_REQUEST_WORK_S = 0.005, 0.4
# A drained target receives no new requests after this time.
DRAIN_S = 2.0
AFTER_DRAIN_S = 2.0
# Bound for outcomes that must follow eventually; it is not a performance goal.
CONVERGENCE_TIMEOUT_S = 40.0
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
    """Result of a run with faults.

    Parameters
    ----------
    violations : Violations
    lost_assignments : int
        Assignments that a node reported but that the log does not contain.
    served_again : bool
        Whether every key was served after the faults ended.
    agreed : bool
        Whether all nodes eventually reported the assignments in the log.
    reverted : int
        Number of times that a node reported a lower section version than before.
    in_force : bool
        Whether the section published during the fault came into force on all nodes.
    cut_off : int
        Requests that ran on a target but whose client received no completed response.
    exits : dict of str to int
        Exit codes of the nodes that were stopped gracefully, by node name.
    outcomes : dict of str to int
        Number of requests by the outcome that the client recorded.
    folder : str
        Folder with the settings and log files of the nodes.
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
    """Result of a run with a drained target.

    Parameters
    ----------
    in_force : bool
        Whether the ``drain`` line of the section came into force on all nodes.
    before : int
        Requests that the target ran before the drain.
    late : int
        Requests that it started more than 2 s after the line was in force on all
        nodes.
    folder : str
        Folder with the settings and log files of the nodes.
    """

    in_force: bool
    before: int
    late: int
    folder: str


class _RunState:
    """Deployment, client and observations of one run.

    Attributes
    ----------
    reported : set of (str, str, int, str)
        Service, prefix, epoch and owner of each assignment that any node reported.
    versions : dict of (int, str) to int
        Last section version reported, by process id and section name.
    reverted : int
        Number of times that a node reported a lower section version than before.
    exits : dict of str to int
        Exit codes of the nodes that were stopped gracefully, by node name.
    excluded : set of str
        Names of the nodes that the client sends no requests to.
    """

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.client = Client(CLIENT_TIMEOUT_S)
        self.rng = random.Random(seed)
        self.reported = set()
        self.versions = {}
        self.reverted = 0
        self.exits = {}
        self.excluded = set()

    def address(self):
        """Return the client address of a random running node that is not excluded."""
        running = [n for n in self.deployment.running if n not in self.excluded]
        name = self.rng.choice(running or list(self.deployment.members))
        return self.deployment.members[name].addresses.client


async def _no_fault(run):
    await trio.lowlevel.checkpoint()


async def _kill_node(run, name=VICTIM):
    run.deployment.kill(name)
    await trio.sleep(FAULT_S)
    run.deployment.start(name)


async def _freeze_node(run, seconds=FAULT_S):
    run.deployment.freeze(VICTIM)
    await trio.sleep(seconds)
    run.deployment.resume(VICTIM)


async def _freeze_past_lease(run):
    await _freeze_node(run, seconds=1.2)


async def _freeze_briefly(run):
    for _ in range(3):
        await _freeze_node(run, seconds=0.6)
        await trio.sleep(0.4)


async def _cut_paths(run, paths):
    for path in paths:
        path.cut()
    await trio.sleep(FAULT_S)
    for path in paths:
        path.heal()


def _other_endpoints(run):
    return [n for n in run.deployment.members if n != VICTIM] + [LOG_SERVICE]


async def _cut_outbound(run):
    await _cut_paths(run, run.deployment.network.paths([VICTIM], _other_endpoints(run)))


async def _cut_inbound(run):
    await _cut_paths(run, run.deployment.network.paths(_other_endpoints(run), [VICTIM]))


async def _cut_both(run):
    await _cut_paths(
        run, run.deployment.network.between([VICTIM], _other_endpoints(run))
    )


async def _cut_from_nodes(run):
    nodes = [name for name in _other_endpoints(run) if name != LOG_SERVICE]
    await _cut_paths(run, run.deployment.network.between([VICTIM], nodes))


async def _cut_from_log(run):
    await _cut_paths(run, run.deployment.network.between([VICTIM], [LOG_SERVICE]))


async def _cut_pair(run):
    other = "jobs-dar-c"
    await _cut_paths(run, run.deployment.network.between([VICTIM], [other]))


def _paths_between_zones(run):
    groups = [run.deployment.zone(zone) for zone in ZONES]
    network = run.deployment.network
    pairs = [(a, b) for a in groups for b in groups if a != b]
    return [path for a, b in pairs for path in network.paths(a, b)]


async def _degrade_zone_paths(run):
    for path in _paths_between_zones(run):
        path.delay_s, path.jitter_s = 0.004, 0.004
        path.bytes_per_s = 256 * 1024
        path.stall_share, path.reset_share = 0.05, 0.01
    await trio.sleep(FAULT_S)
    run.deployment.network.heal()


async def _lose_peer_responses(run):
    for path in _paths_between_zones(run):
        path.pending_resets = 2
    await trio.sleep(FAULT_S)
    run.deployment.network.heal()


async def _cut_zone(run):
    names = run.deployment.members
    inside = run.deployment.zone(VICTIM_ZONE)
    outside = [n for n in names if n not in inside] + [LOG_SERVICE]
    await _cut_paths(run, run.deployment.network.between(inside, outside))


async def _log_down(run):
    run.deployment.log.down = True
    await trio.sleep(FAULT_S)
    run.deployment.log.down = False


async def _log_slow(run):
    run.deployment.log.delay_s = 0.5
    await trio.sleep(FAULT_S)
    run.deployment.log.delay_s = 0.0


async def _lose_log_responses(run):
    run.deployment.log.responses_to_drop = 5
    await trio.sleep(FAULT_S)
    run.deployment.log.responses_to_drop = 0


async def _log_stale(run):
    run.deployment.log.stale_reads = 200
    await trio.sleep(FAULT_S)
    run.deployment.log.stale_reads = 0


async def _kill_after_retention(run):
    run.deployment.log.retain(5)
    await _kill_node(run)


async def _false_health_report(run):
    run.deployment.members[VICTIM].target.up = False
    await trio.sleep(FAULT_S)
    run.deployment.members[VICTIM].target.up = True


async def _cold_start(run):
    """Stop all nodes gracefully before the first one is started again."""
    for name in run.deployment.members:
        await _stop_node(run, name)
    for name in run.deployment.members:
        run.deployment.start(name)
    await run.deployment.wait_ready()
    run.excluded.clear()


async def _kill_all_nodes(run):
    """Kill all nodes at once, more than is tolerated without effect on clients."""
    for name in run.deployment.running:
        run.deployment.kill(name)
    for name in run.deployment.members:
        run.deployment.start(name)
    await trio.sleep(FAULT_S)


async def _stop_node(run, name=VICTIM):
    run.excluded.add(name)
    run.exits[name] = await run.deployment.stop(name)


async def _restart_gracefully(run):
    await _stop_node(run)
    run.deployment.start(VICTIM)
    await run.deployment.wait_ready([VICTIM])
    run.excluded.clear()


async def _rolling_replacement(run):
    for name in run.deployment.members:
        await _stop_node(run, name)
        run.deployment.start(name)
        await run.deployment.wait_ready([name])
        run.excluded.clear()


async def _kill_zone(run):
    async with trio.open_nursery() as nursery:
        for name in run.deployment.zone(VICTIM_ZONE):
            nursery.start_soon(_kill_node, run, name)


async def _kill_planner(run):
    planners = run.deployment.fold().planners
    planner = planners["jobs"].planner if "jobs" in planners else None
    state = run.deployment.fold().incarnations.get(planner)
    await _kill_node(run, state.admit.node if state else VICTIM)


FAULTS = {
    "none": _no_fault,
    "kill -9": _kill_node,
    "freeze and return": _freeze_node,
    "pause past the lease": _freeze_past_lease,
    "short pauses": _freeze_briefly,
    "cut outwards": _cut_outbound,
    "cut inwards": _cut_inbound,
    "cut both ways": _cut_both,
    "cut from nodes": _cut_from_nodes,
    "cut from log": _cut_from_log,
    "cut between two": _cut_pair,
    "slow lossy zones": _degrade_zone_paths,
    "answers lost": _lose_peer_responses,
    "zone cut": _cut_zone,
    "zone lost": _kill_zone,
    "log down": _log_down,
    "log slow": _log_slow,
    "log answer lost": _lose_log_responses,
    "log stale": _log_stale,
    "retention passed": _kill_after_retention,
    "health lies": _false_health_report,
    "cold start": _cold_start,
    "all killed": _kill_all_nodes,
    "graceful stop": _restart_gracefully,
    "all replaced": _rolling_replacement,
    "planner killed": _kill_planner,
}


async def run_proof(faults, seed):
    """Inject faults under load.

    Parameters
    ----------
    faults : str
        Names in `FAULTS`, joined by " + "; they start at the same time.
    seed : int
        Seed of the load and of the network faults.

    Returns
    -------
    proof : Proof
    """
    return await _run_in_deployment(_run_fault_load, faults, seed, REQUEST_WORK_S)


async def run_drain(faults, seed):
    """Drain a target by a line in its section while faults are injected.

    Parameters
    ----------
    faults : str
        Names in `FAULTS`, joined by " + "; they start at the same time.
    seed : int
        Seed of the load and of the network faults.

    Returns
    -------
    drained : Drained
    """
    return await _run_in_deployment(_run_drain_load, faults, seed, REQUEST_WORK_S)


async def run_graceful(seed):
    """Stop a node gracefully while slow requests are in flight.

    Parameters
    ----------
    seed : int
        Seed of the load and of the network faults.

    Returns
    -------
    proof : Proof
    """
    return await _run_in_deployment(
        _run_fault_load, "graceful stop", seed, SLOW_REQUEST_WORK_S
    )


async def _run_in_deployment(run_load, faults, seed, work_s):
    folder = tempfile.mkdtemp(prefix="jujuberudder-proof-")

    def target(name):
        # A target that checks fences would hide that a key has two owners.
        return TargetStandin(name, checks_fences=False, work_s=work_s)

    async with trio.open_nursery() as nursery:
        deployment = ProcessDeployment("lango", nursery, folder, seed)
        try:
            await deployment.prepare([(s, z) for s in SERVICES for z in ZONES], target)
            result = await run_load(deployment, faults, seed, folder)
        finally:
            deployment.close()
        nursery.cancel_scope.cancel()
    return result


async def _start_and_serve(deployment, seed):
    """Start all nodes, wait until all keys are served and return the run state."""
    for name in deployment.members:
        deployment.start(name)
    with trio.fail_after(CONVERGENCE_TIMEOUT_S):
        await deployment.wait_ready()
    run = _RunState(deployment, seed)
    await _wait_until_served(run)
    return run


async def _inject_faults(run, faults):
    async with trio.open_nursery() as nursery:
        for fault in faults.split(" + "):
            nursery.start_soon(FAULTS[fault], run)


async def _run_drain_load(deployment, faults, seed, folder):
    version = deployment.publish("jobs", JOBS)
    deployment.publish("dispatch", DISPATCH)
    run = await _start_and_serve(deployment, seed)
    target = deployment.members[DRAINED_TARGET].target
    async with trio.open_nursery() as nursery:
        stop = trio.Event()
        for _ in range(WORKERS):
            nursery.start_soon(_send_requests, run, stop)
        with trio.move_on_after(CONVERGENCE_TIMEOUT_S):
            while not target.runs:
                await trio.sleep(REQUEST_INTERVAL_S)
        nursery.start_soon(_inject_faults, run, faults)
        before = len(target.runs)
        text = JOBS + f"drain: [{DRAINED_TARGET}]\n"
        version = deployment.publish("jobs", text, version)
        in_force = await _wait_in_force(run, version, "jobs")
        await trio.sleep(DRAIN_S)
        since = trio.current_time()
        await trio.sleep(AFTER_DRAIN_S)
        stop.set()
    late = sum(request.started >= since for request in target.runs)
    return Drained(in_force, before, late, folder)


async def _run_fault_load(deployment, faults, seed, folder):
    deployment.publish("jobs", JOBS)
    version = deployment.publish("dispatch", DISPATCH)
    run = await _start_and_serve(deployment, seed)
    async with trio.open_nursery() as nursery:
        stop = trio.Event()
        nursery.start_soon(_observe_nodes, run, stop)
        for _ in range(WORKERS):
            nursery.start_soon(_send_requests, run, stop)
        await trio.sleep(WARM_UP_S)
        async with trio.open_nursery() as injected:
            injected.start_soon(_inject_faults, run, faults)
            await trio.sleep(FAULT_S / 2)
            text = DISPATCH + "queue: 90\n"
            version = deployment.publish("dispatch", text, version)
        served_again = await _wait_until_served(run)
        in_force = await _wait_in_force(run, version, "dispatch")
        agreed = await _wait_until_agreed(run)
        stop.set()
    return _collect_proof(run, served_again, in_force, agreed, folder)


async def _send_requests(run, stop):
    while not stop.is_set():
        service = run.rng.choice(SERVICES)
        key = run.rng.randrange(KEYS)
        method = run.rng.choice(("POST", "POST", "GET"))
        body = run.rng.randbytes(200) if method == "POST" else b""
        path = f"/{service}/{key}"
        await run.client.send(run.address(), method, path, body, method == "GET")
        await trio.sleep(REQUEST_INTERVAL_S)


async def _observe_nodes(run, stop):
    """Record the assignments and section versions that nodes report."""
    while not stop.is_set():
        for name in run.deployment.running:
            owners = await run.deployment.view(name, "/v1/owners")
            run.reported |= _reported_assignments(owners or {})
            status = await run.deployment.status(name)
            if status:
                _record_versions(run, name, status)
        await trio.sleep(POLL_INTERVAL_S)


def _reported_assignments(owners):
    return {
        (service, prefix, shard["epoch"], shard["owner"])
        for service, shards in owners.items()
        for prefix, shard in shards.items()
        if shard["owner"]
    }


def _record_versions(run, name, status):
    pid = run.deployment.pid(name)
    for section, version in status["sections"].items():
        before = run.versions.get((pid, section), 0)
        run.reverted += version < before
        run.versions[pid, section] = version


async def _wait_until_served(run):
    """Return whether every key is eventually served by some node."""
    with trio.move_on_after(CONVERGENCE_TIMEOUT_S):
        for key in range(KEYS):
            path = f"/jobs/{key}"
            while True:
                record = await run.client.send(run.address(), "GET", path, b"", True)
                if record.outcome == "completed":
                    break
                await trio.sleep(REQUEST_INTERVAL_S)
        return True
    return False


async def _wait_in_force(run, version, section):
    """Return whether all nodes eventually report a version of a section."""
    with trio.move_on_after(CONVERGENCE_TIMEOUT_S):
        for name in run.deployment.members:
            while True:
                status = await run.deployment.status(name)
                if status and status["sections"].get(section) == version:
                    break
                await trio.sleep(POLL_INTERVAL_S)
        return True
    return False


async def _wait_until_agreed(run):
    """Return whether all nodes eventually report the assignments in the log."""
    with trio.move_on_after(CONVERGENCE_TIMEOUT_S):
        while not await _nodes_agree(run):
            await trio.sleep(POLL_INTERVAL_S)
        return True
    return False


async def _nodes_agree(run):
    expected = assignments(run.deployment.fold())
    for name in run.deployment.members:
        owners = await run.deployment.view(name, "/v1/owners")
        if owners is None or _reported_assignments(owners) != expected:
            return False
    return bool(expected)


def _collect_proof(run, served_again, in_force, agreed, folder):
    deployment = run.deployment
    runs = [r for m in deployment.members.values() for r in m.target.runs]
    records = run.client.records
    executed = {r.request for r in runs}
    outcomes = [record.outcome for record in records]
    return Proof(
        audit(runs, records),
        len(lost_assignments(run.reported, deployment.history)),
        served_again,
        agreed,
        run.reverted,
        in_force,
        sum(
            record.request in executed and record.outcome != "completed"
            for record in records
        ),
        run.exits,
        {kind: outcomes.count(kind) for kind in sorted(set(outcomes))},
        folder,
    )
