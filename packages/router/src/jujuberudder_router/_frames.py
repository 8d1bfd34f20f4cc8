"""Messages between nodes: msgpack arrays behind a length of four bytes."""

import msgspec

LENGTH_BYTES = 4

ANSWERED, NOT_RUN, UNKNOWN = 0, 1, 2


class Load(msgspec.Struct, array_like=True, frozen=True):
    """What the node beside a target reports of it.

    ``wait_s`` is what a new request would wait, ``service_s`` how long one runs (0 if
    none ran yet), and ``usage`` the mean of running and queued over slots.
    """

    running: int
    queued: int
    slots: int
    wait_s: float
    service_s: float
    accepting: bool
    usage: float = 0.0


class ForwardRequest(msgspec.Struct, array_like=True, tag="a"):
    """A request passed on to the node beside the target that is to run it."""

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


class ForwardReply(msgspec.Struct, array_like=True, tag="r"):
    """What became of a ``ForwardRequest``.

    ``outcome`` is ANSWERED, NOT_RUN (it will not run later either) or UNKNOWN.
    ``reached_target`` tells of a request that did not run whether the target saw it,
    and ``owner`` which VM owns its key if this one does not.
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


class CancelForward(msgspec.Struct, array_like=True, tag="c"):
    """The caller of a ``ForwardRequest`` left or its time is over."""

    id: int


class ReadProgress(msgspec.Struct, array_like=True, frozen=True):
    """How far a node has read the topics.

    ``membership_age_s`` is the time since the node sent its last complete read of the
    fleet's topic, negative if there was none.
    """

    operator_end: int = 0
    membership_end: int = 0
    membership_age_s: float = -1.0


class Ping(msgspec.Struct, array_like=True, tag="p"):
    """Asks for a ``Pong``; ``sent_at`` is a time of the sender's clock, sent back.

    ``read_now`` tells of a record that concerns the receiver.
    """

    sent_at: float
    progress: ReadProgress = ReadProgress()
    read_now: bool = False


class Pong(msgspec.Struct, array_like=True, tag="q"):
    """Answers a ``Ping`` with the load of the target beside the node."""

    sent_at: float
    load: Load | None = None
    progress: ReadProgress = ReadProgress()


class StoreCall(msgspec.Struct, array_like=True, tag="s"):
    """A store call made on behalf of a node that the store turns away."""

    id: int
    payload: bytes


class StoreCallResult(msgspec.Struct, array_like=True, tag="t"):
    """Result of a ``StoreCall``; ``result`` is empty if the call failed."""

    id: int
    result: bytes
    reason: str = ""


Frame = (
    ForwardRequest
    | ForwardReply
    | CancelForward
    | Ping
    | Pong
    | StoreCall
    | StoreCallResult
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame):
    """Return a frame as bytes with its length."""
    buffer = bytearray(LENGTH_BYTES)
    _encoder.encode_into(frame, buffer, LENGTH_BYTES)
    buffer[:LENGTH_BYTES] = (len(buffer) - LENGTH_BYTES).to_bytes(LENGTH_BYTES, "big")
    return buffer


class FrameBuffer:
    """Cuts received bytes into frames."""

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data):
        """Return the frames that are complete with these bytes."""
        buffer = self._buffer
        buffer += data
        frames, start = [], 0
        while len(buffer) - start >= LENGTH_BYTES:
            size = int.from_bytes(buffer[start : start + LENGTH_BYTES], "big")
            end = start + LENGTH_BYTES + size
            if len(buffer) < end:
                break
            frames.append(_decoder.decode(bytes(buffer[start + LENGTH_BYTES : end])))
            start = end
        del buffer[:start]
        return frames
