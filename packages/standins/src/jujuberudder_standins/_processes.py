"""A deployment whose nodes are separate processes that connect through proxies."""

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

LOG_SERVICE = "log"
ANY_NODE = "any"
POLL_INTERVAL_S = 0.05
OPERATOR_TIMEOUT_S = 1.0


class NodeProcess(NamedTuple):
    """A node that can be started as a process, and its local target.

    Parameters
    ----------
    name, service, availability_zone : str
    addresses : Addresses
        Addresses that the node listens on.
    target : TargetStandin
        Unused if ``target_address`` is that of an external target.
    target_address : str
        Address of the target, host:port.
    settings_path, log_path : Path
        Settings file and log file of the node.
    """

    name: str
    service: str
    availability_zone: str
    addresses: Addresses
    target: TargetStandin
    target_address: str
    settings_path: Path
    log_path: Path


class ProcessDeployment:
    """Run nodes as processes, and log service, targets and proxies in this process.

    Parameters
    ----------
    name : str
        Name of the deployment.
    nursery : trio.Nursery
        Runs the servers and proxies in this process.
    folder : str
        Folder for the settings files and the nodes' log files.
    seed : int
        Seed of the network faults.
    links : str
        ``"pairs"`` opens separate proxies for each pair of nodes; ``"shared"`` opens
        proxies per destination node that all other nodes use and that only count
        bytes; ``"none"`` opens no proxies.
    """

    def __init__(self, name, nursery, folder, seed=0, links="pairs"):
        self._name = name
        self._nursery = nursery
        self._folder = Path(folder)
        self._proxy_mode = links
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
        """Return the current ownership state, replayed from the ownership stream."""
        ownership = Ownership()
        for offset, data in self.history:
            record = decode_record(data)
            if record.is_ok():
                ownership.apply(offset + 1, record.ok_value)
        return ownership

    @property
    def running(self):
        """Names of the nodes whose process is running."""
        return [n for n, p in self._processes.items() if p.poll() is None]

    def zone(self, availability_zone):
        """Return the names of the nodes of an availability zone."""
        return [
            name
            for name, member in self.members.items()
            if member.availability_zone == availability_zone
        ]

    async def prepare(self, node_specs, make_target=TargetStandin, target_address=None):
        """Start the log service, targets and proxies, and write the settings files.

        Parameters
        ----------
        node_specs : list of (str, str)
            Service and availability zone of each node.
        make_target : callable
            Creates the stand-in of a target from its name.
        target_address : str or None
            Address, host:port, of an external target that all nodes use instead.
        """
        self.log_address = await self._nursery.start(serve_app, self.log.app)
        for number, (service, zone) in enumerate(node_specs):
            await self._add_node(number, service, zone, make_target, target_address)
        shared = (
            await self._open_proxies(ANY_NODE) if self._proxy_mode == "shared" else {}
        )
        for member in self.members.values():
            pairs = self._proxy_mode == "pairs"
            overrides = await self._open_proxies(member.name) if pairs else shared
            await self._write_settings(member, overrides)

    async def _add_node(self, number, service, zone, make_target, target_address):
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

    async def _open_proxies(self, source):
        """Open proxies to all other nodes and return the address overrides."""
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
        if self._proxy_mode == "pairs":
            destination = f"{member.name} target"
            target = await self.network.link(member.name, destination, target, host)
        if self._proxy_mode != "none":
            log = await self.network.link(member.name, LOG_SERVICE, log, host)
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
        """Append a section to the log, as a publish does, and return its version."""
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
        """Kill a node with SIGKILL and wait until its process has ended."""
        self._processes[name].kill()
        self._processes[name].wait()

    def freeze(self, name):
        """Suspend a node's process with SIGSTOP."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        """Resume a suspended node with SIGCONT."""
        self._processes[name].send_signal(signal.SIGCONT)

    async def stop(self, name):
        """Stop a node gracefully with SIGTERM and return its exit code."""
        process = self._processes[name]
        process.terminate()
        while process.poll() is None:
            await trio.sleep(POLL_INTERVAL_S)
        return process.returncode

    def close(self):
        """Kill all running processes."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    async def view(self, name, path):
        """Return a view from a node's operator API, or None if it does not respond."""
        url = f"http://{self.members[name].addresses.operator}{path}"
        timeout = {
            "connect": OPERATOR_TIMEOUT_S,
            "read": OPERATOR_TIMEOUT_S,
            "pool": OPERATOR_TIMEOUT_S,
        }
        try:
            response = await self._pool.request(
                "GET", url, extensions={"timeout": timeout}
            )
            return msgspec.json.decode(response.content)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            return None

    async def status(self, name):
        """Return the status of a node, or None if it does not respond."""
        return await self.view(name, "/v1/status")

    async def wait_ready(self, names=None):
        """Wait until the named nodes, by default all, hold their leases."""
        for name in names or list(self.members):
            while not (await self.status(name) or {}).get("lease_held"):
                await trio.sleep(POLL_INTERVAL_S)


def _free_ports(host, number):
    """Return free ports on a loopback address that only this deployment uses."""
    sockets = [socket.socket() for _ in range(number)]
    try:
        for listener in sockets:
            listener.bind((host, 0))
        return [listener.getsockname()[1] for listener in sockets]
    finally:
        for listener in sockets:
            listener.close()


def memory_bytes(pid):
    """Return the resident memory of a process in bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def processor_s(pid):
    """Return the processor time used by a process, in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
