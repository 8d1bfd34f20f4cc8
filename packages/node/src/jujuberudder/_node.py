"""Assembly of a node; runs its incarnations one after the other."""

import random
from typing import NamedTuple

import trio

from jujuberudder_clients import (
    Drain,
    IdempotencyCache,
    RetryBudget,
    RouteContext,
    TargetSelector,
    make_app,
    serve_http,
    with_request_metrics,
)
from jujuberudder_core import LogReplay, Metrics, Ownership, Sections, make_logger
from jujuberudder_logservice import Follower, LogClient, Writer
from jujuberudder_operators import make_operator_app
from jujuberudder_peers import (
    Channel,
    ControlServer,
    Ended,
    Ping,
    Refused,
    Released,
    Renew,
    Report,
    Seal,
)
from jujuberudder_targets import (
    Admission,
    ConnectionPool,
    Limits,
    TargetHealth,
    run_probes,
)

from ._incarnation import LocalIncarnation, run_incarnation
from ._meter import LoadMeter
from ._metrics import Recorder, observe_node
from ._snapshots import SnapshotStream
from ._views import make_views

# Concurrent connections from one client address, so that one client cannot exhaust the
# file descriptors.
MAX_CLIENT_CONNECTIONS = 512
MIN_RESTART_PAUSE_S = 0.2
START_READ_TIMEOUT_S = 2.0
MAX_RESTART_PAUSE_S = 10.0
# An incarnation that lasted longer resets the pause between restarts.
STABLE_RUN_S = 30.0
STREAMS = ("ownership", "sections")


class Addresses(NamedTuple):
    """Addresses that a node listens on, ``host:port`` each."""

    client: str
    request: str
    control: str
    operator: str


class NodeCore:
    """State that outlives an incarnation: folds, log access, channel to other nodes.

    Parameters
    ----------
    settings : Settings
    client : LogClient or None
    channel : Channel or None
        Both are created from the settings if None.
    """

    def __init__(self, settings, client=None, channel=None):
        self._settings = settings
        self._log = make_logger(node=settings.node)
        self._recorder = Recorder(Metrics(settings.node, settings.availability_zone))
        self._ownership = Ownership()
        self._meter = LoadMeter(lambda: self._ownership.offset, trio.current_time)
        self._sections = Sections()
        self._last_read_at = {}
        self._section_read_at = {}
        self._local_incarnation = None
        self._changed = trio.Event()
        self._client = client or LogClient(settings.log_address)
        streams = [f"{settings.deployment}.{name}" for name in STREAMS]
        self._replay = LogReplay(
            self._ownership, self._apply_ownership, self._on_snapshot_loaded
        )
        self._section_replay = LogReplay(
            self._sections, self._apply_section, self._on_snapshot_loaded
        )
        self._follower = Follower(
            self._client,
            streams[0],
            self._replay_ownership,
            self._log,
            self._replay.note_gap,
        )
        self._section_follower = Follower(
            self._client,
            streams[1],
            self._replay_section,
            self._log,
            self._section_replay.note_gap,
        )
        self._writer = Writer(self._client, self._follower, streams[0])
        self._section_writer = Writer(self._client, self._section_follower, streams[1])
        self._channel = channel or Channel(settings.address_overrides)

    @property
    def settings(self):
        """Settings of the node."""
        return self._settings

    @property
    def log(self):
        """Function ``log(event, **fields)``."""
        return self._log

    @property
    def recorder(self):
        """Recorder of the metrics of this node."""
        return self._recorder

    @property
    def ownership(self):
        """Fold of the ownership stream."""
        return self._ownership

    @property
    def meter(self):
        """Load of the shards of this node."""
        return self._meter

    @property
    def sections(self):
        """Fold of the configuration stream."""
        return self._sections

    @property
    def last_read_at(self):
        """When the newest record about an incarnation was read, by incarnation."""
        return self._last_read_at

    @property
    def follower(self):
        """Follower of the ownership stream."""
        return self._follower

    @property
    def followers(self):
        """Followers of both streams."""
        return (self._follower, self._section_follower)

    @property
    def writer(self):
        """Writer of the ownership stream."""
        return self._writer

    @property
    def channel(self):
        """Channel to other nodes."""
        return self._channel

    @property
    def local_incarnation(self):
        """Current incarnation, or None before the first one."""
        return self._local_incarnation

    def start_incarnation(self):
        """Create a new incarnation and make it the current one."""
        self._local_incarnation = LocalIncarnation(self)
        return self._local_incarnation

    def section_bodies(self):
        """Return the bodies of the sections in force, by service."""
        return {s.body["service"]: s.body for s in self._sections.all.values()}

    def sections_read(self):
        """Return the position up to which the configuration stream was read."""
        return self._section_follower.next

    def declared_destroyed(self, node):
        """Return whether a section in force lists a node as destroyed."""
        return any(
            node in s.body.get("destroyed", ()) for s in self._sections.all.values()
        )

    def destroyed_at(self, incarnation):
        """Return when the section that declares an incarnation destroyed was read.

        Returns None if no section in force lists its node as destroyed. A declaration
        applies only to incarnations that were admitted before they could read it: a
        node that reads such a section is not admitted while it is in force.
        """
        state = self._ownership.incarnations.get(incarnation)
        if state is None:
            return None
        times = [
            self._section_read_at[section.name]
            for section in self._sections.all.values()
            if state.admit.node in section.body.get("destroyed", ())
            and state.admit.sections < section.version
        ]
        return min(times, default=None)

    async def wait_for_change(self):
        """Wait until a record is applied or a shard is received."""
        await self._changed.wait()

    def notify_changed(self):
        """Wake all tasks that wait for a change."""
        self._changed.set()
        self._changed = trio.Event()

    @property
    def snapshot_streams(self):
        """Both streams with what is needed to write their snapshots."""
        return (
            SnapshotStream(self._ownership, self._follower, self._replay, self._writer),
            SnapshotStream(
                self._sections,
                self._section_follower,
                self._section_replay,
                self._section_writer,
            ),
        )

    def complete(self):
        """Return whether both streams were read without missing records."""
        return self._replay.complete and self._section_replay.complete

    def _on_snapshot_loaded(self):
        now = trio.current_time()
        for incarnation in self._ownership.incarnations:
            self._last_read_at[incarnation] = now
        for name in self._sections.all:
            self._section_read_at[name] = now
        self._log("snapshot_loaded", ownership=self._ownership.position)
        self.notify_changed()

    def _replay_ownership(self, position, record):
        effect = self._replay.process(position, record)
        if effect is not None:
            self._writer.observe(position, record, effect)

    def _replay_section(self, position, record):
        effect = self._section_replay.process(position, record)
        if effect is not None:
            self._section_writer.observe(position, record, effect)

    def _apply_ownership(self, offset, record):
        effect = self._ownership.apply(offset, record)
        if effect:
            self._recorder.count_record(record)
            for incarnation in _incarnations_of(record):
                self._last_read_at[incarnation] = trio.current_time()
            if self._local_incarnation is not None:
                self._local_incarnation.observe(offset, record)
        else:
            kind = type(record).__name__.lower()
            self._log("record_superseded", offset=offset, kind=kind)
        self._writer.observe(offset, record, effect)
        self.notify_changed()

    def _apply_section(self, offset, record):
        outcome = self._sections.apply(offset, record)
        if outcome.is_err():
            self._log("section_rejected", offset=offset, error=outcome.err_value)
        else:
            if outcome.ok_value:
                self._section_read_at[record.name] = trio.current_time()
            self._log(
                "section_applied",
                section=getattr(record, "name", ""),
                version=offset,
                effect=outcome.ok_value,
            )
        self.notify_changed()

    async def aclose(self):
        """Close the connections and the metrics."""
        self._channel.close()
        self._recorder.metrics.close()
        with trio.move_on_after(1, shield=True):
            await self._client.aclose()


def _incarnations_of(record):
    """Return the incarnations whose version a record raises."""
    if hasattr(record, "bases"):
        return [base.incarnation for base in record.bases]
    incarnation = getattr(record, "incarnation", None)
    return [incarnation] if incarnation else []


async def run_node(settings, stopping, task_status=trio.TASK_STATUS_IGNORED):
    """Run a node until ``stopping`` is set and its requests in flight have finished.

    Parameters
    ----------
    settings : Settings
    stopping : trio.Event
    task_status : trio.TaskStatus
        Started with the ``Addresses`` once all listeners are open.
    """
    core = NodeCore(settings)
    try:
        async with trio.open_nursery() as nursery:
            await _run(core, stopping, nursery, task_status)
            nursery.cancel_scope.cancel()
    finally:
        await core.aclose()


async def _run(core, stopping, nursery, task_status):
    settings = core.settings
    health = TargetHealth()
    context = _route_context(core, health, nursery)
    observe_node(core, context)
    client_app = with_request_metrics(make_app(context, False), core.recorder.metrics)
    closing = trio.Event()
    nursery.start_soon(context.drain.watch)
    control = ControlServer(settings.control_address, _handlers(core), core.log)
    nursery.start_soon(control.run)
    listeners = (
        (client_app, settings.client_address, MAX_CLIENT_CONNECTIONS),
        (make_app(context, True), settings.request_address, None),
        (make_operator_app(make_views(core, context)), settings.operator_address, None),
    )
    with trio.move_on_after(START_READ_TIMEOUT_S):
        # Without sections, the node would refuse the first requests as unknown paths.
        for follower in core.followers:
            await follower.catch_up()
    async with trio.open_nursery() as serving:
        bound = [
            await serving.start(serve_http, app, address, closing, limit)
            for app, address, limit in listeners
        ]
        addresses = Addresses(bound[0], bound[1], control.address, bound[2])
        core.log("listening", **addresses._asdict())
        task_status.started(addresses)
        nursery.start_soon(run_probes, settings.target.address, health, core.log)
        for follower in core.followers:
            nursery.start_soon(follower.run)
        await _run_incarnations(core, health, addresses, stopping)
        closing.set()


async def _run_incarnations(core, health, addresses, stopping):
    """Run incarnations while the target is up, until the node stops.

    The pause between incarnations doubles up to ``MAX_RESTART_PAUSE_S`` while they end
    early.
    """
    pause_s = MIN_RESTART_PAUSE_S
    while not stopping.is_set():
        started_at = trio.current_time()
        while not health.up and not stopping.is_set():
            with trio.move_on_after(MIN_RESTART_PAUSE_S):
                await health.wait_for_change()
        if stopping.is_set():
            return
        leaving = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_set_after, leaving, stopping.wait)
            nursery.start_soon(_set_after, leaving, health.wait_for_change)
            await run_incarnation(core.start_incarnation(), addresses, leaving)
            nursery.cancel_scope.cancel()
        if trio.current_time() - started_at > STABLE_RUN_S:
            pause_s = MIN_RESTART_PAUSE_S
        with trio.move_on_after(pause_s * random.uniform(0.5, 1.0)):
            await stopping.wait()
        pause_s = min(pause_s * 2, MAX_RESTART_PAUSE_S)


async def _set_after(leaving, wait):
    await wait()
    leaving.set()


def _handlers(core):
    def to_incarnation(kind):
        async def handle(message):
            if core.local_incarnation is None:
                return Refused("no incarnation")
            return await core.local_incarnation.handlers()[kind](message)

        return handle

    kinds = (Renew, Seal, Ping, Ended, Released, Report)
    return {kind: to_incarnation(kind) for kind in kinds}


def _route_context(core, health, nursery):
    settings = core.settings
    admission = Admission(_limits(core), lambda: health.up_since)
    current_incarnation = lambda: (
        core.local_incarnation.incarnation if core.local_incarnation else ""
    )

    return RouteContext(
        incarnation=current_incarnation,
        node=settings.node,
        service=settings.service,
        availability_zone=settings.availability_zone,
        target=settings.target.address,
        ownership=core.ownership,
        sections=core.sections,
        served_shards=lambda: (
            core.local_incarnation.served_shards if core.local_incarnation else None
        ),
        admission=admission,
        target_pool=ConnectionPool(),
        node_pool=ConnectionPool(),
        health=health,
        target_selector=TargetSelector(current_incarnation, lambda: admission.load),
        retry_budget=RetryBudget(),
        idempotency_cache=IdempotencyCache(),
        drain=Drain(lambda: _draining(core)),
        spawn=nursery.start_soon,
        wait_for_change=core.wait_for_change,
        address_overrides=settings.address_overrides,
        log=core.log,
        count_request=core.meter.count_request,
    )


def _limits(core):
    def limits():
        section = core.section_bodies().get(core.settings.service)
        if section is None:
            return Limits(1, 0)
        slots = min(section["slots"], section["connections"])
        slow_start_s = section["slow_start_ms"] / 1000
        return Limits(slots, section["queue"], section["call_slots"], slow_start_s)

    return limits


def _draining(core):
    section = core.section_bodies().get(core.settings.service)
    drained = section is not None and core.settings.node in section["drain"]
    return drained or bool(
        core.local_incarnation and core.local_incarnation.served_shards.leaving
    )
