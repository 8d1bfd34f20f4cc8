"""``jujuberudderctl`` as a process against the log stand-in and real nodes."""

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


class Done:
    """Exit code and output of a finished command."""

    def __init__(self, process):
        self.code = process.returncode
        self.out = process.stdout.decode()
        self.error = process.stderr.decode()
        assert "Traceback" not in self.error, self.error


async def ctl(*args):
    """Run the real ``jujuberudderctl``."""
    command = [sys.executable, "-m", "jujuberudderctl", *map(str, args)]
    process = await trio.run_process(
        command, capture_stdout=True, capture_stderr=True, check=False
    )
    return Done(process)


class Platform:
    """A log service whose requests pass a hook first."""

    def __init__(self, folder, retention=None):
        self._folder = folder
        self.log = LogStandin(retention)
        self.before = None
        self.address = None

    async def app(self, scope, receive, send):
        """ASGI application."""
        if self.before is not None:
            await self.before(scope)
        await self.log.app(scope, receive, send)

    async def start(self, nursery):
        """Start serving."""
        self.address = await nursery.start(serve_app, self.app)

    def file(self, text, name="section.yaml"):
        """Return the path of a new file."""
        path = self._folder / name
        path.write_text(text, encoding="utf-8")
        return path

    async def run(self, command, *args):
        """Run a command on this log service."""
        where = ("--log-address", self.address, "--deployment", "lango")
        return await ctl(command, *args, *where)

    def texts(self):
        """Return the texts of all sections appended."""
        return [
            decode_record(data).ok_value.text
            for _, data in self.log.stream("lango.sections")
        ]


@pytest.fixture
async def platform(tmp_path, nursery):
    """Start a log service."""
    started = Platform(tmp_path)
    await started.start(nursery)
    return started


async def test_second_editor_gets_both_versions_and_the_difference(platform):
    """Guards against an edit that silently overwrites a newer version."""
    assert (await platform.run("publish", platform.file(JOBS))).code == 0
    edit = platform.file("# jobs version 1\n" + JOBS + "slots: 6\n")
    assert (await platform.run("publish", edit)).code == 0
    stale = platform.file("# jobs version 1\n" + JOBS + "slots: 9\n")
    done = await platform.run("publish", stale)
    assert done.code == 3
    assert "based on version 1, but version 2 is in force" in done.error
    assert "-slots: 6\n+slots: 9" in done.error
    assert len(platform.texts()) == 2


async def test_edit_without_a_base_is_refused(platform):
    """Guards against an overwrite by a file whose base nobody named."""
    await platform.run("publish", platform.file(JOBS))
    done = await platform.run("publish", platform.file(JOBS + "slots: 6\n"))
    assert (done.code, len(platform.texts())) == (2, 1)
    assert "version 1 of jobs is in force; give the version" in done.error


async def test_same_text_again_changes_nothing(platform):
    """Guards against a script that fails or adds versions when it is run twice."""
    await platform.run("publish", platform.file(JOBS))
    done = await platform.run("publish", platform.file(JOBS), "--json")
    assert json.loads(done.out) == {"section": "jobs", "version": 1, "changed": False}


def appends_together(platform, count):
    """Hold appends until ``count`` have come."""
    waiting = []
    ready = trio.Event()

    async def before(scope):
        if scope["method"] == "POST":
            waiting.append(scope)
            if len(waiting) == count:
                ready.set()
            await ready.wait()

    platform.before = before


async def run_together(platform, *files):
    """Publish files at the same time; return the commands."""
    done = {}

    async def publish(path):
        done[path] = await platform.run("publish", path)

    appends_together(platform, len(files))
    async with trio.open_nursery() as nursery:
        for path in files:
            nursery.start_soon(publish, path)
    return [done[path] for path in files]


async def test_race_of_two_editors_has_one_winner(platform):
    """Guards against two editors who both read the old version and both win."""
    files = [platform.file(JOBS + f"slots: {n}\n", f"{n}.yaml") for n in (1, 2)]
    first, second = await run_together(platform, *files)
    assert sorted((first.code, second.code)) == [0, 3]
    loser = max(first, second, key=lambda done: done.code)
    assert "based on version 0, but version 1 is in force" in loser.error


async def test_race_of_two_teams_has_two_winners(platform):
    """Guards against teams that hinder each other."""
    files = [platform.file(JOBS), platform.file(OTHER, "other.yaml")]
    done = await run_together(platform, *files)
    assert [one.code for one in done] == [0, 0]


async def test_race_for_one_route_has_one_winner(platform):
    """Guards against two sections that both claim a route."""
    rival = platform.file(JOBS.replace("service: jobs", "service: rival"), "r.yaml")
    done = await run_together(platform, platform.file(JOBS), rival)
    assert sorted(one.code for one in done) == [0, 3]
    assert "collides with a route of section" in "".join(one.error for one in done)


async def test_collision_is_refused_at_publish(platform):
    """Guards against a section that takes the route of another one."""
    await platform.run("publish", platform.file(JOBS))
    text = OTHER.replace("/other/", "/jobs/")
    done = await platform.run("publish", platform.file(text))
    assert (done.code, len(platform.texts())) == (3, 1)
    expected = "line 2: $.routes[0]: collides with a route of section 'jobs'"
    assert expected in done.error


async def test_lost_answer_of_an_append_that_took_effect(platform):
    """Guards against a report of failure, or a second version, after a lost answer."""
    platform.log.lose_answers = 1
    done = await platform.run("publish", platform.file(JOBS), "--json")
    assert json.loads(done.out) == {"section": "jobs", "version": 1, "changed": True}
    assert platform.texts() == [JOBS]


async def test_append_that_never_arrives_is_sent_again(platform):
    """Guards against a success that is reported without the section in the log."""
    failed = []

    async def before(scope):
        platform.log.down = scope["method"] == "POST" and not failed
        if platform.log.down:
            failed.append(scope)

    platform.before = before
    done = await platform.run("publish", platform.file(JOBS))
    assert (done.code, platform.texts()) == (0, [JOBS])


async def test_append_that_arrives_late(platform):
    """Guards against a second version by an append that was given up as lost."""
    arrived = trio.Event()
    seen = []

    async def before(scope):
        if scope["method"] == "POST":
            seen.append(scope)
            if len(seen) == 1:
                await arrived.wait()

    platform.before = before
    done = await platform.run("publish", platform.file(JOBS), "--json")
    assert json.loads(done.out) == {"section": "jobs", "version": 1, "changed": True}
    late = decode_record(platform.log.stream("lango.sections")[0][1]).ok_value
    platform.log.put("lango.sections", encode_record(late._replace(id="late")))
    arrived.set()
    done = await platform.run("show", "jobs", "--history", "--json")
    outcomes = [change["outcome"] for change in json.loads(done.out)]
    assert outcomes[:2] == ["in force", "conflict"]


async def test_log_service_down(platform):
    """Guards against a publish that is half done during an outage."""
    platform.log.down = True
    done = await platform.run("publish", platform.file(JOBS))
    assert done.code == 4
    assert f"log service {platform.address} cannot be read: status 503" in done.error
    assert platform.texts() == []


async def test_log_service_lost_during_the_append(platform):
    """Guards against a success or failure that is told although nobody knows."""

    async def before(scope):
        platform.log.down = platform.log.down or scope["method"] == "POST"

    platform.before = before
    done = await platform.run("publish", platform.file(JOBS), "--settle-s", "1")
    assert done.code == 6
    assert "does not tell whether the publish based on version 0" in done.error


async def test_history_tells_what_became_of_each_edit(platform):
    """Guards against a history that hides conflicts and refused sections."""
    await platform.run("publish", platform.file(JOBS), "--author", "asha")
    edit = platform.file(JOBS + "slots: 6\n")
    await platform.run("publish", edit, "--base", "1", "--author", "juma")
    Deployment.publish(_in_log(platform), "jobs", JOBS, 1)
    Deployment.publish(_in_log(platform), "jobs", "service: [", 2)
    done = await platform.run("show", "jobs", "--history", "--json")
    told = [
        (c["version"], c["author"], c["outcome"].split(":")[0])
        for c in json.loads(done.out)
    ]
    assert told == [
        (1, "asha", "superseded"),
        (2, "juma", "in force"),
        (3, "", "conflict"),
        (4, "", "refused"),
    ]
    shown = await platform.run("show", "jobs", "--version", "1")
    assert shown.out == "# jobs version 1\n" + JOBS


def _in_log(platform):
    deployment = Deployment("lango", None)
    deployment.log = platform.log
    return deployment


MISTAKES = [
    ("publish nowhere.yaml", 2, "nowhere.yaml: No such file"),
    ("show other", 2, "no section 'other' is in force"),
    ("show jobs --version 99", 2, "the log holds no version 99 of jobs"),
    ("show --version 1", 2, "give the name of the section"),
    ("owners nobody", 2, "service 'nobody' has no shards"),
    ("explain key", 2, "give --service; keyed services: none"),
    ("status --node 127.0.0.1:9", 4, "node 127.0.0.1:9 cannot be read"),
    ("status --node nowhere", 2, "--node: expected host:port, got 'nowhere'"),
    ("nonsense", 2, "invalid choice: 'nonsense'"),
]


@pytest.mark.parametrize("line, code, message", MISTAKES)
async def test_mistakes_have_a_message_and_an_exit_code(platform, line, code, message):
    """Guards against a traceback for a user's mistake or an unreachable peer."""
    done = await platform.run(*line.split())
    assert done.code == code
    assert message in done.error


@pytest.mark.parametrize("command", ["show", "status"])
async def test_interrupt_is_no_traceback(platform, command):
    """Guards against a traceback when an operator gives up waiting."""
    asked = trio.Event()

    async def before(scope):
        asked.set()
        await trio.sleep_forever()

    platform.before = before
    where = ("--log-address", platform.address, "--deployment", "lango")
    line = [sys.executable, "-m", "jujuberudderctl", command, *where]
    process = await trio.lowlevel.open_process(
        line,
        stderr=subprocess.PIPE,
        # A test run in the background ignores SIGINT, and its children would too.
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
    )
    with trio.fail_after(20):
        await asked.wait()
        process.send_signal(signal.SIGINT)
        error = b"".join([part async for part in process.stderr])
        assert (await process.wait(), error) == (130, b"")


async def test_no_peer_named():
    """Guards against a traceback when neither node nor log service is named."""
    done = await ctl("show")
    assert (done.code, "give --node ADDRESS" in done.error) == (2, True)
