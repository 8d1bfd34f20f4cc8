"""Simulated log service and network with fault injection, for a simulated clock."""

import random

import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from jujuberudder import Addresses
from jujuberudder._node import NodeCore, _handlers, _run_incarnations
from jujuberudder_core import (
    Failure,
    Settings,
    TargetSettings,
    decode_record,
    encode_record,
    records,
)
from jujuberudder_logservice import Batch, Entry
from jujuberudder_peers._messages import decode_message, encode_message
from jujuberudder_targets import TargetHealth

LOG = "log"
DELAY_S = 0.004
LATE_S = 3.0
APPEND_TIMEOUT_S = 1.0
POLL_S = 0.02
CHECK_S = 0.02
SECTION = records.Section(
    "s",
    "jobs",
    0,
    "{service: jobs, routes: [{path_prefix: /}], initial_shard_bits: 2, "
    "key: {source: query, name: k}}",
)
LEAVES = [format(n, "04b").ljust(64, "0") for n in range(16)]


class FakeLog:
    """In-memory log service.

    Attributes
    ----------
    streams : dict of str to list of bytes
    first : dict of str to int
        Oldest retained offset of each stream.
    appends : int
        Number of appended records.
    """

    def __init__(self):
        self.streams = {}
        self.first = {}
        self.appends = 0

    def put(self, stream, data):
        """Append a record and return its offset."""
        self.streams.setdefault(stream, []).append(data)
        self.appends += 1
        return len(self.streams[stream]) - 1

    def expire(self, stream, keep=0):
        """Remove all but the newest ``keep`` records, as retention does."""
        self.first[stream] = max(0, len(self.streams[stream]) - keep)

    def batch(self, stream, offset):
        """Return the retained records from an offset on."""
        data, first = self.streams.get(stream, []), self.first.get(stream, 0)
        start = max(first, offset)
        entries = [Entry(n, d) for n, d in enumerate(data[start:], start)]
        return Batch(first, len(data), entries)


class Host:
    """A simulated VM: the log client and the control channel of its node."""

    address = LOG

    def __init__(self, cluster, name, zone):
        self.cluster = cluster
        self.name = name
        self.zone = zone
        self.core = None
        self.scope = None
        self.stopping = None
        self.thawed = trio.Event()
        self.thawed.set()

    async def transfer(self, peer):
        """Wait for the delay of a message to or from a peer; return if it arrives."""
        await self.thawed.wait()
        delay = self.cluster.delay_s()
        await trio.sleep(delay + (self.cluster.log_delay_s if peer == LOG else 0))
        return not self.cluster.drops_message(self.name, peer)

    async def append(self, stream, data):
        """Append a record, subject to injected faults of the log service."""
        log = self.cluster.log
        if not await self.transfer(LOG):
            return Err(Failure("append", LOG, "cut"))
        outcome = self.cluster.append_outcome()
        if outcome == "late":
            self.cluster.start(self._append_late, stream, data)
        elif outcome != "refused":
            offset = log.put(stream, data)
        response_arrived = await self.transfer(LOG)
        await self.thawed.wait()
        if outcome == "done" and response_arrived:
            return Ok(offset)
        await trio.sleep(APPEND_TIMEOUT_S)
        return Err(Failure("append", LOG, "no answer", True))

    async def _append_late(self, stream, data):
        await trio.sleep(random.uniform(0, LATE_S))
        self.cluster.log.put(stream, data)

    async def read(self, stream, offset, wait_s=0.0):
        """Read records, subject to injected faults of the log service."""
        if not await self.transfer(LOG):
            return Err(Failure("read", LOG, "cut"))
        batch = self.cluster.log.batch(stream, offset)
        until = trio.current_time() + wait_s
        while not batch.records and trio.current_time() < until:
            await trio.sleep(POLL_S)
            batch = self.cluster.log.batch(stream, offset)
        if self.cluster.faulty and random.random() < 0.1:
            stale = random.randint(0, len(batch.records))
            batch = Batch(batch.first, offset + stale, batch.records[:stale])
        if not await self.transfer(LOG):
            return Err(Failure("read", LOG, "cut"))
        await self.thawed.wait()
        return Ok(batch)

    async def call(self, address, message, timeout_s=0.5):
        """Send a control message, subject to injected faults of the network."""
        replies = []
        arrived = trio.Event()
        copies = 1 + (self.cluster.faulty and random.random() < 0.05)
        for _ in range(copies):
            self.cluster.start(self._deliver, address, message, replies, arrived)
        with trio.move_on_after(timeout_s):
            await arrived.wait()
        await self.thawed.wait()
        return replies[0] if replies else Err(Failure("call", address, "no reply"))

    async def _deliver(self, address, message, replies, arrived):
        host = self.cluster.hosts.get(address.split(":")[0])
        if not await self.transfer(host.name):
            return
        await host.thawed.wait()
        if host.core is None or host.core.local_incarnation is None:
            return
        data = decode_message(encode_message(message), self.name).ok_value
        reply = await _handlers(host.core)[type(data)](data)
        if await host.transfer(self.name):
            replies.append(Ok(reply))
            arrived.set()

    async def aclose(self):
        """Close nothing."""

    def close(self):
        """Close nothing."""

    async def run(self):
        """Run the node until its scope is cancelled or it has left."""
        settings = Settings(
            "sim", self.name, self.zone, "jobs", TargetSettings("t:1"), LOG
        )
        self.core = NodeCore(settings, self, self)
        self.scope, self.stopping = trio.CancelScope(), trio.Event()
        health = TargetHealth()
        health.record_result(True)
        addresses = Addresses(*(f"{self.name}:{port}" for port in range(4)))
        with self.scope:
            async with trio.open_nursery() as nursery:
                for follower in self.core.followers:
                    nursery.start_soon(follower.run)
                await _run_incarnations(self.core, health, addresses, self.stopping)
                nursery.cancel_scope.cancel()
        self.core = None


class Cluster:
    """Simulated hosts and log, with the faults injected between them.

    ``cuts`` contains the pairs of peers between which no message arrives.
    """

    def __init__(self, nursery, zones):
        self._nursery = nursery
        self.log = FakeLog()
        self.faulty = False
        self.log_delay_s = 0.0
        self.cuts = set()
        self.hosts = {}
        self.log.put("sim.sections", encode_record(SECTION))
        for number, zone in enumerate(zones):
            self.start(self.add(f"n{number}", zone).run)

    def add(self, name, zone):
        """Add a host and return it."""
        self.hosts[name] = Host(self, name, zone)
        return self.hosts[name]

    def start(self, *task):
        """Start a task."""
        self._nursery.start_soon(*task)

    def drops_message(self, name, peer):
        """Return whether a message sent now between two peers is dropped."""
        dropped = self.faulty and LOG not in (name, peer) and random.random() < 0.03
        return dropped or frozenset((name, peer)) in self.cuts

    def delay_s(self):
        """Return the delay of one message."""
        if self.faulty and random.random() < 0.02:
            return random.uniform(0, LATE_S)
        return random.uniform(0, DELAY_S)

    def append_outcome(self):
        """Return the simulated outcome of an append."""
        outcomes = ["done"] * 16 + ["late", "lost answer", "refused"]
        return random.choice(outcomes) if self.faulty else "done"

    def running(self):
        """Return the hosts whose node has an incarnation."""
        hosts = self.hosts.values()
        return [
            h
            for h in hosts
            if h.core is not None and h.core.local_incarnation is not None
        ]

    def serving(self, bits):
        """Return ``(host, epoch)`` of all nodes that serve a key hash now."""
        owners = []
        for host in self.running():
            prefix = host.core.ownership.find("jobs", bits)
            if prefix is None:
                continue
            epoch = host.core.local_incarnation.served_shards.finishing_epoch(
                "jobs", prefix
            )
            if epoch is not None:
                owners.append((host.name, epoch))
        return owners

    def heal(self):
        """End all faults and restart the hosts whose node does not run."""
        self.faulty = False
        self.cuts.clear()
        for host in self.hosts.values():
            host.thawed.set()
            if host.core is None:
                self.start(host.run)

    def newest(self):
        """Return the core of the node with the greatest read progress, or None."""
        cores = [host.core for host in self.running()]
        return max(cores, key=lambda core: core.follower.next, default=None)

    def records(self):
        """Return the decoded records of the ownership stream."""
        return [
            decode_record(d).ok_value for d in self.log.streams.get("sim.ownership", [])
        ]


class Checker:
    """Checks that no key has two owners and that epochs never decrease."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._epochs = dict.fromkeys(LEAVES, (0, None))

    def check(self):
        """Raise AssertionError if a key has two owners or its epoch decreased."""
        for bits in LEAVES:
            owners = self._cluster.serving(bits)
            assert len(owners) <= 1, f"two owners of {bits[:4]}: {owners}"
            for host, epoch in owners:
                last, last_owner = self._epochs[bits]
                assert epoch >= last, f"epoch {epoch} at {host} after {last}"
                assert epoch > last or last_owner in (None, host), (
                    f"same epoch as {last_owner}"
                )
                self._epochs[bits] = (epoch, host)

    async def run(self):
        """Check repeatedly until cancelled."""
        while True:
            self.check()
            await trio.sleep(CHECK_S)

    def served(self):
        """Return whether all keys are served."""
        return all(self._cluster.serving(bits) for bits in LEAVES)


def seeded(test):
    """Seed all random sources, trio's scheduler included, for one run of a test."""
    return settings(max_examples=1)(given(_=st.none())(test))


def simulate(main, *args):
    """Run an async function under a clock that jumps to the next deadline."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, *args, clock=clock)
