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
    budget_s : float or None
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
    budget_s: float | None
    key: int | None


class Answer(NamedTuple):
    """An answer to a client: its own, or a target's passed on."""

    status: int
    headers: list
    body: bytes = b""


class Part(NamedTuple):
    """A service that gets ``weight`` parts of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests below a host and path prefix go.

    Times are in seconds. ``repeatable`` tells whether a request may run more than
    once; ``attempts`` is the most targets that one client attempt may be sent to.
    Priority 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    parts: tuple
    repeatable: bool
    timeout_s: float
    aim_s: float
    attempts: int
    priority: int


class Service(NamedTuple):
    """A service of the configuration."""

    name: str
    keyed: bool
    max_connections: int
    warm_s: float = 0.0


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


class Beat(NamedTuple):
    """What a target says of itself.

    Parameters
    ----------
    target, born : str, int
        Id, and Unix time of the start in ms; together they name one life.
    sequence : int
        Rises with each beat of one life.
    leaving : bool
    slots : int
    cold_s : float
        Seconds for which the target stays slow after its start.
    held : tuple of (start, end, fence)
        Ranges of keys that the target holds or still works on.
    freed : tuple of (start, end, handover)
        Ranges given up since the last acknowledged beat.
    """

    target: str
    born: int
    sequence: int
    service: str
    zone: str
    leaving: bool
    slots: int
    cold_s: float
    held: tuple = ()
    freed: tuple = ()


class Grant(NamedTuple):
    """All ranges that a target is to hold, and for how long (s) from its beat."""

    rows: tuple
    hold_s: float


class VM(msgspec.Struct, array_like=True, frozen=True):
    """Entry of a VM in the membership: its node, and the target beside it.

    ``life`` names one process of the node. ``target`` names one life of the target
    (id and start), empty while none is known. ``leaving`` holds for node or target.
    """

    name: str
    life: str
    address: str
    zone: str
    service: str
    target: str = ""
    slots: int = 0
    leaving: bool = False


class Row(msgspec.Struct, array_like=True, frozen=True):
    """A range of keys [start, end] of a service and its owner.

    ``handover`` is the token of the last holder, empty if there was none.
    """

    start: int
    end: int
    fence: int
    vm: str
    target: str
    handover: str = ""


class KeyMap(msgspec.Struct, array_like=True, frozen=True):
    """Owners of all keys of a service; ranges without a row have none.

    ``suspects`` are rows of a VM and the id of the suspicion against it.
    """

    service: str
    next_fence: int = 1
    rows: tuple[Row, ...] = ()
    suspects: tuple[tuple[str, str], ...] = ()


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
