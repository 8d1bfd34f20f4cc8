"""Control messages between nodes, encoded as msgpack arrays ``[kind, field, ...]``."""

from typing import NamedTuple

import msgspec
from result import Err, Ok

from jujuberudder_core import Failure


class Renew(NamedTuple):
    """Ask a witness to acknowledge the lease of an incarnation.

    ``to`` is the incarnation of the witness: a later incarnation at the same address
    has not sealed what the earlier one sealed and must not answer for it.
    """

    deployment: str
    to: str
    incarnation: str


class Ping(NamedTuple):
    """Ask whether a node could act as a witness."""

    deployment: str
    to: str


class Granted(NamedTuple):
    """The witness promised not to be sealed before the grant runs out."""


class Refused(NamedTuple):
    """The request was not granted."""

    reason: str


class Seal(NamedTuple):
    """Ask a witness never to acknowledge an incarnation again."""

    deployment: str
    to: str
    incarnation: str


class Sealed(NamedTuple):
    """The incarnation is sealed; its last grant may run for ``remaining_s`` more."""

    remaining_s: float


class Ended(NamedTuple):
    """An incarnation is sealed and its grants have run out; append its death."""

    deployment: str
    to: str
    incarnation: str
    version: int


class Released(NamedTuple):
    """The owner of a moving shard stopped serving it."""

    deployment: str
    service: str
    prefix: str
    move_epoch: int


class Report(NamedTuple):
    """Load of a target, from its node to the planner of its service.

    Rates are requests per 10 s, as integers, because a float takes 9 bytes.

    Parameters
    ----------
    deployment, service, incarnation : str
        ``incarnation`` is empty if the sender only asks for the summary.
    since : int
        Offset of the ownership fold when the measured window began.
    in_flight : int
    rate : int
    shards : list of (prefix, rate)
        Shards whose rate changed since the planner last answered.
    keys : list of (hash, rate)
        The hottest keys.
    """

    deployment: str
    service: str
    incarnation: str
    since: int
    in_flight: int
    rate: int
    shards: list[tuple[str, int]]
    keys: list[tuple[int, int]]


class Summary(NamedTuple):
    """Load of targets of a service: ``(incarnation, in_flight, rate)`` each.

    A rotating part of all targets if there are many.
    """

    loads: list[tuple[str, int, int]]


class Understood(NamedTuple):
    """The message was taken in."""


KINDS = {
    cls.__name__.lower(): cls
    for cls in (
        Renew,
        Ping,
        Ended,
        Granted,
        Refused,
        Seal,
        Sealed,
        Released,
        Report,
        Summary,
        Understood,
    )
}


def encode_message(message):
    """Return a message as bytes."""
    return msgspec.msgpack.encode([type(message).__name__.lower(), *message])


def decode_message(data, peer):
    """Return ``Result[message, Failure]`` from bytes received from ``peer``."""
    try:
        fields = msgspec.msgpack.decode(data, type=list)
        cls = KINDS.get(fields[0]) if fields else None
        if cls is None:
            return Err(Failure("decode", peer, f"unknown message {fields[:1]!r}"))
        return Ok(msgspec.convert(fields[1:], cls))
    except (msgspec.MsgspecError, TypeError) as error:
        return Err(Failure("decode", peer, str(error)))
