"""A node: the state that its tasks share, and the tasks."""

import random
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import trio

from ._admission import AdmissionQueue
from ._choice import Candidate, sample
from ._client_requests import make_client_handler
from ._follower import Follower
from ._frames import ReadProgress
from ._http import parse_address
from ._keymap import Owner, locate
from ._membership import Membership
from ._metrics import Metrics
from ._ownership import OwnershipManager
from ._peer_links import serve_links
from ._relay import make_relay_handler, with_relays
from ._routes import RetryBudget, TrafficSplitter
from ._server import Server
from ._store import MEMBERSHIP_TOPIC, OPERATOR_TOPIC
from ._target import Target, make_target_handler
from ._types import Limits, Settings

# Least and most seconds that a read of the configuration waits for a record. Other
# nodes tell how far they have read, so a lost answer is noticed sooner.
CONFIG_WAIT_S = (3.0, 10.0)
# The same for reads of the fleet's topic. The waits are drawn: one read renews the
# leases of all nodes that hear of it, so some read should end each second or so.
MEMBERSHIP_WAIT_S = (0.5, 10.0)
# The same where a lease hangs on it: below LEASE_S of the keeper, for a node that hears
# of no other.
LEASE_WAIT_S = (0.5, 6.0)
# Seconds, for each VM, between two reads of membership and owners while records come:
# each record is a call of every node, so their calls would grow with the square of the
# VMs. A VM that gets keys is told at once; others learn it from the VM that had them.
BATCH_DELAY_PER_VM_S = 0.02
# The most of these pauses, in seconds.
BATCH_DELAY_MAX_S = 2.0
# Seconds after SIGTERM in which requests are taken as before: callers notice the
# readiness after two looks, one a second.
STOP_ACCEPTING_S = 2.4
# Seconds before the end of the grace period at which what still runs gets a final
# answer: within its last sixth, with time for the answers to leave.
STOP_ANSWER_S = 0.6
# Seconds before that at which the target takes nothing more of other nodes: most
# requests run for less.
STOP_TARGET_S = 0.8
# Seconds between two looks at what still runs.
STOP_LOOK_S = 0.03
# Failures in a row after which a VM counts as failing, and the seconds that holds.
FAILURES_IN_ROW, EJECTED_S = 3, 2.0

_keymap_encoder = msgspec.msgpack.Encoder()


class Adapter(NamedTuple):
    """How an adapter reads and writes what callers, targets and operators send.

    Parameters
    ----------
    parse_request : callable
        ``parse_request(message) -> Request``; raises ``HttpError``.
    router_response_headers : callable
        ``router_response_headers(request_id, retry_after_s) -> list``.
    target_request_headers : callable
        ``target_request_headers(ask, remaining_s, target_id) -> list``.
    check_response : callable
        ``check_response(response, request_id) -> ResponseCheck``.
    client_response_headers : callable
        ``client_response_headers(headers) -> list``: what a caller gets of a response.
    parse_configuration : callable
        ``parse_configuration(value) -> Configuration``; raises ``ValueError``.
    make_heartbeat_handler : callable
        ``make_heartbeat_handler(node)`` returns the handler of the beat address.
    configuration_key : str
        Key of the configuration in the operator's topic.
    """

    parse_request: Callable
    router_response_headers: Callable
    target_request_headers: Callable
    check_response: Callable
    client_response_headers: Callable
    parse_configuration: Callable
    make_heartbeat_handler: Callable
    configuration_key: str


class Node:
    """State that the tasks of a node share.

    Parameters
    ----------
    settings : Settings
    adapter : Adapter
    store : Store
    log : LineLog
    """

    def __init__(self, settings: Settings, adapter, store, log):
        self.settings = settings
        self.adapter = adapter
        self.log = log
        self.metrics = Metrics()
        self.configuration = None
        self.keymaps = {}
        self.vms = {}
        self.links = {}
        self.splitter = TrafficSplitter()
        self.retry_budget = RetryBudget(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_s
        )
        self._random = random.Random(settings.vm)
        self.jitter = self._random.random
        self.target = Target(settings.target_address)
        self.admission = AdmissionQueue(self.target.holds)
        self.stopping = False
        self.store = with_relays(store, self)
        self.membership = Membership(self, self.store)
        self.membership_follower = Follower(
            self.store,
            MEMBERSHIP_TOPIC,
            self._membership_wait_s,
            self.membership.apply,
            log,
            self._batch_delay_s,
        )
        self.configuration_follower = Follower(
            self.store,
            OPERATOR_TOPIC,
            self._config_wait_s,
            self._apply_configuration,
            log,
        )
        self.ownership = OwnershipManager(self, self.store, self.membership_follower)
        self.direct_store = store
        self.serve = make_target_handler(
            self.target, self.admission, adapter, self._serve_refusal, log, self.metrics
        )
        self._failures = {}
        self.active_scopes = set()
        self.draining = False
        self.drain_deadline = None

    @property
    def config_version(self):
        """Version of the configuration in force; 0 before the first."""
        return self.configuration.version if self.configuration else 0

    @property
    def ready(self):
        """Whether this node may be given new work."""
        return (
            not self.stopping
            and self.configuration is not None
            and self.membership_follower.started
        )

    def limits(self):
        """Return the limits in force for callers."""
        return self.configuration.limits if self.configuration else Limits()

    def is_keyed(self, service):
        """Whether a service is divided by key."""
        found = self.configuration and self.configuration.services.get(service)
        return bool(found and found.keyed)

    def encode_keymap(self, keymap):
        """Return a key map as the value of a record."""
        return _keymap_encoder.encode(keymap)

    def _apply_configuration(self, record):
        if record.key != self.adapter.configuration_key or not record.value:
            return
        try:
            found = self.adapter.parse_configuration(record.value)
        except ValueError as error:
            self.log("configuration_unreadable", offset=record.offset, reason=error)
            return
        if found.version <= self.config_version:
            self.log("configuration_old", version=found.version)
            return
        self.configuration = found
        routes = sum(len(r) for r in found.routes.values())
        self.log(
            "configuration", version=found.version, offset=record.offset,
            routes=routes, services=len(found.services),
        )  # fmt: skip

    def _config_wait_s(self):
        return self._draw(*CONFIG_WAIT_S)

    def _membership_wait_s(self):
        keyed = self.is_keyed(self.settings.service)
        return self._draw(*(LEASE_WAIT_S if keyed else MEMBERSHIP_WAIT_S))

    def _draw(self, least, most):
        return least + self.jitter() * (most - least)

    def _batch_delay_s(self):
        return min(BATCH_DELAY_MAX_S, BATCH_DELAY_PER_VM_S * len(self.vms))

    def read_progress(self):
        """Return how far this node has read the topics."""
        read_at = self.membership_follower.read_at
        age_s = -1.0 if read_at is None else trio.current_time() - read_at
        return ReadProgress(
            self.configuration_follower.end or 0,
            self.membership_follower.end or 0,
            age_s,
        )

    def on_pong(self, progress, sent_at):
        """Take how far another node has read; it told that after ``sent_at``."""
        self._observe_ends(progress)
        if progress.membership_age_s >= 0:
            self.membership_follower.confirm_read(
                progress.membership_end, sent_at - progress.membership_age_s
            )

    def on_ping(self, progress, read_now):
        """Take how far another node has read, and return the same of this one."""
        self._observe_ends(progress)
        if read_now:
            self.membership_follower.read_now()
        return self.read_progress()

    def _observe_ends(self, progress):
        self.configuration_follower.observe_end(progress.operator_end)
        self.membership_follower.observe_end(progress.membership_end)

    def owner_may_change(self, service, key):
        """Whether a key without a reachable owner may soon have one."""
        keymap = self.keymaps.get(service)
        if keymap is None:
            return True
        lost = {vm for vm, _ in keymap.suspicions}
        row = locate(keymap, key)
        if row is None:
            return True
        return row.vm not in lost and row.vm in self.vms

    def _serve_refusal(self, service, key):
        """Return why this node may not serve a request and who may, or None.

        The address of a VM that is gone may be that of a VM of another service.
        """
        if service != self.settings.service:
            return f"this VM belongs to {self.settings.service}, not {service}", ""
        if not self.is_keyed(service):
            return None
        if key is None:
            return "the service is divided by key and the request has none", ""
        keymap = self.keymaps.get(self.settings.service)
        row = locate(keymap, key) if keymap else None
        if row is None:
            return "the key has no owner", ""
        if row.vm != self.settings.vm:
            return "this VM does not own the key", row.vm
        return None

    def accepts_requests(self, vm):
        """Whether a VM is this one, or was heard lately and not to be closed."""
        return vm == self.settings.vm or self._open(vm)

    def unreachable_s(self, vm):
        """Return for how many seconds a VM has been out of touch."""
        link = self.links.get(vm)
        if link is None:
            return trio.current_time() - self.membership.started
        return 0.0 if link.up else link.silent_s

    def owners(self, service):
        """Return the VMs of a keyed service that may be given keys, by name."""
        found = []
        for vm in self.vms.values():
            if vm.service != service or vm.leaving or not vm.target_incarnation:
                continue
            if vm.name == self.settings.vm:
                lost = self.target.is_silent(trio.current_time())
                if (
                    lost
                    or self.target.leaving
                    or vm.target_incarnation != self.target.incarnation
                ):
                    continue
            elif not self._open(vm.name):
                continue
            found.append(Owner(vm.name, vm.target_incarnation))
        return sorted(found)

    def _open(self, vm):
        link = self.links.get(vm)
        return (
            link is not None and link.up and (link.load is None or link.load.accepting)
        )

    def note_result(self, vm, success):
        """Note whether a VM served a request, for the choice of later ones."""
        if success:
            self._failures.pop(vm, None)
            return
        count, _ = self._failures.get(vm, (0, 0.0))
        self._failures[vm] = (count + 1, trio.current_time())

    def _failure_share(self, vm, now):
        count, at = self._failures.get(vm, (0, 0.0))
        if count < FAILURES_IN_ROW or now - at > EJECTED_S:
            return 0.0
        return 0.9

    def candidates(self, service, refused=()):
        """Return the VMs of a service without keys that one request compares.

        Parameters
        ----------
        service : str
        refused : set of str
            VMs that refused the request.
        """
        near, far = [], []
        for vm in self.vms.values():
            if vm.service != service or vm.leaving or not vm.target_incarnation:
                continue
            if vm.name not in refused and self._takes_requests(vm.name):
                (near if vm.zone == self.settings.zone else far).append(vm)
        now = trio.current_time()
        return [
            self._candidate(vm, now) for vm in sample(near, far, self._random.sample)
        ]

    def _takes_requests(self, vm):
        """Whether a VM is known to take requests at present."""
        if vm == self.settings.vm:
            return not self.admission.closed_reason
        link = self.links.get(vm)
        return link is not None and link.up and bool(link.load) and link.load.accepting

    def _candidate(self, vm, now):
        if vm.name == self.settings.vm:
            load, own, age = self.admission.load(), 0, 0.0
        else:
            link = self.links[vm.name]
            load, own, age = link.load, link.in_flight, now - link.load_at
        return Candidate(
            vm.name, vm.zone == self.settings.zone, load.running, load.queued,
            load.slots, load.service_s, own, age, self._failure_share(vm.name, now),
        )  # fmt: skip

    def handle_heartbeat(self, beat):
        """Note a beat of the target on this VM and return the ``Grant``, or None."""
        now = trio.current_time()
        if beat.service != self.settings.service:
            self.log("beat_of_other_service", target=beat.target, service=beat.service)
            return None
        news = self.target.apply_heartbeat(beat, now)
        if news == "old":
            self.log("beat_late", target=beat.target, sequence=beat.sequence)
            return None
        if news == "life":
            self.log("target_life", target=self.target.incarnation, slots=beat.slots)
        self._update_admission()
        self.membership.announce()
        grant = self.ownership.grant(beat, now)
        self.admission.dispatch()
        return grant

    def handle_deregister(self, target_id):
        """Note that a target ends."""
        if target_id != self.target.id:
            return
        self.target.leaving = True
        self.log("target_leaves", target=self.target.incarnation)
        self._update_admission()
        self.membership.announce()

    def _update_admission(self):
        target, admission = self.target, self.admission
        if self.draining:
            return
        if target.leaving:
            if not admission.closed_reason:
                self.log(
                    "gate_closed", target=target.incarnation, reason="target leaves"
                )
            admission.close("the target is leaving")
        elif admission.closed_reason or admission.slots != target.slots:
            admission.open(target.slots)

    async def watch_target(self):
        """Close the gate while beats are missing."""
        while True:
            await trio.sleep(self.settings.beat_interval_s)
            now = trio.current_time()
            if self.target.id and not self.admission.closed_reason:
                if self.target.is_silent(now):
                    self.log("gate_closed", reason="beats are missing")
                    self.admission.close("beats of the target are missing")
                    self.membership.announce()


async def run_node(settings, adapter, store, log, stopping):
    """Run a node until it is told to stop, or until cancelled.

    Parameters
    ----------
    settings, adapter, store, log
        As for ``Node``.
    stopping : trio.Event
        Set when the node is to let its requests end and return.
    """
    node = Node(settings, adapter, store, log)
    log("start", service=settings.service, zone=settings.zone)
    origin = Server(make_client_handler(node), node.limits, log)
    beats = Server(adapter.make_heartbeat_handler(node), Limits, log)
    ready = Server(make_ready_handler(node), Limits, log)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(log.run)
        for server, address in (
            (origin, settings.client_address),
            (beats, settings.beat_address),
            (ready, settings.ready_address),
        ):
            nursery.start_soon(server.serve, parse_address(address))
        nursery.start_soon(
            serve_links, parse_address(settings.peer_address), node.serve,
            make_relay_handler(node), node.admission.load, node.on_ping, log,
        )  # fmt: skip
        nursery.start_soon(node.configuration_follower.run)
        nursery.start_soon(node.membership_follower.run)
        nursery.start_soon(node.ownership.run)
        nursery.start_soon(node.watch_target)
        nursery.start_soon(node.membership.run, nursery)
        await stopping.wait()
        await _stop(node, origin)
        nursery.cancel_scope.cancel()
    log("stop")
    log.flush()


async def _stop(node, origin):
    """Let running requests end, within the grace period.

    Callers see the readiness within two looks; until then all goes on. Then nothing
    new begins, and what is left shortly before the end gets a final answer.
    """
    log, settings = node.log, node.settings
    log("stopping", busy=origin.busy, running=node.admission.running)
    node.stopping = True
    started = trio.current_time()
    await trio.sleep(min(STOP_ACCEPTING_S, settings.grace_s / 2))
    origin.closing = True
    node.drain_deadline = end = started + settings.grace_s - STOP_ANSWER_S
    node.admission.drain_deadline = end
    await _until(end - STOP_TARGET_S, lambda: not origin.busy, origin.close_idle)
    # The target serves other nodes until here, so that its keys wait only shortly.
    node.draining = True
    node.admission.close("the node is stopping")
    node.membership.announce()
    await _until(
        end, lambda: not (origin.busy or node.admission.running), origin.close_idle
    )
    log("stop_answers", busy=origin.busy, running=node.admission.running)
    origin.stop_accepting()
    origin.close_idle()
    for scope in list(node.active_scopes):
        scope.cancel()
    with trio.move_on_after(STOP_ANSWER_S / 2):
        while origin.busy:
            await trio.sleep(STOP_LOOK_S)


async def _until(end, done, act):
    """Act now and then until something is done, or a time is reached."""
    while trio.current_time() < end and not done():
        act()
        await trio.sleep(STOP_LOOK_S)


def make_ready_handler(node):
    """Return the handler of the ready address: readiness, and counters as text."""

    async def handle(message):
        if message.target.startswith(b"/metrics"):
            return 200, [], metrics_text(node).encode()
        return (200 if node.ready else 503), [], b""

    return handle


def metrics_text(node):
    """Return counters, histograms and present values as text."""
    load = node.admission.load()
    return node.metrics.text(
        {
            "target_running": load.running,
            "target_queued": load.queued,
            "target_slots": load.slots,
            "target_usage": round(load.usage, 4),
            "gate_open": int(load.accepting),
            "configuration_version": node.config_version,
            "links_up": sum(link.up for link in node.links.values()),
            "ready": int(node.ready),
        }
    )
