"""Data types shared by the modules of the router."""

from typing import NamedTuple

import msgspec

KEY_COUNT = 65536


class Request(NamedTuple):
    """A complete request of one client attempt.

    Parameters
    ----------
    id : str
        Id of the attempt, as the client sent it.
    method, target : bytes
        Method and request target of the request line: the path with its query,
        unchanged.
    host, path : str
        Host in lower case without port, and path without query.
    headers : list of (bytes, bytes)
        End-to-end headers to forward, without those that the router sets itself.
    body : bytes
    client_timeout_s : float or None
        Seconds for which the client waits, from the arrival of the request.
    key : int or None
        Key in [0, 65535] of a keyed service.
    """

    id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: list
    body: bytes
    client_timeout_s: float | None
    key: int | None


class Response(NamedTuple):
    """A response to a client: from the router itself or forwarded from a target."""

    status: int
    headers: list
    body: bytes = b""


class WeightedService(NamedTuple):
    """A service that gets a share of a route's requests in proportion to ``weight``."""

    service: str
    weight: float


class Route(NamedTuple):
    """Services and limits for the requests of a host and path prefix.

    Times are in seconds. ``retryable`` states whether a request may run more than once.
    ``attempts`` is the maximum number of targets to which one client attempt may be
    sent. Priority 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    weighted_services: tuple
    retryable: bool
    timeout_s: float
    latency_goal_s: float
    attempts: int
    priority: int


class Service(NamedTuple):
    """A service of the configuration.

    ``grants_by_call`` states whether keys are granted by calls to its targets; if not,
    by the responses to their heartbeats. None leaves it to the node's settings.
    ``cold_start_s`` is how long a target is cold after its start, and
    ``cold_requests_per_s`` the rate that a cold one tolerates, 0 if it is not limited.
    ``health_path`` is the path of its health checks, empty if there is none.
    """

    name: str
    keyed: bool
    max_connections: int
    warm_up_s: float = 0.0
    grants_by_call: bool | None = None
    cold_start_s: float = 0.0
    cold_requests_per_s: float = 0.0
    health_path: str = ""


class Limits(NamedTuple):
    """Limits in bytes on client requests, and time-outs of clients in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 67108864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(NamedTuple):
    """A complete configuration. Versions only increase.

    ``routes`` maps a host to its routes, the longest prefix first. ``services`` maps a
    name to its ``Service``. ``ignored`` names optional values that were invalid, and
    were replaced by their defaults.
    """

    version: int
    routes: dict
    services: dict
    limits: Limits
    ignored: tuple = ()


class Heartbeat(NamedTuple):
    """A periodic message of a target to the node beside it.

    Parameters
    ----------
    target, started_ms : str, int
        Id, and Unix time of the start in ms; together they name one incarnation.
    sequence : int
        Increases with each heartbeat of an incarnation.
    leaving : bool
        Whether the target is about to stop.
    slots : int
        Number of requests that the target can run at once.
    warm_up_remaining_s : float or None
        Seconds for which the target remains cold after its start; None if the value is
        invalid.
    held : tuple of (start, end, fence)
        Key ranges that the target may serve or still processes requests of.
    released : tuple of (start, end, handover)
        Key ranges released since the last acknowledged heartbeat.
    address : str
        Address at which the target serves requests.
    """

    target: str
    started_ms: int
    sequence: int
    service: str
    zone: str
    leaving: bool
    slots: int
    warm_up_remaining_s: float | None
    held: tuple = ()
    released: tuple = ()
    address: str = ""


class Grant(NamedTuple):
    """All key ranges that a target may serve, for ``ttl_s`` s from its heartbeat."""

    ranges: tuple
    ttl_s: float


class VM(msgspec.Struct, array_like=True, frozen=True):
    """Membership entry of a VM: its node and the target beside it.

    ``node_incarnation`` names one process of the node. ``target_incarnation`` names one
    process of the target by id and start, and is empty while none is known. ``leaving``
    is true if the node or the target is about to stop, ``target_leaving`` if the target
    is: the next process of the node learns it from there. ``link_mbps`` is the capacity
    of the VM's network link in Mbit/s.
    """

    name: str
    node_incarnation: str
    address: str
    zone: str
    service: str
    target_incarnation: str = ""
    slots: int = 0
    leaving: bool = False
    target_leaving: bool = False
    link_mbps: float = 0.0


class KeyRange(msgspec.Struct, array_like=True, frozen=True, order=True):
    """A range of keys [start, end] of a service and its owner.

    ``fence`` is the fencing token of the assignment. ``handover`` is the token from the
    previous holder, empty if there is none.
    """

    start: int
    end: int
    fence: int
    vm: str
    target_incarnation: str
    handover: str = ""


class KeyMap(msgspec.Struct, array_like=True, frozen=True):
    """Owners of all keys of a service; keys outside of ``ranges`` have no owner.

    ``suspicions`` are pairs of a VM and the id of the suspicion against it. ``era`` is
    that of the store in which the key map was appended, 0 if the store states none. It
    is ``provisional`` from when it was restored in a new era until all leases of the
    previous era have ended.
    """

    service: str
    next_fence: int = 1
    ranges: tuple[KeyRange, ...] = ()
    suspicions: tuple[tuple[str, str], ...] = ()
    era: int = 0
    provisional: bool = False


class HedgingLimits(NamedTuple):
    """Limits on second sends of requests whose response is late.

    ``share`` is the maximum share of the requests of a service that are sent a second
    time, in (0, 1]. A request is late after the percentile ``after_percentile``, in
    [50, 100), of the last times of its route.
    """

    share: float
    after_percentile: float


class Settings(NamedTuple):
    """Settings of a node; times are in seconds.

    ``client_address`` is for clients on this VM, ``peer_address`` for other nodes,
    ``beat_address`` for heartbeats of the target, and ``ready_address`` for readiness
    and metrics. ``grace_s`` is the time from SIGTERM to the end of the node,
    ``hold_limit_s`` the longest validity of a grant. ``memory_bytes`` is the memory
    that the process may use, ``link_bytes_per_s`` the capacity of the VM's network link
    in bytes per second. ``grants_by_call`` holds for services of which the
    configuration does not tell how keys are granted. A cold target may get
    ``cold_rate_factor`` times the rate that it tolerates, and ``cold_rate_slack``
    requests, in a second. ``evacuation_s`` is the time within which nothing more is
    sent to a zone that is evacuated. ``hedging`` is None if no request is sent a second
    time because its response is late. ``kinds_compete`` states whether requests of
    different kinds get capacity by their urgency.
    """

    vm: str
    zone: str
    service: str
    target_address: str
    client_address: str
    peer_address: str
    ready_address: str
    beat_address: str
    store_address: str
    beat_interval_s: float
    grace_s: float
    hold_limit_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    memory_bytes: int
    link_bytes_per_s: float
    grants_by_call: bool = False
    cold_rate_factor: float = 1.0
    cold_rate_slack: float = 0.0
    evacuation_s: float = 5.0
    hedging: HedgingLimits | None = None
    kinds_compete: bool = False
