"""Drain and shutdown of nodes as real processes."""

import signal

import pytest
import trio
from processes import start_node
from raw_http import (
    OK,
    ScriptedTarget,
    connect,
    get_header,
    read_response,
    send_request,
)

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
    """Node processes with a scripted target each, and a record of all runs."""

    def __init__(self, nursery, folder):
        self._nursery = nursery
        self._folder = folder
        self.log = LogStandin()
        self.log_address = None
        self.targets = {}
        self.nodes = {}
        self.started = []
        self.release = trio.Event()
        self.held = trio.Event()
        self.versions = {}

    async def start(self, members):
        """Start the log service and the nodes and wait until all nodes serve."""
        self.log_address = await self._nursery.start(serve_app, self.log.app)
        for name, text in SECTIONS.items():
            self.publish(name, text)
        for service, zone in members:
            name = f"{service}-{zone}"
            target = ScriptedTarget(self._script(name))
            self.targets[name] = await self._nursery.start(target.serve)
            await self.start_node(service, zone)
        for node in self.nodes.values():
            for service in SECTIONS:
                path = f"/{service}/ready"
                while (await send_request(node.client, "GET", path)).status != 200:
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
            request = get_header(head, "jujuberudder-request-id")
            self.started.append((trio.current_time(), name, path, request))
            remaining_bytes = int(get_header(head, "content-length") or 0)
            while remaining_bytes:
                data = await stream.receive_some(remaining_bytes)
                if not data:
                    return False
                remaining_bytes -= len(data)
            if path.endswith("/held"):
                self.held.set()
                await self.release.wait()
            await stream.send_all(OK)
            return True

        return script


async def send_and_record(node, path, responses, method="POST"):
    """Send a request and record its id and response."""
    request = new_id()
    try:
        request_headers = [("Jujuberudder-Request-Id", request)]
        responses.append(
            (
                request,
                await send_request(node.client, method, path, request_headers, b"x"),
            )
        )
    except OSError:
        # The connection failed, so the request was not sent.
        responses.append((request, None))


async def send_load(fleet, names, stop, responses):
    """Send requests through the named nodes until ``stop`` is set."""
    number = 0
    async with trio.open_nursery() as nursery:
        while not stop.is_set():
            node = fleet.nodes[names[number % len(names)]]
            service = ("jobs", "dispatch")[number // len(names) % 2]
            nursery.start_soon(
                send_and_record, node, f"/{service}/{number % 40}", responses
            )
            number += 1
            await trio.sleep(0.02)


def find_wrong_outcomes(fleet, responses):
    """Return the requests whose outcome does not match their number of runs."""
    runs = [request for _, _, _, request in fleet.started]
    wrong = []
    for request, response in responses:
        ran = runs.count(request)
        if response is None:
            correct = ran == 0
        elif response.outcome == "completed":
            correct = ran == 1 and response.complete and response.status == 200
        else:
            correct = response.outcome == "not-run" and ran == 0
        if not correct:
            wrong.append((request, ran, response))
    return wrong


@pytest.mark.parametrize("how", ["section line", "SIGTERM"])
@pytest.mark.parametrize("service", ["jobs", "dispatch"])
async def test_leaving_target_gets_no_new_work_after_two_seconds(
    service, how, tmp_path
):
    """Guards against sending new work to a target that is leaving."""
    members = [(service, zone) for zone in ZONES]
    members += [(other, "dar-a") for other in SECTIONS if other != service]
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, tmp_path)
        await fleet.start(members)
        leaving, others = f"{service}-dar-a", [f"{service}-dar-b", f"{service}-dar-c"]
        stop, responses = trio.Event(), []
        async with trio.open_nursery() as loading:
            loading.start_soon(send_load, fleet, others, stop, responses)
            await trio.sleep(0.5)
            # A request in progress keeps the leaving node from exiting in the meantime.
            node = fleet.nodes[leaving]
            loading.start_soon(send_and_record, node, f"/{service}/held", responses)
            started_at = trio.current_time()
            if how == "SIGTERM":
                node.process.send_signal(signal.SIGTERM)
            else:
                text = SECTIONS[service] + f"drain: [{leaving}]\n"
                fleet.publish(service, text)
            await trio.sleep(NO_NEW_WORK_S + 1.5)
            fleet.release.set()
            await trio.sleep(0.5)
            stop.set()
        late = [
            path
            for at, name, path, _ in fleet.started
            if name == leaving and at > started_at + NO_NEW_WORK_S
        ]
        assert late == []
        assert find_wrong_outcomes(fleet, responses) == []
        nursery.cancel_scope.cancel()


async def test_shutdown_completes_requests_in_flight(tmp_path):
    """Guards against a shutdown that aborts uploads or requests in progress."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, tmp_path)
        await fleet.start([("jobs", "dar-a"), ("jobs", "dar-b"), ("dispatch", "dar-a")])
        responses, uploads = [], []

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
                uploads.append(await read_response(stream))

        entry = fleet.nodes["dispatch-dar-a"]
        idle = await connect(entry.client)
        await idle.send_all(b"GET /dispatch/1 HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await read_response(idle)).status == 200
        async with trio.open_nursery() as requests:
            # Both an owner and a node that only forwards have requests in progress.
            for node in fleet.nodes.values():
                requests.start_soon(send_and_record, node, "/jobs/held", responses)
                requests.start_soon(upload, node, "/jobs/photo")
            await fleet.held.wait()
            await trio.sleep(0.3)
            leaving = [entry, fleet.nodes["jobs-dar-a"]]
            for node in leaving:
                node.process.send_signal(signal.SIGTERM)
            await trio.sleep(0.3)
            fleet.release.set()
        assert [response.outcome for response in uploads] == ["completed"] * 3
        assert [response.outcome for _, response in responses] == ["completed"] * 3
        with trio.fail_after(20):
            for node in leaving:
                await node.process.wait()
        assert [node.process.returncode for node in leaving] == [0, 0]
        assert await idle.receive_some(10) == b""
        nursery.cancel_scope.cancel()


async def test_keep_alive_connection_is_closed_with_a_header(tmp_path):
    """Guards against closing a connection while the next request is on its way."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, tmp_path)
        await fleet.start([("jobs", "dar-a"), ("dispatch", "dar-a")])
        node = fleet.nodes["dispatch-dar-a"]
        stream = await connect(node.client)
        request = b"GET /jobs/1 HTTP/1.1\r\nHost: a\r\n\r\n"
        await stream.send_all(request)
        assert "connection" not in (await read_response(stream)).headers
        node.process.send_signal(signal.SIGTERM)
        response = None
        with trio.fail_after(10):
            while response is None or "connection" not in response.headers:
                await stream.send_all(request)
                response = await read_response(stream)
                assert (response.status, response.outcome) == (200, "completed")
                await trio.sleep(0.02)
        assert response.headers["connection"] == "close"
        assert await stream.receive_some(10) == b""
        nursery.cancel_scope.cancel()


async def test_rolling_restart_under_load(tmp_path):
    """Guards against wrong outcomes while all nodes restart one after the other."""
    members = [("jobs", zone) for zone in ZONES] + [("dispatch", z) for z in ZONES[:2]]
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, tmp_path)
        await fleet.start(members)
        stop, responses = trio.Event(), []
        async with trio.open_nursery() as loading:
            loading.start_soon(send_load, fleet, list(fleet.nodes), stop, responses)
            for service, zone in members:
                node = fleet.nodes[f"{service}-{zone}"]
                node.process.send_signal(signal.SIGTERM)
                with trio.fail_after(30):
                    await node.process.wait()
                assert node.process.returncode == 0
                await fleet.start_node(service, zone)
                await trio.sleep(0.5)
            stop.set()
        assert find_wrong_outcomes(fleet, responses) == []
        completed = [r for _, r in responses if r is not None and r.status == 200]
        assert len(completed) > len(responses) / 2
        nursery.cancel_scope.cancel()
