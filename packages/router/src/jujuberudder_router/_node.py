"""Node of the router: the state shared by its tasks, and the tasks themselves."""

import math
import random
import time
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import trio

from ._admission import EVACUATED, AdmissionQueue
from ._choice import Candidate, sample
from ._client_requests import (
    make_body_admission,
    make_client_handler,
    make_run_ahead_check,
)
from ._cold_rate import (
    ColdTarget,
    check_health_while_unsettled,
    dispatch_while_cold,
)
from ._directory import Directory
from ._era import keeps_missing
from ._evacuation import Evacuations, watch_evacuations
from ._explain import explain, parse_query, take_view
from ._follower import Follower
from ._frames import LeavingNotice, Ping, ReadProgress
from ._grant_calls import GrantCaller
from ._hedging import Hedging
from ._http import parse_address
from ._kept_leavings import KeptLeavings, enough_keepers
from ._keymap import Owner, locate, suspicion_of
from ._link_pacing import LinkPacer
from ._loads import LoadTable
from ._membership import Membership
from ._memory import MemoryAccount, body_limit
from ._metrics import Metrics
from ._ownership import SUSPECT_AFTER_S, TAKEOVER_DELAY_S, OwnershipManager
from ._peer_link import LinkCallbacks, PeerLink
from ._peer_server import PeerHandlers, serve_links
from ._peers import Peers
from ._process_memory import watch_memory
from ._rate_limit import RateLimiter
from ._reading import Situation, read_delay
from ._relay import make_relay_handler, with_relays
from ._routes import RetryBudget, TrafficSplitter
from ._server import STOP_POLL_S, Server
from ._service_room import EntryRoom, TargetRoom
from ._sharing import RecordSharing
from ._speeds import SpeedTable, draw_by_weight, reported_factor
from ._status import key_status, node_status
from ._store import MEMBERSHIP_TOPIC, OPERATOR_TOPIC
from ._target import (
    Target,
    find_mismatch,
    is_plausible_start,
    make_target_handler,
)
from ._types import KEY_COUNT, Limits, Settings

# Minimum and maximum time that a read of the configuration topic waits for a record.
# All connections to the store may go silent at once, so that no other node notices a
# version either. The longest wait, the delay between two reads and the time after which
# the adapter repeats a read are together below the 3 s within which a VM has to be in
# touch again.
CONFIG_WAIT_S = (1.0, 1.5)
# The same for the membership topic: the age of such a read, which begins when it is
# sent, limits the leases of all nodes.
MEMBERSHIP_WAIT_S = (0.3, 0.6)
# Delay per VM between two reads of the membership topic while records arrive, and its
# upper limit: each is a store call of every node that reads for others.
BATCH_DELAY_PER_VM_S, BATCH_DELAY_MAX_S = 0.01, 0.25
# Delay between two reads of the configuration topic while versions arrive, which bounds
# the load on the store: a version of 26 KB is read by every node. The users' bound for
# a version to be in force is 2 s.
CONFIG_BATCH_DELAY_S = 0.3
# Time after SIGTERM during which the node accepts requests as before: clients detect
# the failing readiness check after two probes, one per second.
STOP_ACCEPTING_S = 2.4
# Time before the end of the grace period at which unfinished requests get a final
# response: within the last sixth of the period, with time to send the responses.
STOP_FINAL_RESPONSE_S = 0.6
# Time before the final responses at which the target stops accepting requests from
# other nodes: most requests take less.
STOP_TARGET_MARGIN_S = 0.8
# Consecutive failures after which a VM counts as failing, and the time since the last
# one for which it does.
EJECTION_FAILURES, EJECTION_S = 3, 2.0
# Loads of other VMs of a keyed service that are passed on with a ping.
REPORTED_LOADS = 6
# Limits on requests of the target's heartbeats and of readiness probes. A heartbeat
# lists at most a few key ranges of 30 bytes each.
CONTROL_LIMITS = Limits(body_bytes=1048576)
# Longest wait of a target that is leaving for the write of the membership entry that
# says so: it counts a response after 1 s as none.
LEAVING_WRITE_S = 0.5
# Part of that time in which other VMs may say that they keep it, while the store does
# not take the entry.
LEAVING_KEEP_S = 0.3
# Share of the retry budget that the nodes use: one that starts again does not know what
# its earlier process spent in the window.
RETRY_BUDGET_SHARE = 0.9
# Interval of the log lines with the times of each route, in seconds, and the maximum
# number of routes in them: the busiest ones.
ROUTE_TIMES_INTERVAL_S, MAX_LOGGED_ROUTES = 5.0, 10

_keymap_encoder = msgspec.msgpack.Encoder()


class Adapter(NamedTuple):
    """Functions that parse and encode the messages of clients, targets and operators.

    Parameters
    ----------
    parse_request : callable
        ``parse_request(message) -> Request``; raises ``HttpError``.
    router_response_headers : callable
        ``router_response_headers(request_id, retry_after_s) -> list``.
    target_request_headers : callable
        ``target_request_headers(request, remaining_s, target_id) -> list``.
    check_response : callable
        ``check_response(response, request_id) -> ResponseCheck``.
    client_response_headers : callable
        ``client_response_headers(headers) -> list``: the headers of a target's response
        that the client receives.
    parse_configuration : callable
        ``parse_configuration(value) -> Configuration``; raises ``ValueError``.
    make_heartbeat_handler : callable
        ``make_heartbeat_handler(node)`` returns the handler of the heartbeat address.
    make_grant_calls : callable
        ``make_grant_calls(target_address)`` returns ``GrantCalls``.
    configuration_key : str
        Key of the configuration record in the operator topic.
    evacuated_zone : callable
        ``evacuated_zone(key)`` returns the availability zone that a record with this
        key in the operator topic evacuates while its value is not empty, or None.
    health_cold_s : callable
        ``health_cold_s(response)`` returns for how many more seconds the target is cold
        according to its response to a health check, or None if it does not tell.
    """

    parse_request: Callable
    router_response_headers: Callable
    target_request_headers: Callable
    check_response: Callable
    client_response_headers: Callable
    parse_configuration: Callable
    make_heartbeat_handler: Callable
    make_grant_calls: Callable
    configuration_key: str
    evacuated_zone: Callable = lambda key: None
    health_cold_s: Callable = lambda response: None


class Node:
    """State shared by the tasks of a node.

    Parameters
    ----------
    settings : Settings
    adapter : Adapter
    store : Store
    log : LineLog

    Attributes
    ----------
    configuration : Configuration or None
        None until the first configuration is read.
    keymaps : dict of str to KeyMap
        Newest key map of each keyed service.
    vms : Directory
        Membership entries of all VMs, this one included.
    peers : Peers
        Links to other VMs.
    hedging : Hedging or None
        None if no request is sent a second time because its response is late.
    loads : LoadTable
        Last known loads of other VMs.
    speeds : SpeedTable
        Service times that other VMs stated, by route.
    account : MemoryAccount
        Bytes held for clients, other nodes and the target.
    pacer : LinkPacer
        Rate at which long bodies are sent to other nodes.
    leavings : KeptLeavings
        Leaving targets that the store may not have yet.
    store, direct_store : Store
        Store whose calls may be relayed through another node, and without relays.
    active_scopes : set of trio.CancelScope
        Scopes of the client requests in progress.
    peer_streams : set of FrameStream
        Open connections of other nodes to this one.
    stopping : bool
        Whether SIGTERM was received, so that the node reports that it is not ready.
    draining : bool
        Whether the admission queue is closed because the node stops.
    drain_deadline : float or None
        Time on the node's clock, in seconds, at which unfinished requests get a final
        response; None until the node rejects requests that may outlast it.
    entry_room : EntryRoom or None
        Decides on requests that begin here, where kinds of requests compete.
    resident_bytes : int
        Resident memory of this process; 0 before it is read.
    """

    def __init__(self, settings: Settings, adapter, store, log):
        self.settings = settings
        self.adapter = adapter
        self.log = log
        self.metrics = Metrics()
        self.configuration = None
        self.keymaps = {}
        self.vms = Directory()
        self.loads = LoadTable()
        self.speeds = SpeedTable(self._slots_of, log)
        self.splitter = TrafficSplitter()
        self.retry_budget = RetryBudget(
            RETRY_BUDGET_SHARE * settings.retry_ratio,
            RETRY_BUDGET_SHARE * settings.retry_slack,
            settings.retry_window_s,
        )
        self.hedging = Hedging(settings.hedging) if settings.hedging else None
        self._unix_time = time.time
        self._random = random.Random(settings.vm)
        self.jitter = self._random.random
        self.account = MemoryAccount(body_limit(settings.memory_bytes), log)
        self.pacer = LinkPacer(settings.link_bytes_per_s)
        self.target = Target(settings.target_address)
        room, self.entry_room = self._make_rooms()
        self.admission = AdmissionQueue(
            self.target.held.covers, self.target.held.distrusted_s, room
        )
        self.cold_target = ColdTarget(
            settings.cold_rate_factor, settings.cold_rate_slack, log, self.metrics
        )
        self.evacuations = Evacuations(settings.zone, settings.evacuation_s)
        self._ignored_operator_keys = set()
        self.stopping = False
        self.store = with_relays(store, self)
        self.leavings = KeptLeavings()
        self.membership = Membership(self, self.store)
        self.peers = Peers(
            settings.vm, settings.zone, settings.service, self.vms, self._make_link,
            self._is_known_keyed, self._is_suspected,
            lambda: self.membership_follower.started,
            lambda vms: self.sharing.set_sources(vms),
            lambda zone: zone in self.evacuations,
        )  # fmt: skip
        self.membership_follower = Follower(
            self.store, MEMBERSHIP_TOPIC, self._membership_wait_s,
            self.membership.apply, log, self._batch_delay_s, self._read_delay_s,
            lambda: self.sharing.publish(MEMBERSHIP_TOPIC), self.jitter, self._on_era,
        )  # fmt: skip
        self.configuration_follower = Follower(
            self.store, OPERATOR_TOPIC, self._configuration_wait_s,
            self._apply_configuration, log, lambda: CONFIG_BATCH_DELAY_S,
            self._read_delay_s, lambda: self.sharing.publish(OPERATOR_TOPIC),
            self.jitter, self._on_era,
        )  # fmt: skip
        self.sharing = RecordSharing(
            self.configuration_follower, self.membership_follower, lambda: self.links
        )
        self.ownership = OwnershipManager(self, self.store, self.membership_follower)
        self.grant_caller = GrantCaller(
            self, self.ownership, adapter.make_grant_calls(settings.target_address)
        )
        self.direct_store = store
        self.serve = make_target_handler(
            self.target, self.admission, adapter, self._serve_refusal,
            self._handle_leaving_response, self.grant_caller.check_now, log,
            self.metrics, self.pacer,
        )  # fmt: skip
        # VMs that the key map of the own service lists as suspected.
        self._suspects = set()
        # VM to its number of consecutive failures and the time of the last one.
        self._failures = {}
        self.active_scopes = set()
        self.peer_streams = set()
        self.draining = False
        self.drain_deadline = None
        self.resident_bytes = 0

    def _make_rooms(self):
        """Return the ``TargetRoom`` and ``EntryRoom``, None where no kinds compete."""
        if not self.settings.kinds_compete:
            return None, None
        room = TargetRoom(self.jitter, self.metrics, self.log)
        entry_room = EntryRoom(
            room,
            self._load_reports,
            lambda service: (len(self.vms.of_service(service)), len(self.vms)),
            self.jitter,
            self.metrics,
            self.log,
        )
        return room, entry_room

    @property
    def links(self):
        """Links to other VMs by name."""
        return self.peers.links

    def _make_link(self, vm):
        return PeerLink(
            vm,
            self.membership.hello(vm.name),
            LinkCallbacks(
                self.peers.ping_interval_s, self._make_ping, self._on_connect,
                self.on_pong, self.sharing.on_update, self._on_load, self.log,
                self.account, self.pacer,
            ),
        )  # fmt: skip

    def _make_ping(self, vm, sent_at):
        """Return a ping; a VM of the same keyed service gets loads with it."""
        entry, service, reports = self.vms.get(vm), self.settings.service, []
        if entry is not None and entry.service == service and self.is_keyed(service):
            names = [other.name for other in self.vms.of_service(service)]
            reports = self.loads.reports(names, REPORTED_LOADS, sent_at)
        return Ping(sent_at, self.read_progress(), self.admission.load(), reports)

    def _on_load(self, vm, load):
        if load is None:
            self.loads.forget(vm)
            self.speeds.forget(vm)
        else:
            self.loads.record(vm, load, trio.current_time())

    def _is_suspected(self, vm):
        """Whether the key map of this VM's service lists a suspicion against a VM."""
        keymap = self.keymaps.get(self.settings.service)
        return keymap is not None and suspicion_of(keymap, vm) is not None

    @property
    def config_version(self):
        """Version of the configuration in force; 0 before the first one."""
        return self.configuration.version if self.configuration else 0

    @property
    def ready(self):
        """Whether clients may send new requests to this node."""
        return (
            not self.stopping
            and self.configuration is not None
            and self.membership_follower.started
        )

    def limits(self):
        """Return the limits in force for client connections."""
        return self.configuration.limits if self.configuration else Limits()

    def is_keyed(self, service):
        """Whether a service is divided by key."""
        entry = self.configuration and self.configuration.services.get(service)
        return bool(entry and entry.keyed)

    def _is_known_keyed(self, service):
        """Whether a service is divided by key; None before the first configuration."""
        return None if self.configuration is None else self.is_keyed(service)

    @property
    def grants_by_call(self):
        """Whether the target is granted keys by calls, not by heartbeat responses."""
        entry = self.configuration and self.configuration.services.get(
            self.settings.service
        )
        if entry is None or entry.grants_by_call is None:
            return self.settings.grants_by_call
        return entry.grants_by_call

    def encode_keymap(self, keymap):
        """Return a key map encoded as the value of a record."""
        return _keymap_encoder.encode(keymap)

    @property
    def era(self):
        """Era of the store in which the membership topic was last read."""
        return self.membership_follower.era

    @property
    def era_changed(self):
        """Whether this process has read the membership topic in an earlier era."""
        return self.membership_follower.era_changed

    def keeps_missing_operator_records(self):
        """Whether what is missing in the operator topic still counts in a new era."""
        follower = self.configuration_follower
        if follower.era_changed and follower.era_read_at is None:
            return True
        return keeps_missing(follower.era_read_at, trio.current_time())

    def _on_era(self, follower, previous_end):
        """Apply that a topic is read anew, because the store came back older."""
        self.metrics.count("store_era")
        if follower is self.membership_follower:
            self.ownership.on_era(previous_end)
            self.membership.on_era(previous_end, TAKEOVER_DELAY_S)
            self.configuration_follower.same_era(follower.era)
            self.sharing.on_era(MEMBERSHIP_TOPIC)
        else:
            self.membership_follower.same_era(follower.era)
            self.sharing.on_era(OPERATOR_TOPIC)

    def _apply_configuration(self, record):
        if record.key != self.adapter.configuration_key:
            self._apply_operator_record(record)
            return
        if not record.value:
            return
        try:
            configuration = self.adapter.parse_configuration(record.value)
        except ValueError as error:
            self.log("configuration_unreadable", offset=record.offset, reason=error)
            return
        if configuration.version <= self.config_version:
            self.log("configuration_old", version=configuration.version)
            return
        if self.configuration is None or (
            self.configuration.services != configuration.services
        ):
            self.peers.choose_again()
        self.configuration = configuration
        self.cold_target.configure(
            configuration.services.get(self.settings.service), self.target.sequence,
            trio.current_time(),
        )  # fmt: skip
        self.admission.cold_target = (
            self.cold_target if self.cold_target.active else None
        )
        routes = sum(len(r) for r in configuration.routes.values())
        self.log(
            "configuration", version=configuration.version, offset=record.offset,
            routes=routes, services=len(configuration.services),
            behind_s=self.configuration_follower.behind_s,
        )  # fmt: skip
        if configuration.ignored:
            self.log("configuration_values_ignored", values=configuration.ignored)

    def _apply_operator_record(self, record):
        """Apply a record that begins or ends the evacuation of a zone."""
        zone = self.adapter.evacuated_zone(record.key)
        if zone is None:
            if record.key not in self._ignored_operator_keys:
                self._ignored_operator_keys.add(record.key)
                self.log("operator_record_ignored", key=record.key)
            return
        self._apply_evacuation(zone, bool(record.value), record.offset)

    def end_missing_evacuations(self):
        """End the evacuations that the store does not have in the present era."""
        follower = self.configuration_follower
        present = {self.adapter.evacuated_zone(key) for key in follower.keys()}
        for zone in self.evacuations.zones:
            if zone not in present:
                self._apply_evacuation(zone, False, follower.end)

    def _apply_evacuation(self, zone, evacuated, offset):
        now, evacuations = trio.current_time(), self.evacuations
        if self.configuration_follower.read_at is not None:
            evacuations.confirm(self.configuration_follower.read_at)
        if not evacuations.apply(zone, evacuated, now):
            return
        if evacuated:
            self.metrics.count("evacuation_begins")
            self.log(
                "evacuation_begins", zone=zone, offset=offset,
                closes_in_s=evacuations.closes_at(zone) - now,
            )  # fmt: skip
        else:
            self.metrics.count("evacuation_ends")
            self.log("evacuation_ends", zone=zone, offset=offset)
        self.peers.choose_again()
        if zone == self.settings.zone:
            self._apply_own_evacuation(now)

    def _apply_own_evacuation(self, now):
        self.target.evacuated = self.evacuations.own_zone_evacuated
        self.admission.closes_at = self._evacuation_closes_at()
        if self.evacuations.own_zone_evacuated:
            open_or_close = now >= self.admission.closes_at
        else:
            self.cold_target.on_evacuation_end(self.target.sequence, now)
            open_or_close = self.target.id and not self.target.heartbeat_overdue(now)
        if open_or_close:
            self.update_admission()
        self.grant_caller.check_now()

    def _evacuation_closes_at(self):
        """Return from when on the target gets no requests because of an evacuation."""
        evacuations = self.evacuations
        if not evacuations.own_zone_evacuated:
            return math.inf
        if self.is_keyed(self.settings.service):
            return evacuations.closes_at(self.settings.zone)
        return -math.inf

    def _configuration_wait_s(self):
        return self._random_wait_s(*CONFIG_WAIT_S)

    def _membership_wait_s(self):
        return self._random_wait_s(*MEMBERSHIP_WAIT_S)

    def _random_wait_s(self, min_s, max_s):
        return min_s + self.jitter() * (max_s - min_s)

    def _batch_delay_s(self):
        return min(BATCH_DELAY_MAX_S, BATCH_DELAY_PER_VM_S * len(self.vms))

    def _read_delay_s(self, follower):
        """Return the seconds until this node reads a topic by itself."""
        now, lease_age_s = trio.current_time(), None
        if follower is self.membership_follower:
            if self.is_keyed(self.settings.service):
                lease_age_s = now - (follower.read_at or 0.0)
        self.sharing.check_active()
        sharing = self.sharing
        situation = Situation(
            follower.end is not None, sharing.reads_for_others, sharing.alone_s(now),
            sharing.had_source, sharing.sources_failing, follower.behind_s,
            lease_age_s, now - follower.read_begun_at,
        )  # fmt: skip
        return read_delay(situation, self.jitter())

    @property
    def store_failing(self):
        """Whether the store answers neither this node nor its sources of records."""
        if self.sharing.alone_s(trio.current_time()) > 0:
            return self.membership_follower.failing_since is not None
        return self.sharing.sources_failing

    @property
    def replies_unsent(self):
        """Whether a reply to another node is still to be sent."""
        return any(stream.has_unsent for stream in self.peer_streams)

    @property
    def node_incarnation(self):
        """Name of this process in the membership topic."""
        return self.membership.node_incarnation

    def incarnation_of(self, vm):
        """Return the name of a VM's process in the newest entry read, or None."""
        entry = self.vms.get(vm)
        return entry.node_incarnation if entry else None

    def entry_confirmed(self):
        """Whether the entry of this process was read, with all records before it."""
        return self.membership.entry_confirmed(self.membership_follower.end)

    def read_progress(self):
        """Return the ``ReadProgress`` of this node."""
        operator, membership = self.configuration_follower, self.membership_follower
        era, read_at = max(operator.era, membership.era), membership.read_at
        if read_at is None or membership.era != era:
            age_s = -1.0
        else:
            age_s = trio.current_time() - read_at
        ends = [(f.end or 0) if f.era == era else 0 for f in (operator, membership)]
        return ReadProgress(*ends, age_s, self.store_failing, era)

    def on_pong(self, vm, progress, sent_at):
        """Apply the read progress of a VM, which sent it after ``sent_at``."""
        self._observe_ends(progress)
        self.sharing.on_progress(vm, progress)
        if progress.membership_age_s >= 0 and self.membership_follower.same_era(
            progress.era
        ):
            operator_topic = self.configuration_follower
            if (
                operator_topic.same_era(progress.era)
                and operator_topic.end is not None
                and 0 < progress.operator_end <= operator_topic.end
            ):
                # That node reads both topics, and knows no more operator records.
                self.evacuations.confirm(sent_at - progress.membership_age_s)
            self.membership_follower.confirm_read(
                progress.membership_end, sent_at - progress.membership_age_s
            )

    def on_ping(self, vm, ping):
        """Apply the ping of a VM and return the read progress of this node."""
        now = trio.current_time()
        self._observe_ends(ping.progress)
        self._tell_kept_leaving(vm)
        if ping.load is not None:
            self.loads.record(vm, ping.load, now)
        self.loads.apply_reports(ping.reports, now, self.settings.vm)
        return self.read_progress()

    def _observe_ends(self, progress):
        for follower, end in (
            (self.configuration_follower, progress.operator_end),
            (self.membership_follower, progress.membership_end),
        ):
            if follower.same_era(progress.era):
                follower.observe_end(end)

    def owner_may_change(self, service, key):
        """Whether a key without a reachable owner may soon have one.

        An owner that is suspected, or unreachable for longer than a restart takes,
        keeps the key until a takeover, which takes longer than requests wait.
        """
        keymap = self.keymaps.get(service)
        if keymap is None:
            return True
        suspected = {vm for vm, _ in keymap.suspicions}
        key_range = locate(keymap, key)
        if key_range is None:
            return True
        owner = key_range.vm
        if owner in suspected or owner not in self.vms:
            return False
        return owner == self.settings.vm or self.unreachable_s(owner) < SUSPECT_AFTER_S

    def evacuated(self, service):
        """Whether all zones of a service are evacuated."""
        zones = self.vms.zones(service) if self.evacuations else {}
        return bool(zones) and all(zone in self.evacuations for zone in zones)

    def owner_problem(self, service, key):
        """Return why no VM can be sent a request for a key of a service."""
        keymap = self.keymaps.get(service)
        if keymap is None:
            return f"no key map of {service} is known"
        key_range = locate(keymap, key)
        if key_range is None:
            return "the key has no owner"
        owner = key_range.vm
        suspected = any(vm == owner for vm, _ in keymap.suspicions)
        return (
            f"the owner {owner} accepts no requests: unreachable for "
            f"{self.unreachable_s(owner):.1f} s{', suspected' if suspected else ''}"
        )

    def _serve_refusal(self, service, key):
        """Return the reason to refuse a request and the VM that may serve it, or None.

        The address of a removed VM may since belong to a VM of another service.
        """
        if service != self.settings.service:
            return f"this VM belongs to {self.settings.service}, not {service}", ""
        if self.configuration is None:
            # Nor is it known whether the zone is evacuated.
            return "no configuration is known yet", ""
        if (
            self.evacuations.own_zone_evacuated
            and trio.current_time() >= self._evacuation_closes_at()
        ):
            return EVACUATED, ""
        if not self.is_keyed(service):
            return None
        if key is None:
            return "the service is divided by key and the request has none", ""
        keymap = self.keymaps.get(self.settings.service)
        key_range = locate(keymap, key) if keymap else None
        if key_range is None:
            return "the key has no owner", ""
        if key_range.vm != self.settings.vm:
            return "this VM does not own the key", key_range.vm
        return None

    def owns_key(self, key):
        """Whether the key map names this VM as the owner of a key of its service."""
        keymap = self.keymaps.get(self.settings.service)
        key_range = locate(keymap, key) if keymap else None
        return key_range is not None and key_range.vm == self.settings.vm

    def on_own_keymap(self):
        """Apply a new key map of this VM's service to requests and grants."""
        self.admission.refuse_moved(self.owns_key)
        self.admission.dispatch()
        self.grant_caller.check_now()
        suspects = {vm for vm, _ in self.keymaps[self.settings.service].suspicions}
        if suspects != self._suspects:
            self._suspects = suspects
            self.peers.choose_again()

    def accepts_requests(self, vm):
        """Whether a VM is this one, or may be reached and is not known to refuse."""
        now = trio.current_time()
        if self.evacuations:
            entry = self.vms.get(vm)
            if entry is not None and self.evacuations.closed(entry.zone, now):
                return False
        if vm == self.settings.vm:
            return True
        load = self.loads.get(vm, now)
        return self.peers.may_reach(vm) and (load is None or load.accepting)

    def unreachable_s(self, vm):
        """Return for how many seconds a VM has been unreachable, as far as known.

        It is 0 for this VM and for those without a link, and the time since the start
        for those without an entry.
        """
        if vm == self.settings.vm:
            return 0.0
        if vm not in self.vms:
            return trio.current_time() - self.membership.started
        link = self.links.get(vm)
        return link.idle_s if link is not None and link.lost else 0.0

    def displaced_s(self, vm):
        """Return for how many seconds a VM's address has belonged to another VM."""
        link = self.links.get(vm)
        if link is None or link.displaced_at is None:
            return 0.0
        return trio.current_time() - link.displaced_at

    def owners(self, service):
        """Return the VMs of a keyed service that may own keys, sorted by name."""
        owners, now = [], trio.current_time()
        for vm in self.vms.of_service(service):
            if vm.leaving or not vm.target_incarnation or vm.zone in self.evacuations:
                continue
            if vm.name == self.settings.vm:
                if (
                    self.target.heartbeat_overdue(now)
                    or self.target.leaving
                    or vm.target_incarnation != self.target.incarnation
                ):
                    continue
            elif not self._may_own(vm.name, now):
                continue
            owners.append(Owner(vm.name, vm.target_incarnation))
        return owners

    def _may_own(self, vm, now):
        """Whether another VM may own keys: it is not known to be lost or to refuse."""
        link, load = self.links.get(vm), self.loads.get(vm, now)
        if link is not None and link.lost or self._is_suspected(vm):
            return False
        if load is None:
            return not self.loads.silent(vm, now)
        return load.accepting

    def watch_rank(self, vm):
        """Return how many other VMs watch a VM more closely, None if not watched."""
        return self.peers.watch_rank(vm)

    def load_of(self, vm, now):
        """Return the last known ``Load`` of a VM, or None."""
        if vm == self.settings.vm:
            return self.admission.load()
        return self.loads.get(vm, now)

    def record_result(self, vm, success):
        """Record whether a VM served a request, for the choice of VMs later."""
        if success:
            self._failures.pop(vm, None)
            return
        count, _ = self._failures.get(vm, (0, 0.0))
        self._failures[vm] = (count + 1, trio.current_time())

    def _failure_share(self, vm, now):
        count, failed_at = self._failures.get(vm, (0, 0.0))
        if count < EJECTION_FAILURES or now - failed_at > EJECTION_S:
            return 0.0
        return 0.9

    def candidates(self, service, refused=(), route=None):
        """Return a sample of the VMs of a service without keys for one request.

        They are drawn from the subset to which this node keeps links. This VM is always
        in it, because its load is known and no link is needed.

        Parameters
        ----------
        service : str
        refused : set of str
            VMs that refused the request.
        route : str, default=None
            Name of its route, whose service times are compared if they are known.
        """
        own, same_zone, other_zones = [], [], []
        settings = self.settings
        # A plain tuple, as this is asked for each VM of each request.
        evacuated = self.evacuations.zones if self.evacuations else ()
        own_usable = settings.zone not in evacuated
        if own_usable and settings.service == service and settings.vm not in refused:
            entry = self.vms.get(settings.vm)
            if entry is not None and self._known_to_accept(settings.vm):
                own.append(entry)
        for name in self.peers.subset(service):
            if name in refused or not self._known_to_accept(name):
                continue
            vm = self.vms.get(name)
            if vm is None or vm.leaving or vm.service != service:
                continue
            if vm.zone in evacuated:
                continue
            (same_zone if vm.zone == settings.zone else other_zones).append(vm)
        now = trio.current_time()
        speeds = self.speeds.of_route(service, route, now)
        drawn = sample(same_zone, other_zones, self._make_draw(speeds.weights))
        times_s, mean_s = speeds.times_s, speeds.mean_s
        return [
            self._candidate(vm, now, times_s.get(vm.name, mean_s)) for vm in own + drawn
        ]

    def _make_draw(self, weights):
        """Return ``draw(vms, count)``, in proportion to weights if there are any."""
        if weights is None:
            return self._random.sample
        self.metrics.count("drawn_by_speed")

        def draw(vms, count):
            vm_weights = [weights.get(vm.name, 1.0) for vm in vms]
            return draw_by_weight(vms, vm_weights, count, self.jitter)

        return draw

    def _slots_of(self, vm):
        """Return the slots of a VM that may be used, 0 if they are not known."""
        if vm == self.settings.vm:
            return self.admission.usable_slots
        link = self.links.get(vm)
        return link.load.slots if link is not None and link.load is not None else 0

    def _load_reports(self, service):
        """Iterate over (load or None, age in s) of VMs of a service without keys.

        They are those to which this node sends requests: at most nine, however many
        VMs there are.
        """
        settings, now = self.settings, trio.current_time()
        if settings.service == service and not self.admission.closed_reason:
            yield self.admission.load(), 0.0
        for name in self.peers.subset(service):
            link, vm = self.links.get(name), self.vms.get(name)
            if link is None or not link.up or vm is None or vm.leaving:
                continue
            # Pings of the other node carry its load as well, beside what the link got.
            load, at = self.loads.known(name) or (None, now)
            if load is None or load.accepting:
                yield load, now - at

    def draw_other_vm(self, service, refused):
        """Return a VM of a service outside of the subset of this node, or None.

        Its load is not known; a connection to it is made.
        """
        excluded = {self.settings.vm, *refused, *self.peers.subset(service)}
        others = [
            vm.name
            for vm in self.vms.of_service(service)
            if vm.name not in excluded
            and vm.target_incarnation
            and not vm.leaving
            and vm.zone not in self.evacuations
            and self.peers.may_reach(vm.name)
        ]
        return self._random.choice(others) if others else None

    def _known_to_accept(self, vm):
        """Whether a VM is known to accept requests at present."""
        if vm == self.settings.vm:
            return not self.admission.closed_reason
        link = self.links.get(vm)
        return link is not None and link.up and bool(link.load) and link.load.accepting

    def candidate_of(self, vm, route, now):
        """Return the ``Candidate`` of a VM whose load is known, without a choice."""
        speeds = self.speeds.of_route(vm.service, route, now)
        return self._candidate(vm, now, speeds.times_s.get(vm.name, speeds.mean_s))

    def _candidate(self, vm, now, run_s):
        if vm.name == self.settings.vm:
            load, in_flight, age_s = self.admission.load(), 0, 0.0
            round_trip_s = byte_s = 0.0
        else:
            link = self.links[vm.name]
            load, in_flight, age_s = link.load, link.in_flight, now - link.load_at
            round_trip_s = link.round_trip_s
            byte_s = 1 / self.settings.link_bytes_per_s
        factor = reported_factor(load.work_time_factor, age_s)
        return Candidate(
            vm.name, vm.zone == self.settings.zone, load.running, load.queued,
            load.slots, load.service_s * factor, in_flight, age_s,
            self._failure_share(vm.name, now), round_trip_s, byte_s,
            run_s * factor, load.cold,
        )  # fmt: skip

    async def handle_heartbeat(self, heartbeat):
        """Apply a heartbeat of the target on this VM.

        One that says that the target is leaving is acknowledged once the next process
        of this node will know it.

        Returns
        -------
        acknowledged : bool
            False if the heartbeat is not one of the target on this VM, or if a later
            process of this node would not know what it says.
        grant : Grant or None
        """
        now = trio.current_time()
        mismatch = find_mismatch(heartbeat, self.settings, self._unix_time())
        if mismatch is not None:
            self.metrics.count("heartbeats_ignored")
            self.log("beat_ignored", target=heartbeat.target, reason=mismatch)
            return False, None
        target = self.target
        known = (target.incarnation, target.leaving)
        change = target.apply_heartbeat(heartbeat, now)
        if change == "old":
            self.log("beat_late", target=heartbeat.target, sequence=heartbeat.sequence)
            written = self.membership.leaving_written(target.incarnation)
            return written or not heartbeat.leaving, None
        if change == "life":
            self.admission.rate_limiter = RateLimiter()
            self.log("target_life", target=target.incarnation, slots=heartbeat.slots)
            self.check_leaving()
        if heartbeat.leaving and known != (target.incarnation, True):
            self._handle_leaving("stated in a heartbeat")
        self.cold_target.on_heartbeat(heartbeat, now)
        self.update_admission()
        self.membership.announce()
        self.ownership.on_heartbeat(heartbeat, now)
        if heartbeat.leaving:
            incarnation = target.incarnation
            if not await self._write_leaving():
                return False, None
            if incarnation != target.incarnation:
                return True, None
        if self.grants_by_call:
            self.grant_caller.on_heartbeat()
            return True, None
        grant = self.ownership.grant(now)
        self.admission.dispatch()
        return True, grant

    async def handle_deregister(self, target_id, started_ms=None):
        """Mark a target as leaving.

        The call is acknowledged once the next process of this node will know it.

        Parameters
        ----------
        target_id : str
        started_ms : int, default=None
            Unix time of the start of the process that called, if it is known. A target
            may start again under the id that it had, and calls may be late.

        Returns
        -------
        acknowledged : bool
            False if it is not known which process of the target is to get no more
            requests, or if a later process of this node would not know it.
        """
        if started_ms is not None and not is_plausible_start(
            started_ms, self._unix_time()
        ):
            self.log(
                "deregister_ignored", target=f"{target_id}@{started_ms}",
                reason="its start is later than now",
            )  # fmt: skip
            return False
        target = self.target
        known = (target.incarnation, target.leaving)
        if not target.apply_deregistration(target_id, started_ms):
            self.log(
                "deregister_of_another_target", target=f"{target_id}@{started_ms}",
                present=target.incarnation,
            )  # fmt: skip
            return bool(target.id)
        if known != (target.incarnation, target.leaving):
            self._handle_leaving("deregistered")
        return await self._write_leaving()

    async def _write_leaving(self):
        """Wait a little until the store has that the target leaves, or others keep it.

        Returns
        -------
        bool
            Whether the next process of this node will know it.
        """
        incarnation = self.target.incarnation
        with trio.move_on_after(LEAVING_WRITE_S - LEAVING_KEEP_S):
            await self._wait_until(lambda: self.membership.leaving_written(incarnation))
            return True
        keepers = self.leavings.keepers(incarnation)
        self._ask_to_keep(
            incarnation,
            [
                vm
                for vm, link in self.links.items()
                if not link.lost and vm not in keepers
            ],
        )
        with trio.move_on_after(LEAVING_KEEP_S):
            await self._wait_until(lambda: self._leaving_kept(incarnation))
            return True
        self.metrics.count("leaving_not_written")
        self.log("leaving_not_written", target=incarnation)
        return False

    async def _wait_until(self, holds):
        while not holds():
            await self.leavings.changed.wait()

    def _ask_to_keep(self, incarnation, vms):
        """Ask VMs to keep that the target leaves.

        Not for keys: a target that counts on it releases them, and while the store does
        not take a change of the key map nobody else can serve them.
        """
        if self.is_keyed(self.settings.service):
            return
        notice = LeavingNotice(self.settings.vm, incarnation)
        for vm in vms:
            self.peers.send_soon(vm, notice)

    def _leaving_kept(self, incarnation):
        """Whether the store has that a target leaves, or enough other VMs keep it."""
        others = len(self.vms) - (self.settings.vm in self.vms)
        return self.membership.leaving_written(incarnation) or (
            not self.is_keyed(self.settings.service)
            and enough_keepers(len(self.leavings.keepers(incarnation)), others)
        )

    def on_leaving_notice(self, notice):
        """Apply a ``LeavingNotice``: keep that of another VM, or learn the own one."""
        own, incarnation = self.settings.vm, notice.target_incarnation
        if notice.vm == own:
            if notice.keeper:
                self.leavings.add_keeper(incarnation, notice.keeper)
                self.check_leaving()
                self.membership.announce()
            return
        if notice.keeper:
            return
        self.leavings.keep(notice.vm, incarnation)
        entry = self.vms.get(notice.vm)
        if entry is not None:
            self.vms.put(self.with_kept_leaving(entry))
        self.log("leaving_kept", peer=notice.vm, target=incarnation)
        self._tell_kept_leaving(notice.vm)

    def with_kept_leaving(self, vm):
        """Return a membership entry with what is kept for its VM."""
        if self.leavings.kept(vm.name) != vm.target_incarnation:
            return vm
        return msgspec.structs.replace(vm, leaving=True, target_leaving=True)

    def _tell_kept_leaving(self, vm):
        """Tell a VM what is kept for it, if anything is."""
        incarnation = self.leavings.kept(vm)
        if incarnation is not None:
            notice = LeavingNotice(vm, incarnation, self.settings.vm)
            self.peers.send_soon(vm, notice)

    def _on_connect(self, vm):
        self._tell_kept_leaving(vm)
        incarnation = self.target.incarnation
        if self.target.leaving and not self.membership.leaving_written(incarnation):
            # The process there may be a new one, which keeps nothing.
            self._ask_to_keep(incarnation, [vm])
        self.sharing.on_connect(vm)

    def on_entry_written(self):
        """Release the keys of a leaving target once the store has that it leaves."""
        self.leavings.notify()
        target = self.target
        if target.leaving_binds or not target.leaving:
            return
        if self.membership.leaving_written(target.incarnation):
            target.leaving_binds = True
            self.update_admission()
            self.grant_caller.check_now()

    def check_leaving(self):
        """Mark the target as leaving if an earlier process of this node knew that."""
        target = self.target
        if target.leaving_binds or not self.membership.known_leaving(
            target.incarnation
        ):
            return
        target.leaving_binds = True
        if not target.leaving:
            self._handle_leaving("known to an earlier process of this node")
        self.update_admission()

    def _handle_leaving_response(self, request_id):
        # The client gets the response, whether or not the store takes the entry.
        self.target.leaving_binds = True
        self._handle_leaving(f"stated in the response to {request_id}")

    def _handle_leaving(self, reason):
        """Send no more to the present start of the target, and announce that."""
        self.target.leaving = True
        self.log("target_leaves", target=self.target.incarnation, reason=reason)
        self.update_admission()
        self.membership.announce()

    def update_admission(self):
        """Open or close the admission queue after a change of what decides it."""
        target, admission = self.target, self.admission
        admission.closes_at = self._evacuation_closes_at()
        if self.draining:
            return
        if trio.current_time() >= admission.closes_at:
            if admission.closed_reason != EVACUATED:
                self.log("gate_closed", target=target.incarnation, reason=EVACUATED)
            admission.close(EVACUATED)
        elif target.leaving and (
            target.leaving_binds
            or not self.is_keyed(self.settings.service)
            or not target.slots
        ):
            if not admission.closed_reason:
                self.log(
                    "gate_closed", target=target.incarnation, reason="target is leaving"
                )
            admission.close("the target is leaving")
        elif admission.closed_reason or admission.slots != target.slots:
            admission.open(target.slots)

    async def watch_target(self):
        """Close the admission queue while heartbeats are missing."""
        while True:
            await trio.sleep(self.settings.beat_interval_s)
            now = trio.current_time()
            if self.target.id and not self.admission.closed_reason:
                if self.target.heartbeat_overdue(now):
                    self.log("gate_closed", reason="heartbeats are missing")
                    self.admission.close("beats of the target are missing")
                    self.membership.announce()


async def run_node(settings, adapter, store, log, stopping):
    """Run a node until ``stopping`` is set and requests have ended, or until cancelled.

    Parameters
    ----------
    settings, adapter, store, log
        As for ``Node``.
    stopping : trio.Event
        Set to stop the node: it lets its running requests end and returns.
    """
    node = Node(settings, adapter, store, log)
    log("start", service=settings.service, zone=settings.zone)
    client_server = Server(
        make_client_handler(node), node.limits, log, node.account,
        make_body_admission(node), make_run_ahead_check(node),
    )  # fmt: skip
    heartbeat_server = Server(adapter.make_heartbeat_handler(node), control_limits, log)
    readiness_server = Server(make_ready_handler(node), control_limits, log)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(log.run)
        for server, address in (
            (client_server, settings.client_address),
            (heartbeat_server, settings.beat_address),
            (readiness_server, settings.ready_address),
        ):
            nursery.start_soon(server.serve, parse_address(address))
        handlers = PeerHandlers(
            node.serve, make_relay_handler(node), node.admission.load, node.on_ping,
            node.ownership.on_releases, node.sharing.on_subscribe,
            node.sharing.on_update, node.on_leaving_notice,
        )  # fmt: skip
        nursery.start_soon(
            serve_links, parse_address(settings.peer_address), node.membership.hello(),
            handlers, log, node.peer_streams, node.account, node.pacer,
        )  # fmt: skip
        nursery.start_soon(node.peers.run)
        nursery.start_soon(node.configuration_follower.run)
        nursery.start_soon(node.membership_follower.run)
        nursery.start_soon(node.ownership.run)
        nursery.start_soon(node.grant_caller.run)
        nursery.start_soon(node.watch_target)
        nursery.start_soon(log_route_times, node)
        nursery.start_soon(watch_memory, node)
        nursery.start_soon(node.membership.run)
        nursery.start_soon(watch_evacuations, node)
        nursery.start_soon(dispatch_while_cold, node)
        nursery.start_soon(check_health_while_unsettled, node)
        await stopping.wait()
        await _stop(node, client_server)
        nursery.cancel_scope.cancel("the node has stopped")
    log("stop")
    log.flush()


async def _stop(node, client_server):
    """Let running requests end within the grace period.

    The node serves requests as before until clients have detected the failing readiness
    check, which takes two probes. Then it accepts no new requests, and those that are
    unfinished shortly before the end of the period get a final response.
    """
    log, settings = node.log, node.settings
    log("stopping", busy=client_server.busy, running=node.admission.running)
    node.stopping = True
    started = trio.current_time()
    deadline = started + settings.grace_s - STOP_FINAL_RESPONSE_S
    # From the start: a node that stops later than this one would break off what it has
    # sent here, and another VM may serve it.
    node.admission.drain_deadline = deadline
    await trio.sleep(min(STOP_ACCEPTING_S, settings.grace_s / 2))
    client_server.closing = True
    node.drain_deadline = node.admission.keyed_drain_deadline = deadline
    await _poll_until(
        deadline - STOP_TARGET_MARGIN_S,
        lambda: not client_server.busy,
        client_server.close_idle,
    )
    # The target serves other nodes until this point, so that requests for its keys wait
    # only briefly for the next owner.
    node.draining = True
    node.admission.close("the node is stopping")
    node.membership.announce()
    await _poll_until(
        deadline,
        lambda: (
            not (client_server.busy or node.admission.running or node.replies_unsent)
        ),
        client_server.close_idle,
    )
    await client_server.drain(deadline)
    log(
        "stop_answers", busy=client_server.busy, running=node.admission.running,
        lingering=client_server.lingering,
    )  # fmt: skip
    for scope in list(node.active_scopes):
        scope.cancel()
    with trio.move_on_after(STOP_FINAL_RESPONSE_S / 2):
        while client_server.busy or node.replies_unsent:
            await trio.sleep(STOP_POLL_S)
        await _wait_until_received(node)
        while client_server.lingering:
            await trio.sleep(STOP_POLL_S)


async def _wait_until_received(node):
    """Wait until other nodes have received the replies that were handed to the system.

    A frame that arrives after the end of this process, as a ping does, resets its
    connection, and what is on its way there is lost.
    """
    streams = set(node.peer_streams)
    for stream in streams:
        stream.end_sending()
    # Nodes that connect meanwhile have got no replies.
    while streams & node.peer_streams:
        await trio.sleep(STOP_POLL_S)


async def _poll_until(deadline, done, action):
    """Call ``action`` periodically until ``done()`` holds or the deadline passes."""
    while trio.current_time() < deadline and not done():
        action()
        await trio.sleep(STOP_POLL_S)


async def log_route_times(node):
    """Log the times of each route periodically, until cancelled."""
    while True:
        await trio.sleep(ROUTE_TIMES_INTERVAL_S)
        for route, times in node.metrics.take_route_times(MAX_LOGGED_ROUTES):
            node.log("route_times", route=route, **times)


def control_limits():
    """Return the limits for heartbeats, readiness probes and metrics."""
    return CONTROL_LIMITS


def make_ready_handler(node):
    """Return the handler of the ready address, for probes and operators.

    ``/metrics`` returns the metrics, ``/status`` the state of the node,
    ``/keys/SERVICE/KEY`` that of a key, and ``/explain?host=..&path=..&key=..`` where a
    request would be sent. All other paths tell whether it is ready.
    """

    async def handle(message):
        path, _, query = message.target.partition(b"?")
        now = trio.current_time()
        if path.startswith(b"/metrics"):
            return 200, [], metrics_text(node).encode()
        if path == b"/status":
            return json_response(node_status(node, now))
        if path.startswith(b"/keys/"):
            service, _, key = (
                path.removeprefix(b"/keys/").decode("latin-1").partition("/")
            )
            if not key.isdecimal() or int(key) >= KEY_COUNT:
                return 400, [], b"expected /keys/SERVICE/KEY with a key below 65536"
            return json_response(key_status(node, service, int(key), now))
        if path == b"/explain":
            try:
                host, request_path, key = parse_query(query.decode("latin-1"))
            except ValueError as error:
                return 400, [], str(error).encode()
            view = take_view(node, host, request_path, key, now)
            return json_response(explain(view))
        return (200 if node.ready else 503), [], b""

    return handle


def json_response(content):
    """Return a response with a value as JSON."""
    headers = [(b"content-type", b"application/json")]
    return 200, headers, msgspec.json.encode(content)


def metrics_text(node):
    """Return counters, histograms and gauges in the text format of Prometheus."""
    load = node.admission.load()
    rate_limit = node.admission.rate_limiter.limit
    return node.metrics.text(
        {
            "target_running": load.running,
            "target_queued": load.queued,
            "target_slots": node.admission.slots,
            "target_usage": round(load.usage, 4),
            "target_rate_limit": "+Inf" if rate_limit is None else rate_limit,
            "gate_open": int(load.accepting),
            "configuration_version": node.config_version,
            "suspicion_age_s": round(
                node.ownership.suspicion_age_s(trio.current_time()), 1
            ),
            "links_up": sum(link.up for link in node.links.values()),
            "ready": int(node.ready),
            "log_lines_lost": node.log.lost_lines,
            "resident_bytes": node.resident_bytes,
            "body_bytes_held": node.account.used_bytes,
            "bodies_waiting": node.account.waiting,
            "body_pacing_seconds": round(node.pacer.waited_s, 3),
        }
    )
