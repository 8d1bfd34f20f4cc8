"""Drain and shutdown of nodes as real processes."""

import signal

import pytest
import trio
from processes import start_node
from raw_http import OK, RawTarget, connect, header, read_reply, talk

from jujuberudder_core import encode_record, new_id, records
from jujuberudder_standins import LogStandin, serve_app

SECTIONS = {
    "jobs": """\
service: jobs
routes: [{path_prefix: /jobs/}]
key: {source: path_segment, index: 1}
idempotent_methods: [GET]
deadline_ms: 8000
""",
    "dispatch": """\
service: dispatch
routes: [{path_prefix: /dispatch/}]
idempotent_methods: [GET]
deadline_ms: 8000
""",
}
NO_NEW_WORK_S = 2.0
ZONES = ("dar-a", "dar-b", "dar-c")


class Fleet:
    """Nodes as processes with a raw target each, and a record of all runs."""

    def __init__(self, nursery, folder):
        self._nursery = nursery
        self._folder = folder
        self.log = LogStandin()
        self.log_address = None
        self.targets = {}
        self.nodes = {}
        self.started = []
        self.hold = trio.Event()
        self.held = trio.Event()
        self.versions = {}

    async def start(self, members):
        """Start log service, sections and nodes, and wait until all serve."""
        self.log_address = await self._nursery.start(serve_app, self.log.app)
        for name, text in SECTIONS.items():
            self.publish(name, text)
        for service, zone in members:
            name = f"{service}-{zone}"
            target = RawTarget(self._script(name))
            self.targets[name] = await self._nursery.start(target.serve)
            await self.start_node(service, zone)
        for node in self.nodes.values():
            for service in SECTIONS:
                path = f"/{service}/ready"
                while (await talk(node.client, "GET", path)).status != 200:
                    await trio.sleep(0.05)

    async def start_node(self, service, zone):
        """Start one node."""
        name = f"{service}-{zone}"
        self.nodes[name] = await start_node(
            self._nursery,
            self._folder,
            self.log_address,
            service,
            zone,
            self.targets[name],
        )

    def publish(self, name, text):
        """Publish a section."""
        base = self.versions.get(name, 0)
        record = records.Section(new_id(), name, base, text)
        self.versions[name] = self.log.put("lango.sections", encode_record(record)) + 1

    def _script(self, name):
        async def script(stream, head):
            method, path, _ = head.decode().split(" ", 2)
            request = header(head, "jujuberudder-request-id")
            self.started.append((trio.current_time(), name, path, request))
            left = int(header(head, "content-length") or 0)
            while left:
                data = await stream.receive_some(left)
                if not data:
                    return False
                left -= len(data)
            if path.endswith("/held"):
                self.held.set()
                await self.hold.wait()
            await stream.send_all(OK)
            return True

        return script


async def ask(node, path, replies, method="POST"):
    """Send one request and note its id and reply."""
    request = new_id()
    try:
        given = [("Jujuberudder-Request-Id", request)]
        replies.append((request, await talk(node.client, method, path, given, b"x")))
    except OSError:
        # Not connected: the request was never sent.
        replies.append((request, None))


async def load(fleet, names, stop, replies):
    """Send orders through nodes until told to stop."""
    number = 0
    async with trio.open_nursery() as nursery:
        while not stop.is_set():
            node = fleet.nodes[names[number % len(names)]]
            service = ("jobs", "dispatch")[number // len(names) % 2]
            nursery.start_soon(ask, node, f"/{service}/{number % 40}", replies)
            number += 1
            await trio.sleep(0.02)


def untrue(fleet, replies):
    """Return the replies that are neither completed nor truthfully refused."""
    runs = [request for _, _, _, request in fleet.started]
    wrong = []
    for request, reply in replies:
        ran = runs.count(request)
        if reply is None:
            good = ran == 0
        elif reply.outcome == "completed":
            good = ran == 1 and reply.whole and reply.status == 200
        else:
            good = reply.outcome == "not-run" and ran == 0
        if not good:
            wrong.append((request, ran, reply))
    return wrong


@pytest.mark.parametrize("how", ["section line", "SIGTERM"])
@pytest.mark.parametrize("service", ["jobs", "dispatch"])
async def test_no_new_work_after_two_seconds(service, how, tmp_path):
    """Guards against a leaving target that still gets new work."""
    members = [(service, zone) for zone in ZONES]
    members += [(other, "dar-a") for other in SECTIONS if other != service]
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, tmp_path)
        await fleet.start(members)
        leaving, others = f"{service}-dar-a", [f"{service}-dar-b", f"{service}-dar-c"]
        stop, replies = trio.Event(), []
        async with trio.open_nursery() as loading:
            loading.start_soon(load, fleet, others, stop, replies)
            await trio.sleep(0.5)
            # A request under way keeps a leaving node from ending meanwhile.
            node = fleet.nodes[leaving]
            loading.start_soon(ask, node, f"/{service}/held", replies)
            began = trio.current_time()
            if how == "SIGTERM":
                node.process.send_signal(signal.SIGTERM)
            else:
                text = SECTIONS[service] + f"drain: [{leaving}]\n"
                fleet.publish(service, text)
            await trio.sleep(NO_NEW_WORK_S + 1.5)
            fleet.hold.set()
            await trio.sleep(0.5)
            stop.set()
        late = [
            path
            for at, name, path, _ in fleet.started
            if name == leaving and at > began + NO_NEW_WORK_S
        ]
        assert late == []
        assert untrue(fleet, replies) == []
        nursery.cancel_scope.cancel()


async def test_shutdown_finishes_what_is_in_flight(tmp_path):
    """Guards against uploads, orders and forwarded requests that a shutdown cuts."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, tmp_path)
        await fleet.start([("jobs", "dar-a"), ("jobs", "dar-b"), ("dispatch", "dar-a")])
        replies, uploads = [], []

        async def upload(node, path):
            size = 50
            async with await connect(node.client) as stream:
                head = (
                    f"PUT {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {size * 4096}"
                )
                await stream.send_all(f"{head}\r\n\r\n".encode())
                for _ in range(size):
                    await stream.send_all(b"x" * 4096)
                    await trio.sleep(0.03)
                uploads.append(await read_reply(stream))

        entry = fleet.nodes["dispatch-dar-a"]
        idle = await connect(entry.client)
        await idle.send_all(b"GET /dispatch/1 HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await read_reply(idle)).status == 200
        async with trio.open_nursery() as asking:
            # The owner, and a node that only forwards, both with work under way.
            for node in fleet.nodes.values():
                asking.start_soon(ask, node, "/jobs/held", replies)
                asking.start_soon(upload, node, "/jobs/photo")
            await fleet.held.wait()
            await trio.sleep(0.3)
            leaving = [entry, fleet.nodes["jobs-dar-a"]]
            for node in leaving:
                node.process.send_signal(signal.SIGTERM)
            await trio.sleep(0.3)
            fleet.hold.set()
        assert [reply.outcome for reply in uploads] == ["completed"] * 3
        assert [reply.outcome for _, reply in replies] == ["completed"] * 3
        with trio.fail_after(20):
            for node in leaving:
                await node.process.wait()
        assert [node.process.returncode for node in leaving] == [0, 0]
        assert await idle.receive_some(10) == b""
        nursery.cancel_scope.cancel()


async def test_keep_alive_connection_ends_with_an_announcement(tmp_path):
    """Guards against a connection that ends while its next request is on the way."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, tmp_path)
        await fleet.start([("jobs", "dar-a"), ("dispatch", "dar-a")])
        node = fleet.nodes["dispatch-dar-a"]
        stream = await connect(node.client)
        request = b"GET /jobs/1 HTTP/1.1\r\nHost: a\r\n\r\n"
        await stream.send_all(request)
        assert "connection" not in (await read_reply(stream)).headers
        node.process.send_signal(signal.SIGTERM)
        reply = None
        with trio.fail_after(10):
            while reply is None or "connection" not in reply.headers:
                await stream.send_all(request)
                reply = await read_reply(stream)
                assert (reply.status, reply.outcome) == (200, "completed")
                await trio.sleep(0.02)
        assert reply.headers["connection"] == "close"
        assert await stream.receive_some(10) == b""
        nursery.cancel_scope.cancel()


async def test_rolling_restart_under_load(tmp_path):
    """Guards against requests that fail untruthfully while all nodes restart."""
    members = [("jobs", zone) for zone in ZONES] + [("dispatch", z) for z in ZONES[:2]]
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, tmp_path)
        await fleet.start(members)
        stop, replies = trio.Event(), []
        async with trio.open_nursery() as loading:
            loading.start_soon(load, fleet, list(fleet.nodes), stop, replies)
            for service, zone in members:
                node = fleet.nodes[f"{service}-{zone}"]
                node.process.send_signal(signal.SIGTERM)
                with trio.fail_after(30):
                    await node.process.wait()
                assert node.process.returncode == 0
                await fleet.start_node(service, zone)
                await trio.sleep(0.5)
            stop.set()
        assert untrue(fleet, replies) == []
        completed = [r for _, r in replies if r is not None and r.status == 200]
        assert len(completed) > len(replies) / 2
        nursery.cancel_scope.cancel()
