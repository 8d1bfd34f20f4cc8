"""A deployment whose nodes are processes of their own, each behind its own proxies."""

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import httpcore
import msgspec
import trio
import yaml

from jujuberudder import Addresses
from jujuberudder_core import Ownership, decode_record, encode_record, new_id, records

from ._listener import serve_app
from ._logservice import LogStandin
from ._proxy import Network, loopback_prefix
from ._target import TargetStandin

LOG = "log"
ANY = "any"
POLL_S = 0.05
CONNECT_S = 1.0


class NodeProcess(NamedTuple):
    """A node that can be started as a process, and the target beside it."""

    name: str
    service: str
    availability_zone: str
    addresses: Addresses
    target: TargetStandin
    target_address: str
    settings_path: Path
    log_path: Path


class ProcessDeployment:
    """Nodes as processes; log service, targets and proxies in this process.

    Parameters
    ----------
    name : str
    nursery : trio.Nursery
    folder : str
        For settings files and the nodes' log lines.
    seed : int
    links : str
        ``"pairs"`` gives each pair of nodes proxies of its own; ``"shared"`` lets all
        nodes reach a node through the same proxy, which only counts bytes; ``"none"``
        goes without proxies.
    """

    def __init__(self, name, nursery, folder, seed=0, links="pairs"):
        self._name = name
        self._nursery = nursery
        self._folder = Path(folder)
        self._links_kind = links
        self._prefix = loopback_prefix()
        self._processes = {}
        self._pool = httpcore.AsyncConnectionPool(max_connections=200)
        self.network = Network(nursery, seed)
        self.log = LogStandin()
        self.log_address = None
        self.members = {}

    @property
    def history(self):
        """All records of the ownership stream as ``(offset, data)``."""
        return self.log.history(f"{self._name}.ownership")

    def fold(self):
        """Return the fold of the ownership stream as it is now."""
        ownership = Ownership()
        for offset, data in self.history:
            record = decode_record(data)
            if record.is_ok():
                ownership.apply(offset + 1, record.ok_value)
        return ownership

    @property
    def running(self):
        """Names of the nodes whose process has not ended."""
        return [n for n, p in self._processes.items() if p.poll() is None]

    def zone(self, availability_zone):
        """Return the names of the nodes of an availability zone."""
        return [
            name
            for name, member in self.members.items()
            if member.availability_zone == availability_zone
        ]

    async def prepare(self, places, target=TargetStandin, target_address=None):
        """Start log service, targets and proxies, and write the settings files.

        Parameters
        ----------
        places : list of (str, str)
            Service and availability zone of each node.
        target : callable
            Makes the stand-in of a target from its name.
        target_address : str or None
            Address of a target that runs elsewhere; used for all nodes.
        """
        self.log_address = await self._nursery.start(serve_app, self.log.app)
        for number, (service, zone) in enumerate(places):
            await self._add(number, service, zone, target, target_address)
        shared = await self._links(ANY) if self._links_kind == "shared" else {}
        for member in self.members.values():
            pairs = self._links_kind == "pairs"
            overrides = await self._links(member.name) if pairs else shared
            await self._write_settings(member, overrides)

    async def _add(self, number, service, zone, make_target, target_address):
        name = f"{service}-{zone}"
        if name in self.members:
            name = f"{name}{number}"
        host = f"{self._prefix}.{number + 1}"
        target = make_target(name)
        address = target_address or await self._nursery.start(serve_app, target.app)
        self.members[name] = NodeProcess(
            name,
            service,
            zone,
            Addresses(*(f"{host}:{port}" for port in _free_ports(host, 4))),
            target,
            address,
            self._folder / f"{name}.yaml",
            self._folder / f"{name}.log",
        )

    async def _links(self, source):
        """Open proxies to all nodes; return the overrides of addresses."""
        overrides = {}
        for other in self.members.values():
            if other.name == source:
                continue
            for address in (other.addresses.control, other.addresses.request):
                host = f"{self._prefix}.254"
                overrides[address] = await self.network.link(
                    source, other.name, address, host
                )
        return overrides

    async def _write_settings(self, member, overrides):
        target, log = member.target_address, self.log_address
        host = f"{self._prefix}.254"
        if self._links_kind == "pairs":
            place = f"{member.name} target"
            target = await self.network.link(member.name, place, target, host)
        if self._links_kind != "none":
            log = await self.network.link(member.name, LOG, log, host)
        settings = {
            "deployment": self._name,
            "node": member.name,
            "availability_zone": member.availability_zone,
            "service": member.service,
            "target": {"address": target},
            "log_address": log,
            **{f"{k}_address": v for k, v in member.addresses._asdict().items()},
            "address_overrides": overrides,
        }
        member.settings_path.write_text(yaml.safe_dump(settings), encoding="utf-8")

    def publish(self, name, text, base=0):
        """Append a section as an operator's program does; return its version."""
        record = records.Section(new_id(), name, base, text)
        return self.log.put(f"{self._name}.sections", encode_record(record)) + 1

    def start(self, name):
        """Start the process of a node."""
        member = self.members[name]
        binary = Path(sys.executable).with_name("jujuberudder")
        with open(member.log_path, "a", encoding="utf-8") as log:
            self._processes[name] = subprocess.Popen(
                [binary, member.settings_path], stderr=log, stdout=log
            )

    def pid(self, name):
        """Return the process id of a node."""
        return self._processes[name].pid

    def kill(self, name):
        """End a node with SIGKILL."""
        self._processes[name].kill()
        self._processes[name].wait()

    def freeze(self, name):
        """Stop a node's process with SIGSTOP."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        """Let a frozen node go on."""
        self._processes[name].send_signal(signal.SIGCONT)

    async def stop(self, name):
        """Ask a node to leave with SIGTERM; return its exit code."""
        process = self._processes[name]
        process.terminate()
        while process.poll() is None:
            await trio.sleep(POLL_S)
        return process.returncode

    def close(self):
        """End all processes that still run."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    async def view(self, name, path):
        """Return an operator's view of a node, or None if it does not answer."""
        url = f"http://{self.members[name].addresses.operator}{path}"
        timeout = {"connect": CONNECT_S, "read": CONNECT_S, "pool": CONNECT_S}
        try:
            answer = await self._pool.request(
                "GET", url, extensions={"timeout": timeout}
            )
            return msgspec.json.decode(answer.content)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            return None

    async def status(self, name):
        """Return the status of a node, or None if it does not answer."""
        return await self.view(name, "/v1/status")

    async def wait_ready(self, names=None):
        """Wait until nodes hold their leases."""
        for name in names or list(self.members):
            while not (await self.status(name) or {}).get("lease_held"):
                await trio.sleep(POLL_S)


def _free_ports(host, number):
    """Return ports that are free on a loopback address of this deployment's own."""
    sockets = [socket.socket() for _ in range(number)]
    try:
        for one in sockets:
            one.bind((host, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


def memory_bytes(pid):
    """Return the resident memory of a process in bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def processor_s(pid):
    """Return the processor time that a process has used, in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
