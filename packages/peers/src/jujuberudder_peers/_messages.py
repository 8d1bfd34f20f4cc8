"""Control messages between nodes, encoded as msgpack arrays ``[kind, field, ...]``."""

from typing import NamedTuple

import msgspec
from result import Err, Ok

from jujuberudder_core import Failure


class Renew(NamedTuple):
    """Request for a witness to grant a renewal of the lease of an incarnation.

    ``to`` is the incarnation of the witness: a later incarnation at the same address
    does not know the seals of the earlier one and must not reply in its place.
    """

    deployment: str
    to: str
    incarnation: str


class Ping(NamedTuple):
    """Request to a node to find out whether it can act as a witness."""

    deployment: str
    to: str


class Granted(NamedTuple):
    """Reply that grants a renewal; a later seal takes effect once the grant expires."""


class Refused(NamedTuple):
    """Reply to a request that is not carried out, with the reason."""

    reason: str


class Seal(NamedTuple):
    """Request for a witness to grant no further renewal to an incarnation."""

    deployment: str
    to: str
    incarnation: str


class Sealed(NamedTuple):
    """Reply that an incarnation is sealed; its grant expires in ``remaining_s``."""

    remaining_s: float


class Ended(NamedTuple):
    """Request to append the death of a sealed incarnation whose grants have expired."""

    deployment: str
    to: str
    incarnation: str
    version: int


class Released(NamedTuple):
    """Notice from the former owner of a moving shard that it has stopped serving it."""

    deployment: str
    service: str
    prefix: str
    move_epoch: int


class Report(NamedTuple):
    """Load of a target, sent by its node to the planner of its service.

    Rates are requests per 10 s, as integers, because an encoded float takes 9 bytes.

    Parameters
    ----------
    deployment, service, incarnation : str
        ``incarnation`` is empty if the sender only requests the summary.
    since : int
        Position of the ownership fold when the measured window began.
    in_flight : int
    rate : int
    shards : list of (prefix, rate)
        Shards whose rate has changed since the last reply of the planner.
    keys : list of (hash, rate)
        The keys with the highest rates.
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
    """Loads of the targets of a service, each as ``(incarnation, in_flight, rate)``.

    If the service has many targets, successive summaries contain them in rotation.
    ``rate`` is in requests per 10 s.
    """

    loads: list[tuple[str, int, int]]


class Understood(NamedTuple):
    """Reply that a message was accepted."""


MESSAGE_CLASSES = {
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
    """Encode a message as bytes."""
    return msgspec.msgpack.encode([type(message).__name__.lower(), *message])


def decode_message(data, peer):
    """Decode a message received from a peer.

    Parameters
    ----------
    data : bytes
    peer : str
        Name of the peer in the failure.

    Returns
    -------
    message : Result[NamedTuple, Failure]
    """
    try:
        fields = msgspec.msgpack.decode(data, type=list)
        cls = MESSAGE_CLASSES.get(fields[0]) if fields else None
        if cls is None:
            return Err(Failure("decode", peer, f"unknown message {fields[:1]!r}"))
        return Ok(msgspec.convert(fields[1:], cls))
    except (msgspec.MsgspecError, TypeError) as error:
        return Err(Failure("decode", peer, str(error)))
