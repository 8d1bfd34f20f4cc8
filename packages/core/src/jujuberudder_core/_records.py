"""Records of the ownership and configuration streams and their JSON codec.

A record is encoded as ``[kind, field, ...]``. New fields are appended with a default,
so that an older record still decodes. A record with more fields than known, or of an
unknown kind, is skipped by the reader (rolling upgrades).
"""

import secrets
from typing import NamedTuple

import msgspec
from result import Err, Ok

from jujuberudder_base import Failure

ID_BYTES = 8
# Leases that records grant: as long as those of witnesses, longer with a slow log.
LOG_LEASE_MIN_S = 1.0
LOG_LEASE_MAX_S = 8.0


class ShardOwner(NamedTuple):
    """A shard at a known epoch and the incarnation that shall own it."""

    service: str
    prefix: str
    epoch: int
    owner: str


class Base(NamedTuple):
    """An incarnation and the version of it that a record is based on."""

    incarnation: str
    version: int


class Admit(NamedTuple):
    """A new incarnation of a node is alive.

    ``sections`` is the position up to which it had read the configuration stream: an
    operator's later word that the node is destroyed concerns this incarnation.
    ``lease_s`` is the length of the lease that the record grants, in seconds.
    """

    id: str
    incarnation: str
    node: str
    service: str
    availability_zone: str
    control_address: str
    request_address: str
    client_address: str
    witnesses: tuple[str, ...] = ()
    sections: int = 0
    operator_address: str = ""
    lease_s: float = LOG_LEASE_MIN_S


class Keep(NamedTuple):
    """The incarnation is alive; counts as a lease from the send of the append.

    ``lease_s`` is the length of the lease in seconds.
    """

    id: str
    incarnation: str
    base: int
    lease_s: float = LOG_LEASE_MIN_S


class Witnesses(NamedTuple):
    """The incarnation names a new witness set beside its current one."""

    id: str
    incarnation: str
    base: int
    witnesses: tuple[str, ...]


class Confirm(NamedTuple):
    """The incarnation holds a lease from its new witness set."""

    id: str
    incarnation: str
    base: int


class Dead(NamedTuple):
    """Incarnations whose leases have run out, and the next owners of their shards."""

    id: str
    coordinator: str
    bases: tuple[Base, ...]
    shards: tuple[ShardOwner, ...]


class Leave(NamedTuple):
    """An incarnation stopped serving of its own accord."""

    id: str
    incarnation: str
    base: int
    shards: tuple[ShardOwner, ...]


class Withdraw(NamedTuple):
    """The incarnation is about to leave: it takes no shards and its own start moving.

    ``owner`` of each entry is the destination.
    """

    id: str
    incarnation: str
    base: int
    shards: tuple[ShardOwner, ...]


class Claim(NamedTuple):
    """An incarnation becomes the planner of a service."""

    id: str
    service: str
    base: int
    planner: str


class Assign(NamedTuple):
    """Owners for shards without one, or the first shards of a service."""

    id: str
    planner: str
    shards: tuple[ShardOwner, ...]


class Move(NamedTuple):
    """Shards start moving; ``owner`` of each entry is the destination."""

    id: str
    planner: str
    shards: tuple[ShardOwner, ...]


class Release(NamedTuple):
    """The owner stopped serving a moving shard; ``epoch`` is its own epoch."""

    id: str
    service: str
    prefix: str
    epoch: int


class Cancel(NamedTuple):
    """The owner keeps a shard that it has not released.

    ``move_epoch`` names the move: a cancel that arrives late must not end another one.
    """

    id: str
    service: str
    prefix: str
    epoch: int
    move_epoch: int = 0


class Split(NamedTuple):
    """A shard becomes two with the same owner."""

    id: str
    service: str
    prefix: str
    epoch: int


class Merge(NamedTuple):
    """Two sibling shards with the same owner become one; ``prefix`` is the parent's."""

    id: str
    service: str
    prefix: str
    epochs: tuple[int, int]


class Section(NamedTuple):
    """A new version of a section of the configuration document."""

    id: str
    name: str
    base: int
    text: str
    author: str = ""


class Snapshot(NamedTuple):
    """A chunk of the state after the record at ``position``.

    ``base`` is the position of the last complete snapshot: of several writers, those
    that come after a complete snapshot have no effect.
    """

    id: str
    name: str
    base: int
    position: int
    part: int
    parts: int
    entries: list[list]


KINDS = {
    cls.__name__.lower(): cls
    for cls in (
        Admit,
        Keep,
        Witnesses,
        Confirm,
        Dead,
        Leave,
        Withdraw,
        Claim,
        Assign,
        Move,
        Release,
        Cancel,
        Split,
        Merge,
        Section,
        Snapshot,
    )
}


def new_id():
    """Return a random identifier for a record, an incarnation or a request."""
    return secrets.token_hex(ID_BYTES)


def encode_record(record):
    """Return a record as a line of JSON.

    Parameters
    ----------
    record : NamedTuple
        One of the record types of this module.

    Returns
    -------
    data : str
    """
    kind = type(record).__name__.lower()
    return msgspec.json.encode([kind, *record]).decode()


def decode_record(data):
    """Return the record in a line of JSON.

    Parameters
    ----------
    data : str

    Returns
    -------
    record : Result[NamedTuple, Failure]
    """
    try:
        fields = msgspec.json.decode(data, type=list)
        cls = KINDS.get(fields[0]) if fields else None
        if cls is None:
            return Err(Failure("decode", "log", f"unknown record kind {fields[:1]!r}"))
        return Ok(msgspec.convert(fields[1:], cls))
    except (msgspec.MsgspecError, UnicodeError, TypeError) as error:
        return Err(Failure("decode", "log", str(error)))
