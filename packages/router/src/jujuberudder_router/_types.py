"""Data that the parts of a node hand to each other."""

from typing import NamedTuple

import msgspec

KEY_COUNT = 65536


class Request(NamedTuple):
    """One client attempt, read whole.

    Parameters
    ----------
    id : str
        Id of the attempt, as the client sent it.
    method, target : bytes
        Request line: the method and the path with its query, unchanged.
    host, path : str
        Lower-case host without port; path without query.
    headers : list of (bytes, bytes)
        End-to-end headers to forward, without those that the system sets.
    body : bytes
    client_timeout_s : float or None
        Seconds that the client waits, counted from arrival.
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
    """An answer to a client: its own, or a target's passed on."""

    status: int
    headers: list
    body: bytes = b""


class WeightedService(NamedTuple):
    """A service that gets ``weight`` parts of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests below a host and path prefix go.

    Times are in seconds. ``retryable`` tells whether a request may run more than
    once; ``attempts`` is the most targets that one client attempt may be sent to.
    Priority 0 is the most urgent.
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
    """A service of the configuration."""

    name: str
    keyed: bool
    max_connections: int
    warm_up_s: float = 0.0


class Limits(NamedTuple):
    """What a client may send, and how long it may take or stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 67108864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(NamedTuple):
    """A whole configuration. Versions only rise."""

    version: int
    routes: dict
    services: dict
    limits: Limits


class Heartbeat(NamedTuple):
    """What a target says of itself.

    Parameters
    ----------
    target, started_ms : str, int
        Id, and Unix time of the start in ms; together they name one life.
    sequence : int
        Rises with each beat of one life.
    leaving : bool
    slots : int
    warm_up_remaining_s : float
        Seconds for which the target stays slow after its start.
    held : tuple of (start, end, fence)
        Ranges of keys that the target holds or still works on.
    released : tuple of (start, end, handover)
        Ranges given up since the last acknowledged beat.
    """

    target: str
    started_ms: int
    sequence: int
    service: str
    zone: str
    leaving: bool
    slots: int
    warm_up_remaining_s: float
    held: tuple = ()
    released: tuple = ()


class Grant(NamedTuple):
    """All ranges that a target is to hold, and for how long (s) from its beat."""

    ranges: tuple
    ttl_s: float


class VM(msgspec.Struct, array_like=True, frozen=True):
    """Entry of a VM in the membership: its node, and the target beside it.

    ``node_incarnation`` names one process of the node. ``target_incarnation`` names
    one life of the target (id and start), empty while none is known. ``leaving`` holds
    for node or target.
    """

    name: str
    node_incarnation: str
    address: str
    zone: str
    service: str
    target_incarnation: str = ""
    slots: int = 0
    leaving: bool = False


class KeyRange(msgspec.Struct, array_like=True, frozen=True):
    """A range of keys [start, end] of a service and its owner.

    ``handover`` is the token of the last holder, empty if there was none.
    """

    start: int
    end: int
    fence: int
    vm: str
    target_incarnation: str
    handover: str = ""


class KeyMap(msgspec.Struct, array_like=True, frozen=True):
    """Owners of all keys of a service; ranges without a row have none.

    ``suspicions`` are rows of a VM and the id of the suspicion against it.
    """

    service: str
    next_fence: int = 1
    ranges: tuple[KeyRange, ...] = ()
    suspicions: tuple[tuple[str, str], ...] = ()


class Settings(NamedTuple):
    """Settings of a node; times in seconds."""

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
