"""Frames between nodes: msgpack arrays, each after its length in four bytes."""

from typing import Annotated

import msgspec

LENGTH_BYTES = 4
# Maximum length of a frame: the newest records of both topics at 4,500 VMs take 4 MB. A
# peer that sends something else than frames exceeds it at once: the four bytes "HTTP"
# are a length of 1.2 GB.
MAX_FRAME_BYTES = 16777216
# Longest body within the frame of its request. A longer one follows in parts, after the
# other node has room for it: that takes one more round trip.
MAX_INLINE_BODY_BYTES = 262144
# Length of a part of a body; other frames are sent between two parts.
BODY_PART_BYTES = 65536

ANSWERED, NOT_RUN, UNKNOWN = 0, 1, 2


class Load(msgspec.Struct, array_like=True, frozen=True):
    """Load of a target, as reported by the node beside it.

    ``wait_s`` is the expected wait of a new request, ``service_s`` the mean time that a
    request runs (0 before the first one), and ``usage`` the mean of running and queued
    requests over slots. ``slots`` counts those that the target's rate limit keeps busy.
    ``refusals`` are pairs of an urgency and the number of requests of it that were
    refused in the last second because of the queue.
    ``work_time_factor`` is how long work takes there at present, as a multiple of the
    usual time. ``cold`` is whether the target is cold, so that its rate is limited.
    """

    running: int
    queued: int
    slots: float
    wait_s: float
    service_s: float
    accepting: bool
    usage: float = 0.0
    refusals: tuple[tuple[int, int], ...] = ()
    work_time_factor: float = 1.0
    cold: bool = False


class LoadReport(msgspec.Struct, array_like=True, frozen=True):
    """Load of another VM, measured ``age_s`` seconds before the report was sent."""

    vm: str
    load: Load
    age_s: float


class Hello(msgspec.Struct, array_like=True, tag="i"):
    """First frame in both directions of a connection: the process that sends it.

    An address may belong to another VM by the time that it is dialed. ``peer`` is the
    VM that the dialing node expects; it is empty in the answer.
    """

    vm: str
    node_incarnation: str
    peer: str = ""


class ForwardRequest(msgspec.Struct, array_like=True, tag="a"):
    """A client request, forwarded to the node beside the target that is to run it.

    If ``body_bytes`` is not 0, ``body`` is empty: as many bytes follow in ``BodyPart``
    frames, after a ``SendBody``. ``no_other_vm`` states that no other VM took it,
    ``caller_priority`` is that of the most urgent request that runs at the target where
    it began, and ``returning`` states that its client was refused before.
    ``may_return`` that another VM has a free slot for it if this target is slow.
    """

    id: int
    request_id: str
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    remaining_s: float
    latency_goal_s: float
    priority: int
    key: int | None
    caller: str
    service: str
    route: str
    body_bytes: Annotated[int, msgspec.Meta(ge=0, le=2**32)] = 0
    no_other_vm: bool = False
    caller_priority: int | None = None
    returning: bool = False
    may_return: bool = False


class ForwardReply(msgspec.Struct, array_like=True, tag="r"):
    """Result of a ``ForwardRequest``.

    ``outcome`` is ANSWERED, NOT_RUN (it will not run later either) or UNKNOWN. If the
    request did not run, ``reached_target`` states whether the target received it, and
    ``owner`` is the VM that owns its key if this VM does not. ``body_bytes`` is as in a
    ``ForwardRequest``. ``node_s`` is positive if the node refused the request because
    it stops: the time that it gives to running requests, in seconds. ``called`` states
    whether the requests of its route are calls, where kinds of requests compete.
    ``service_s`` is
    the mean time that requests of the route run at this target, in seconds, 0 if none
    has run. ``returned`` states that the request was not run because the target is slow
    at present; this VM would run it if no other does.
    """

    id: int
    outcome: int
    status: int = 0
    headers: list[tuple[bytes, bytes]] = []
    body: bytes = b""
    reason: str = ""
    retry_after_s: float = 0.0
    reached_target: bool = False
    owner: str = ""
    load: Load | None = None
    body_bytes: Annotated[int, msgspec.Meta(ge=0, le=2**32)] = 0
    node_s: float = 0.0
    called: bool = False
    service_s: float = 0.0
    returned: bool = False


class SendBody(msgspec.Struct, array_like=True, tag="b"):
    """Asks for the body of a request or reply, for which there is room now."""

    id: int


class BodyPart(msgspec.Struct, array_like=True, tag="d"):
    """The next bytes of the body of a request or reply."""

    id: int
    data: bytes


class CancelForward(msgspec.Struct, array_like=True, tag="c"):
    """Cancels a ``ForwardRequest``: its client disconnected or its deadline passed."""

    id: int


class ReadProgress(msgspec.Struct, array_like=True, frozen=True):
    """How far a node has read the store's topics.

    ``membership_age_s`` is the time in seconds since the node sent its last complete
    read of the membership topic, negative if there was none. ``store_failing`` states
    whether its reads fail. ``era`` is that of the store in which the ends were read, 0
    if the store states none.
    """

    operator_end: int = 0
    membership_end: int = 0
    membership_age_s: float = -1.0
    store_failing: bool = False
    era: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)] = 0


class Ping(msgspec.Struct, array_like=True, tag="p"):
    """Requests a ``Pong``, which repeats ``sent_at``, a time of the sender's clock.

    ``load`` is that of the target beside the sender, ``reports`` are loads of other VMs
    of its service.
    """

    sent_at: float
    progress: ReadProgress = ReadProgress()
    load: Load | None = None
    reports: list[LoadReport] = []


class Pong(msgspec.Struct, array_like=True, tag="q"):
    """Response to a ``Ping`` with the load of the target beside the node."""

    sent_at: float
    load: Load | None = None
    progress: ReadProgress = ReadProgress()


class Subscribe(msgspec.Struct, array_like=True, tag="u"):
    """Asks for the newest records of both topics from these ends on, and later ones.

    If ``active`` is false, it ends that. ``era`` is as in ``ReadProgress``.
    """

    operator_end: int
    membership_end: int
    active: bool = True
    era: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)] = 0


class Update(msgspec.Struct, array_like=True, tag="w"):
    """Newest records (offset, key, value) of a topic with offsets in [since, end).

    ``era`` is as in ``ReadProgress``. ``keys`` lists all keys that have a value at
    ``end``; None if that is not told.
    """

    topic: str
    since: int
    end: int
    records: list[tuple[int, str, bytes]]
    era: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)] = 0
    keys: list[str] | None = None


class ReleaseReport(msgspec.Struct, array_like=True, tag="h"):
    """Ranges that the target of a VM released, for the VM that writes the key map.

    ``ranges`` lists (start, end, fence, handover, receiver): ``fence`` is that of the
    key range in the key map, ``receiver`` the VM that is to get the keys. The report
    holds only for the process ``node_incarnation`` of the VM, which grants none of
    these ranges again under their fences.
    """

    vm: str
    node_incarnation: str
    ranges: list[tuple[int, int, int, str, str]]


class LeavingNotice(msgspec.Struct, array_like=True, tag="l"):
    """States that the target of a VM is about to stop, which the store may not have.

    The VM sends it to others, and they send it back with their own name in ``keeper``:
    at once, and to each later process of the VM's node.
    """

    vm: str
    target_incarnation: str
    keeper: str = ""


class StoreCall(msgspec.Struct, array_like=True, tag="s"):
    """A store call to make on behalf of a node whose own calls the store refuses."""

    id: int
    payload: bytes


class StoreCallResult(msgspec.Struct, array_like=True, tag="t"):
    """Result of a ``StoreCall``; ``result`` is empty if the call failed."""

    id: int
    result: bytes
    reason: str = ""


Frame = (
    Hello
    | ForwardRequest
    | ForwardReply
    | SendBody
    | BodyPart
    | CancelForward
    | Ping
    | Pong
    | Subscribe
    | Update
    | ReleaseReport
    | LeavingNotice
    | StoreCall
    | StoreCallResult
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame):
    """Return a frame as bytes, with its length before it."""
    buffer = bytearray(LENGTH_BYTES)
    _encoder.encode_into(frame, buffer, LENGTH_BYTES)
    buffer[:LENGTH_BYTES] = (len(buffer) - LENGTH_BYTES).to_bytes(LENGTH_BYTES, "big")
    return buffer


class FrameError(Exception):
    """Received bytes that are not frames."""


class FrameBuffer:
    """Splits received bytes into frames."""

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data):
        """Append received bytes and return the frames that are now complete.

        Raises
        ------
        FrameError
            A frame is longer than ``MAX_FRAME_BYTES``.
        msgspec.MsgspecError
            A frame is malformed.
        """
        buffer = self._buffer
        buffer += data
        frames, start = [], 0
        while len(buffer) - start >= LENGTH_BYTES:
            frame_bytes = int.from_bytes(buffer[start : start + LENGTH_BYTES], "big")
            if frame_bytes > MAX_FRAME_BYTES:
                raise FrameError(f"frame over {MAX_FRAME_BYTES} bytes")
            end = start + LENGTH_BYTES + frame_bytes
            if len(buffer) < end:
                break
            frames.append(_decoder.decode(buffer[start + LENGTH_BYTES : end]))
            start = end
        del buffer[:start]
        return frames
