"""``jujuberudderctl`` as a process against the stand-in of the log service."""

import json
import signal
import subprocess
import sys

import pytest
import trio

from jujuberudder_core import decode_record, encode_record
from jujuberudder_standins import Deployment, LogStandin, serve_app

JOBS = "service: jobs\nroutes: [{path_prefix: /jobs/}]\n"
OTHER = "service: other\nroutes: [{path_prefix: /other/}]\n"


class CompletedCommand:
    """Exit code and output of a finished command; no traceback is allowed."""

    def __init__(self, process):
        self.code = process.returncode
        self.out = process.stdout.decode()
        self.error = process.stderr.decode()
        assert "Traceback" not in self.error, self.error


async def run_ctl(*args):
    """Run ``jujuberudderctl`` as a process."""
    command = [sys.executable, "-m", "jujuberudderctl", *map(str, args)]
    process = await trio.run_process(
        command, capture_stdout=True, capture_stderr=True, check=False
    )
    return CompletedCommand(process)


class LogService:
    """The stand-in of a log service, with a hook that runs before each request."""

    def __init__(self, folder, retention=None):
        self._folder = folder
        self.log = LogStandin(retention)
        self.before = None
        self.address = None

    async def app(self, scope, receive, send):
        """Await the hook, then serve the request."""
        if self.before is not None:
            await self.before(scope)
        await self.log.app(scope, receive, send)

    async def start(self, nursery):
        """Start serving on a free port."""
        self.address = await nursery.start(serve_app, self.app)

    def file(self, text, name="section.yaml"):
        """Write a file and return its path."""
        path = self._folder / name
        path.write_text(text, encoding="utf-8")
        return path

    async def run(self, command, *args):
        """Run a command of ``jujuberudderctl`` against this log service."""
        options = ("--log-address", self.address, "--deployment", "lango")
        return await run_ctl(command, *args, *options)

    def texts(self):
        """Return the texts of all sections in the log."""
        return [
            decode_record(data).ok_value.text
            for _, data in self.log.stream("lango.sections")
        ]


@pytest.fixture
async def log_service(tmp_path, nursery):
    """Start a log service."""
    started = LogService(tmp_path)
    await started.start(nursery)
    return started


async def test_second_editor_gets_both_versions_and_the_difference(log_service):
    """Guards against an edit that silently overwrites a newer version."""
    assert (await log_service.run("publish", log_service.file(JOBS))).code == 0
    edit = log_service.file("# jobs version 1\n" + JOBS + "slots: 6\n")
    assert (await log_service.run("publish", edit)).code == 0
    stale = log_service.file("# jobs version 1\n" + JOBS + "slots: 9\n")
    done = await log_service.run("publish", stale)
    assert done.code == 3
    assert "based on version 1, but version 2 is in force" in done.error
    assert "-slots: 6\n+slots: 9" in done.error
    assert len(log_service.texts()) == 2


async def test_edit_without_a_base_is_refused(log_service):
    """Guards against an overwrite by a file that names no base version."""
    await log_service.run("publish", log_service.file(JOBS))
    done = await log_service.run("publish", log_service.file(JOBS + "slots: 6\n"))
    assert (done.code, len(log_service.texts())) == (2, 1)
    assert "version 1 of jobs is in force; give the version" in done.error


async def test_publishing_the_same_text_changes_nothing(log_service):
    """Guards against a script that fails or adds a version when it runs twice."""
    await log_service.run("publish", log_service.file(JOBS))
    done = await log_service.run("publish", log_service.file(JOBS), "--json")
    assert json.loads(done.out) == {"section": "jobs", "version": 1, "changed": False}


def delay_appends(log_service, count):
    """Delay appends until ``count`` of them have arrived."""
    arrived = []
    ready = trio.Event()

    async def before(scope):
        if scope["method"] == "POST":
            arrived.append(scope)
            if len(arrived) == count:
                ready.set()
            await ready.wait()

    log_service.before = before


async def publish_concurrently(log_service, *files):
    """Publish files at the same time and return the finished commands."""
    done = {}

    async def publish(path):
        done[path] = await log_service.run("publish", path)

    delay_appends(log_service, len(files))
    async with trio.open_nursery() as nursery:
        for path in files:
            nursery.start_soon(publish, path)
    return [done[path] for path in files]


async def test_race_of_two_editors_has_one_winner(log_service):
    """Guards against two edits of one version that are both accepted."""
    files = [log_service.file(JOBS + f"slots: {n}\n", f"{n}.yaml") for n in (1, 2)]
    first, second = await publish_concurrently(log_service, *files)
    assert sorted((first.code, second.code)) == [0, 3]
    loser = max(first, second, key=lambda done: done.code)
    assert "based on version 0, but version 1 is in force" in loser.error


async def test_race_for_different_sections_has_two_winners(log_service):
    """Guards against a conflict between edits of different sections."""
    files = [log_service.file(JOBS), log_service.file(OTHER, "other.yaml")]
    done = await publish_concurrently(log_service, *files)
    assert [command.code for command in done] == [0, 0]


async def test_race_for_one_route_has_one_winner(log_service):
    """Guards against two sections that both claim a route."""
    rival = log_service.file(JOBS.replace("service: jobs", "service: rival"), "r.yaml")
    done = await publish_concurrently(log_service, log_service.file(JOBS), rival)
    assert sorted(command.code for command in done) == [0, 3]
    assert "collides with a route of section" in "".join(
        command.error for command in done
    )


async def test_collision_is_refused_at_publish(log_service):
    """Guards against a section that takes over a route of another one."""
    await log_service.run("publish", log_service.file(JOBS))
    text = OTHER.replace("/other/", "/jobs/")
    done = await log_service.run("publish", log_service.file(text))
    assert (done.code, len(log_service.texts())) == (3, 1)
    expected = "line 2: $.routes[0]: collides with a route of section 'jobs'"
    assert expected in done.error


async def test_append_whose_response_is_lost_is_published_once(log_service):
    """Guards against a reported failure or a second version after a lost response."""
    log_service.log.responses_to_drop = 1
    done = await log_service.run("publish", log_service.file(JOBS), "--json")
    assert json.loads(done.out) == {"section": "jobs", "version": 1, "changed": True}
    assert log_service.texts() == [JOBS]


async def test_append_that_never_arrives_is_sent_again(log_service):
    """Guards against a reported success although the section is not in the log."""
    failed_appends = []

    async def before(scope):
        log_service.log.down = scope["method"] == "POST" and not failed_appends
        if log_service.log.down:
            failed_appends.append(scope)

    log_service.before = before
    done = await log_service.run("publish", log_service.file(JOBS))
    assert (done.code, log_service.texts()) == (0, [JOBS])


async def test_append_that_arrives_after_its_retry_is_a_conflict(log_service):
    """Guards against a second version by an append that arrives after its retry."""
    arrived = trio.Event()
    appends = []

    async def before(scope):
        if scope["method"] == "POST":
            appends.append(scope)
            if len(appends) == 1:
                await arrived.wait()

    log_service.before = before
    done = await log_service.run("publish", log_service.file(JOBS), "--json")
    assert json.loads(done.out) == {"section": "jobs", "version": 1, "changed": True}
    late = decode_record(log_service.log.stream("lango.sections")[0][1]).ok_value
    log_service.log.put("lango.sections", encode_record(late._replace(id="late")))
    arrived.set()
    done = await log_service.run("show", "jobs", "--history", "--json")
    outcomes = [change["outcome"] for change in json.loads(done.out)]
    assert outcomes[:2] == ["in force", "conflict"]


async def test_publish_while_the_log_service_is_down(log_service):
    """Guards against an append during an outage of the log service."""
    log_service.log.down = True
    done = await log_service.run("publish", log_service.file(JOBS))
    assert done.code == 4
    assert f"log service {log_service.address} cannot be read: status 503" in done.error
    assert log_service.texts() == []


async def test_outage_during_the_append_leaves_the_outcome_unknown(log_service):
    """Guards against a reported success or failure although either is possible."""

    async def before(scope):
        log_service.log.down = log_service.log.down or scope["method"] == "POST"

    log_service.before = before
    done = await log_service.run("publish", log_service.file(JOBS), "--settle-s", "1")
    assert done.code == 6
    assert "did not confirm whether the publish based on version 0" in done.error


async def test_history_shows_the_outcome_of_each_edit(log_service):
    """Guards against a history that hides conflicts and refused sections."""
    await log_service.run("publish", log_service.file(JOBS), "--author", "asha")
    edit = log_service.file(JOBS + "slots: 6\n")
    await log_service.run("publish", edit, "--base", "1", "--author", "juma")
    Deployment.publish(_deployment(log_service), "jobs", JOBS, 1)
    Deployment.publish(_deployment(log_service), "jobs", "service: [", 2)
    done = await log_service.run("show", "jobs", "--history", "--json")
    outcomes = [
        (c["version"], c["author"], c["outcome"].split(":")[0])
        for c in json.loads(done.out)
    ]
    assert outcomes == [
        (1, "asha", "superseded"),
        (2, "juma", "in force"),
        (3, "", "conflict"),
        (4, "", "refused"),
    ]
    version_1 = await log_service.run("show", "jobs", "--version", "1")
    assert version_1.out == "# jobs version 1\n" + JOBS


def _deployment(log_service):
    """Return a deployment that publishes to the log without a check."""
    deployment = Deployment("lango", None)
    deployment.log = log_service.log
    return deployment


INVALID_COMMANDS = [
    ("publish nowhere.yaml", 2, "nowhere.yaml: No such file"),
    ("show other", 2, "no section 'other' is in force"),
    ("show jobs --version 99", 2, "the log contains no version 99 of jobs"),
    ("show --version 1", 2, "give the name of the section"),
    ("owners nobody", 2, "service 'nobody' has no shards"),
    ("explain key", 2, "give --service; keyed services: none"),
    ("status --node 127.0.0.1:9", 4, "node 127.0.0.1:9 cannot be read"),
    ("status --node nowhere", 2, "--node: expected host:port, got 'nowhere'"),
    ("nonsense", 2, "invalid choice: 'nonsense'"),
]


@pytest.mark.parametrize("line, code, message", INVALID_COMMANDS)
async def test_errors_have_a_message_and_an_exit_code(log_service, line, code, message):
    """Guards against a traceback for an invalid command or an unreachable node."""
    done = await log_service.run(*line.split())
    assert done.code == code
    assert message in done.error


@pytest.mark.parametrize("command", ["show", "status"])
async def test_interrupt_prints_no_traceback(log_service, command):
    """Guards against a traceback when an operator interrupts a waiting command."""
    requested = trio.Event()

    async def before(scope):
        requested.set()
        await trio.sleep_forever()

    log_service.before = before
    options = ("--log-address", log_service.address, "--deployment", "lango")
    command_line = [sys.executable, "-m", "jujuberudderctl", command, *options]
    process = await trio.lowlevel.open_process(
        command_line,
        stderr=subprocess.PIPE,
        # Tests that run in the background ignore SIGINT, and a child inherits that.
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
    )
    with trio.fail_after(20):
        await requested.wait()
        process.send_signal(signal.SIGINT)
        error = b"".join([part async for part in process.stderr])
        assert (await process.wait(), error) == (130, b"")


async def test_command_without_an_address_is_refused():
    """Guards against a traceback when neither a node nor a log service is given."""
    done = await run_ctl("show")
    assert (done.code, "give --node ADDRESS" in done.error) == (2, True)
