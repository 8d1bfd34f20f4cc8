"""Section versions in force on nodes, which never decrease."""

import json
import re
import sys

import httpcore
import msgspec
import pytest
import trio

from jujuberudder_core import encode_record, records, start_logging
from jujuberudder_standins import Deployment, LogStandin, TargetStandin, serve_app

JOBS = "service: jobs\nroutes: [{path_prefix: /jobs/}]\n"
OTHER = "service: other\nroutes: [{path_prefix: /other/}]"
ZONES = ("dar-a", "dar-b", "dar-c")
TIMEOUT_S = 20


async def ctl(*args):
    """Run ``jujuberudderctl`` as a process; return exit code, stdout and stderr."""
    command = [sys.executable, "-m", "jujuberudderctl", *map(str, args)]
    process = await trio.run_process(
        command, capture_stdout=True, capture_stderr=True, check=False
    )
    return process.returncode, process.stdout.decode(), process.stderr.decode()


@pytest.fixture
async def deployment(nursery):
    """Start a deployment with three nodes and no sections."""
    started = Deployment("lango", nursery)
    await started.start_log()
    await start_all(started)
    return started


async def start_all(deployment):
    """Start a node of the service ``jobs`` in each availability zone."""
    for zone in ZONES:
        await deployment.start_member("jobs", zone)


async def status(member):
    """Return the status reported by a node."""
    async with httpcore.AsyncConnectionPool() as pool:
        url = f"http://{member.addresses.operator}/v1/status"
        return msgspec.json.decode((await pool.request("GET", url)).content)


async def version(member):
    """Return the version of the section ``jobs`` in force on a node, 0 if none."""
    return (await status(member))["sections"].get("jobs", 0)


async def until(condition):
    """Wait until an async condition holds."""
    with trio.fail_after(TIMEOUT_S):
        while not await condition():
            await trio.sleep(0.02)


async def wait_admitted(deployment, count=3):
    """Wait until the first node lists ``count`` nodes that hold a lease."""

    async def all_hold_leases():
        member = next(iter(deployment.members.values()))
        code, out, _ = await ctl("status", "--node", member.addresses.operator)
        return code == 0 and out.count("held") == count

    await until(all_hold_leases)


async def publish(deployment, path, text, *args):
    """Publish a section through the first node; return the result of `ctl`."""
    path.write_text(text, encoding="utf-8")
    node = next(iter(deployment.members.values())).addresses.operator
    return await ctl("publish", path, "--node", node, *args)


async def test_wait_reports_when_each_availability_zone_uses_a_version(
    deployment, tmp_path
):
    """Guards against a version that is reported in force before nodes use it."""
    await wait_admitted(deployment)
    code, out, error = await publish(deployment, tmp_path / "s", JOBS, "--wait")
    assert (code, error) == (0, "")
    for zone in ZONES:
        assert f"{zone}: version 1 in force on 1 of 1 nodes after" in out
    assert [await version(m) for m in deployment.members.values()] == [1, 1, 1]


async def test_wait_names_the_node_that_lags(deployment, tmp_path, nursery):
    """Guards against a reported success while a node still uses the old version."""
    resume = trio.Event()
    delayed = []

    async def delay_reads(scope, receive, send):
        async def send_late(message):
            if delayed:
                await resume.wait()
            await send(message)

        sections = scope["path"].endswith("lango.sections/records")
        await deployment.log.app(scope, receive, send_late if sections else send)

    deployment.log_address = await nursery.start(serve_app, delay_reads)
    late = await deployment.start_member("dispatch", "dar-a")
    # A node is admitted only after it has read the sections, so its reads are delayed
    # only from here on.
    await wait_admitted(deployment, 4)
    delayed.append(late)
    waiting = ("--wait", "--wait-s", "1", "--json")
    code, out, error = await publish(deployment, tmp_path / "s", JOBS, *waiting)
    zones = json.loads(out)["availability_zones"]
    assert code == 5
    assert zones["dar-a"]["missing"] == {"dispatch-dar-a": "version 0"}
    assert [zone["in_force"] for _, zone in sorted(zones.items())] == [0, 1, 1]
    assert "dar-a: version 1 in force on 1 of 2 nodes; missing: dispatch-dar-a" in error
    resume.set()
    code, _, error = await publish(deployment, tmp_path / "s", JOBS, "--wait")
    assert (code, await version(late)) == (0, 1)


async def test_versions_never_decrease_during_stale_reads(nursery):
    """Guards against a node that returns to an old version.

    The log service responds to some reads with stale records.
    """
    deployment = Deployment("lango", nursery)
    await deployment.start_log()
    reads = [0]

    async def respond_stale(scope, receive, send):
        reads[0] += 1
        if scope["method"] == "GET" and reads[0] % 2:
            await stale.app(scope | {"query_string": FROM_START}, receive, send)
        else:
            await deployment.log.app(scope, receive, send)

    stale = LogStandin()
    deployment.log_address = await nursery.start(serve_app, respond_stale)
    member = await deployment.start_member("jobs", "dar-a")
    versions = []
    for number in range(8):
        deployment.publish("jobs", JOBS + f"slots: {number + 1}\n", number)
        if number < 3:
            stale.put("lango.sections", deployment.log.stream("lango.sections")[-1][1])

        async def reached(expected=number + 1):
            versions.append(await version(member))
            return versions[-1] >= expected

        await until(reached)
    assert versions == sorted(versions)
    assert versions[-1] == 8


FROM_START = b"offset=0&limit=500&wait_ms=0"


async def test_restart_of_all_nodes_keeps_the_newest_version(deployment, tmp_path):
    """Guards against a section that reverts when all nodes lose their state."""
    for number in range(3):
        text = JOBS + f"slots: {number + 1}\n"
        base = ("--base", number)
        code, _, error = await publish(deployment, tmp_path / "s", text, *base)
        assert code == 0, error
    for name in list(deployment.members):
        deployment.kill(name)
    await start_all(deployment)
    for member in deployment.members.values():

        async def reached(member=member):
            return await version(member) == 3

        await until(reached)


NODE = """\
deployment: lango
node: jobs-{zone}
availability_zone: {zone}
service: jobs
target: {{address: '{target}'}}
log_address: {log}
"""


class Processes:
    """Node processes that use the log service and target of a test deployment."""

    def __init__(self, folder, deployment, target):
        self._folder = folder
        self._deployment = deployment
        self._target = target
        self._running = []

    async def start(self):
        """Start a node process in each availability zone."""
        for zone in ZONES:
            path = self._folder / zone
            log = self._deployment.log_address
            path.write_text(NODE.format(zone=zone, target=self._target, log=log))
            command = [sys.executable, "-m", "jujuberudder", str(path)]
            with open(self._folder / f"{zone}.log", "w", encoding="utf-8") as lines:
                process = await trio.lowlevel.open_process(command, stderr=lines)
            self._running.append(process)

    def lines(self):
        """Return the log text of each process since its start."""
        return [(self._folder / f"{zone}.log").read_text() for zone in ZONES]

    async def versions(self):
        """Return the versions of ``jobs`` reported by the processes.

        The list is empty while a process is not listening yet.
        """
        versions = []
        for text in self.lines():
            listening = re.search(r"event=listening .* operator=(\S+)", text)
            if listening is None:
                return []
            code, out, _ = await ctl("show", "--node", listening.group(1), "--json")
            sections = json.loads(out) if code == 0 else {}
            versions.append(sections.get("jobs", {}).get("version", 0))
        return versions

    async def kill(self):
        """Send SIGKILL to all processes and wait for their end."""
        for process in self._running:
            process.kill()
        for process in self._running:
            await process.wait()
        self._running.clear()


@pytest.fixture
async def processes(tmp_path, nursery):
    """Start a log service and a target for node processes; kill them at the end."""
    deployment = Deployment("lango", nursery)
    await deployment.start_log()
    target = await nursery.start(serve_app, TargetStandin("jobs").app)
    started = Processes(tmp_path, deployment, target)
    started.deployment = deployment
    yield started
    with trio.CancelScope(shield=True):
        await started.kill()


async def test_restart_of_all_processes_keeps_the_newest_version(processes):
    """Guards against state that survives a restart only within one process."""
    for version_before in range(3):
        text = JOBS + f"slots: {version_before + 1}\n"
        processes.deployment.publish("jobs", text, version_before)
        await processes.start()

        async def newest(expected=version_before + 1):
            return await processes.versions() == [expected] * len(ZONES)

        await until(newest)
        await processes.kill()


async def test_processes_killed_at_once_are_admitted_again(processes):
    """Guards against nodes that wait forever for their earlier incarnations to end."""
    for _ in range(2):
        await processes.start()
        with trio.fail_after(8):
            while not all("event=admitted" in text for text in processes.lines()):
                await trio.sleep(0.05)
        await processes.kill()


async def test_sections_outlast_the_retention_of_their_records(nursery):
    """Guards against a node that drops a section after retention removed its record."""
    deployment = Deployment("lango", nursery)
    deployment.log = LogStandin(retention=2)
    await deployment.start_log()
    member = await deployment.start_member("jobs", "dar-a")
    deployment.publish("jobs", JOBS)

    async def reached(expected):
        return await version(member) == expected

    await until(lambda: reached(1))
    for number in range(4):
        name = f"other-{number}"
        deployment.publish(name, f"service: {name}\nroutes: [{{host: '{name}'}}]")

        async def other(name=name):
            return name in (await status(member))["sections"]

        await until(other)
    assert await version(member) == 1
    deployment.publish("jobs", JOBS + "slots: 3\n", 1)
    await until(lambda: reached(6))


async def test_commands_start_from_a_snapshot(nursery, tmp_path):
    """Guards against commands that fail after retention removed the first records."""
    deployment = Deployment("lango", nursery)
    deployment.log = LogStandin(retention=40)
    await deployment.start_log()
    member = await deployment.start_member("jobs", "dar-a")
    newest = 0
    for number in range(60):
        newest = deployment.publish("jobs", JOBS + f"slots: {number + 1}\n", newest)

        async def reached(expected=newest):
            return await version(member) == expected

        await until(reached)
    first = deployment.log.stream("lango.sections")[0][0]
    assert first > 0
    where = ("--log-address", deployment.log_address, "--deployment", "lango")

    async def newest_listed():
        code, out, _ = await ctl("show", *where)
        return code == 0 and "slots: 60" in out

    await until(newest_listed)
    code, _, error = await publish(
        deployment, tmp_path / "s", JOBS, "--base", str(newest)
    )
    assert code == 0, error


async def test_log_without_start_or_snapshot_is_an_error(nursery):
    """Guards against sections shown from an incomplete stream."""
    log = LogStandin(retention=1)
    address = await nursery.start(serve_app, log.app)
    for number in range(2):
        record = records.Section(f"r{number}", "jobs", number, JOBS)
        log.put("lango.sections", encode_record(record))
    code, out, error = await ctl(
        "show", "--log-address", address, "--deployment", "lango"
    )
    assert (code, out, "contains no snapshot" in error) == (4, "", True)


INVALID = {
    "not yaml": "service: [",
    "unknown key": JOBS + "slotz: 1",
    "another service": JOBS.replace("service: jobs", "service: other"),
    "route of another section": JOBS.replace("/jobs/", "/other/"),
}


@pytest.mark.parametrize("text", INVALID.values(), ids=INVALID)
async def test_invalid_section_in_the_log_is_rejected(deployment, tmp_path, text):
    """Guards against an invalid section that comes into force or stops a node."""
    lines = []

    class Lines:
        write = lines.append

    stop = start_logging(Lines())
    deployment.publish("other", OTHER)
    deployment.publish("jobs", JOBS)
    deployment.publish("jobs", text, 2)
    for data in ("[]", encode_record(records.Keep("x", "y", 1))):
        deployment.log.put("lango.sections", data)

    async def rejected():
        states = [await status(member) for member in deployment.members.values()]
        return all(state["sections_rejected"] == 1 for state in states)

    await until(rejected)
    stop()
    assert [await version(m) for m in deployment.members.values()] == [2, 2, 2]
    assert any("event=section_rejected" in line for line in lines)
    text = JOBS + "slots: 9\n"
    code, _, error = await publish(deployment, tmp_path / "s", text, "--base", "2")
    assert (code, error) == (0, "")


async def test_explain_names_the_record_that_placed_a_key(deployment, tmp_path):
    """Guards against an explanation without the record that assigned the key."""
    keyed = JOBS + "key: {source: path_segment, index: 1}\n"
    await publish(deployment, tmp_path / "s", keyed)
    member = deployment.members["jobs-dar-a"]
    node = ("--node", member.addresses.operator)
    log = ("--log-address", deployment.log_address, "--deployment", "lango")

    async def owned():
        code, out, _ = await ctl("owners", "jobs", *node, "--json")
        return code == 0 and len(json.loads(out)["jobs"]) == 32

    await until(owned)
    for where in (node, log):
        code, out, error = await ctl("explain", "gate-7", *where)
        assert (code, error) == (0, "")
        assert "owner:       jobs-dar-" in out
        assert "because:     assigned by planner" in out
