"""Records of the ownership and configuration streams and their JSON codec.

A record is encoded as ``[kind, field, ...]``. A new field is appended with a default,
so that older records still decode. Readers skip records of an unknown kind and records
with unknown fields, which occur during rolling upgrades.

``base``, ``epoch`` and ``epochs`` are the versions of the state that the writer had
read. A record has no effect on state whose version has changed since.
"""

import secrets
from typing import NamedTuple

import msgspec
from result import Err, Ok

from jujuberudder_base import Failure

ID_BYTES = 8
# Bounds of the lease that a record grants. The shortest one is as long as a lease from
# witnesses; a slow log needs longer leases.
LOG_LEASE_MIN_S = 1.0
LOG_LEASE_MAX_S = 8.0


class ShardOwner(NamedTuple):
    """A shard at a known epoch and its new owner, an incarnation."""

    service: str
    prefix: str
    epoch: int
    owner: str


class Base(NamedTuple):
    """An incarnation and the version on which a record is based."""

    incarnation: str
    version: int


class Admit(NamedTuple):
    """A new incarnation of a node is alive.

    ``sections`` is the position up to which the incarnation has read the configuration
    stream; a later entry in ``destroyed`` applies to this incarnation. ``lease_s`` is
    the length of the granted lease in seconds.
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
    """The incarnation is alive; grants it a lease from the time the append is sent.

    ``lease_s`` is the length of the lease in seconds.
    """

    id: str
    incarnation: str
    base: int
    lease_s: float = LOG_LEASE_MIN_S


class Witnesses(NamedTuple):
    """The incarnation proposes a new witness set in addition to its current one."""

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
    """Incarnations whose leases have expired, and the next owners of their shards."""

    id: str
    coordinator: str
    bases: tuple[Base, ...]
    shards: tuple[ShardOwner, ...]


class Leave(NamedTuple):
    """An incarnation stopped serving voluntarily."""

    id: str
    incarnation: str
    base: int
    shards: tuple[ShardOwner, ...]


class Withdraw(NamedTuple):
    """The incarnation is leaving: it accepts no shards and its own start to move.

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
    """Owners for shards without an owner, or the initial shards of a service."""

    id: str
    planner: str
    shards: tuple[ShardOwner, ...]


class Move(NamedTuple):
    """Shards start to move; ``owner`` of each entry is the destination."""

    id: str
    planner: str
    shards: tuple[ShardOwner, ...]


class Release(NamedTuple):
    """The owner stopped serving a moving shard; ``epoch`` is the owner's epoch."""

    id: str
    service: str
    prefix: str
    epoch: int


class Cancel(NamedTuple):
    """The owner keeps a shard that it has not released.

    ``move_epoch`` identifies the move: a late cancel must not end a later move.
    """

    id: str
    service: str
    prefix: str
    epoch: int
    move_epoch: int = 0


class Split(NamedTuple):
    """A shard is split into two shards with the same owner."""

    id: str
    service: str
    prefix: str
    epoch: int


class Merge(NamedTuple):
    """Two sibling shards of one owner are merged; ``prefix`` is that of the parent."""

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

    ``base`` is the position of the last complete snapshot. A concurrent writer's chunks
    have no effect if another snapshot on the same base is completed first.
    """

    id: str
    name: str
    base: int
    position: int
    part: int
    parts: int
    entries: list[list]


RECORD_TYPES = {
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
    """Encode a record as one line of JSON.

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
    """Decode a record from a line of JSON.

    Parameters
    ----------
    data : str

    Returns
    -------
    record : Result[NamedTuple, Failure]
    """
    try:
        fields = msgspec.json.decode(data, type=list)
        cls = RECORD_TYPES.get(fields[0]) if fields else None
        if cls is None:
            return Err(Failure("decode", "log", f"unknown record kind {fields[:1]!r}"))
        return Ok(msgspec.convert(fields[1:], cls))
    except (msgspec.MsgspecError, UnicodeError, TypeError) as error:
        return Err(Failure("decode", "log", str(error)))
