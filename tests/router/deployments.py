"""A small deployment in one process: emulated store and targets, real nodes."""

import json
import socket
from contextlib import asynccontextmanager
from typing import NamedTuple

import trio

from jujuberudder_base import LineLog
from jujuberudder_emulator import Faults, StoreStandin, TargetStandin
from jujuberudder_platform import make_store
from jujuberudder_platform.__main__ import WIRE
from jujuberudder_router import ExchangeError, Pool, Settings, run_node

CONFIGURATION = {
    "version": "00000001",
    "limits": {
        "maxHeaderBytes": 16384, "maxBodyBytes": 1000000, "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    },
    "listeners": [
        {
            "host": "app.example",
            "ruleSet": [
                {
                    "name": f"r-{service}", "routeType": kind, "priority": 1,
                    "targetLatencyS": 1.0, "match": {"pathPrefix": f"/{service}/"},
                    "action": {"service": service, "timeoutS": 3, "attempts": 2},
                }
                for service, kind in (("jobs", "idempotent"), ("orders", "upload"))
            ],
        }
    ],
    "clusters": [
        {"name": "jobs", "sharded": True, "maxConnections": 50},
        {"name": "orders", "maxConnections": 50},
    ],
}  # fmt: skip


def free_addresses(count):
    """Return addresses on loopback that nothing listens on."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{s.getsockname()[1]}" for s in sockets]
    for found in sockets:
        found.close()
    return addresses


class Answer(NamedTuple):
    """What a client was told."""

    status: int
    headers: dict
    body: bytes


class VMStandin:
    """One VM: its node, its target, and its own way to the store."""

    def __init__(self, name, service, deployment):
        self.name, self.service = name, service
        self.faults = Faults()
        self.lines = []
        self.node_scope = self.target_scope = None
        self.stopping = None
        self.target = None
        self._deployment = deployment
        (
            self.client, self.peer, self.ready, self.beats, self.app, self.store,
        ) = free_addresses(6)  # fmt: skip
        self._pool = Pool(self.client, 1.0, 5.0)

    def settings(self):
        """Return the settings of the node."""
        return Settings(
            vm=self.name, zone="z", service=self.service, target_address=self.app,
            client_address=self.client, peer_address=self.peer,
            ready_address=self.ready, beat_address=self.beats,
            store_address=self.store, beat_interval_s=0.2, drain_s=2.0, grace_s=3.0,
            hold_limit_s=10.0, retry_ratio=0.2, retry_window_s=10.0, retry_slack=50,
            memory_mb=300,
        )  # fmt: skip

    def start_node(self):
        """Start the node's process."""
        self.node_scope = scope = trio.CancelScope()
        self.stopping = trio.Event()
        log = LineLog(self.lines.append, vm=self.name)

        async def run():
            with scope:
                await run_node(
                    self.settings(), WIRE, make_store(self.store), log, self.stopping
                )

        self._deployment.nursery.start_soon(run)

    def start_target(self, work_s=0.02, slots=4):
        """Start a new life of the target."""
        self.target_scope = scope = trio.CancelScope()
        self.target = TargetStandin(
            self.service, "z", self.app, self.beats, slots, self.service == "jobs",
            work_s, self._deployment.runs,
        )  # fmt: skip
        target = self.target

        async def run():
            with scope:
                await target.run()

        self._deployment.nursery.start_soon(run)

    async def get(self, path, key=None, method=b"GET", body=b"", deadline_ms=3000):
        """Send a request to this VM's node and return the answer."""
        identity = self._deployment.next_id()
        head = [
            b"%s %s HTTP/1.1" % (method, path.encode()),
            b"Host: app.example",
            b"Jujuberudder-Request-Id: " + identity.encode(),
            b"Jujuberudder-Deadline-Ms: %d" % deadline_ms,
            b"Jujuberudder-Caller-Service: forged",
            b"Content-Length: %d" % len(body),
        ]
        if key is not None:
            head.append(b"Jujuberudder-Shard-Key: %d" % key)
        data = b"\r\n".join(head) + b"\r\n\r\n" + body
        try:
            response = await self._pool.exchange(data, "request")
        except ExchangeError as error:
            return Answer(0, {}, str(error).encode())
        return Answer(response.status, dict(response.headers), response.body)

    async def is_ready(self):
        """Whether the node says that it is ready."""
        try:
            response = await Pool(self.ready, 0.5, 1.0).exchange(
                b"GET /readiness HTTP/1.1\r\nhost: n\r\n\r\n", "readiness"
            )
        except ExchangeError:
            return False
        return response.status == 200


class Deployment:
    """All VMs, the store and what was recorded."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.store = StoreStandin()
        self.runs = []
        self.vms = {}
        self._ids = 0

    def next_id(self):
        """Return a new request id."""
        self._ids += 1
        return f"q{self._ids}"

    def publish(self, configuration):
        """Put a configuration into the store, as the operator does."""
        self.store.put("keyed.op", "config", json.dumps(configuration).encode())

    def add(self, name, service):
        """Start a VM."""
        vm = self.vms[name] = VMStandin(name, service, self)
        self.nursery.start_soon(self.store.serve, vm.store, vm.faults)
        vm.start_target()
        vm.start_node()
        return vm

    async def until(self, check, limit_s=20.0):
        """Wait until a check holds."""
        with trio.fail_after(limit_s):
            while not await check():
                await trio.sleep(0.05)

    async def serves_keys(self, keys=(0, 20000, 40000, 65535)):
        """Whether each VM serves each of some keys."""
        for vm in self.vms.values():
            for key in keys:
                answer = await vm.get("/jobs/x", key=key)
                if answer.status != 200:
                    return False
        return True

    def double_owners(self):
        """Return pairs of runs at two targets on one key that overlap."""
        keyed = [run for run in self.runs if run.fence is not None]
        found = []
        for i, one in enumerate(keyed):
            for two in keyed[i + 1 :]:
                same = one.key == two.key and one.target != two.target
                ends = one.ended if one.ended is not None else float("inf")
                if same and one.started <= two.started < ends:
                    found.append((one, two))
                if same and two.started >= one.started and two.fence <= one.fence:
                    found.append((one, two))
        return found


@asynccontextmanager
async def running(*services):
    """Run a deployment with a VM for each service named."""
    async with trio.open_nursery() as nursery:
        deployment = Deployment(nursery)
        deployment.publish(CONFIGURATION)
        for number, service in enumerate(services):
            deployment.add(f"vm-{number}", service)
        yield deployment
        nursery.cancel_scope.cancel()
