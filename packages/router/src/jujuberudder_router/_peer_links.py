"""Connections between nodes: each node dials every other one and asks on it."""

import itertools

import msgspec
import trio

from ._frames import (
    NOT_RUN,
    UNKNOWN,
    CancelForward,
    ForwardReply,
    ForwardRequest,
    FrameBuffer,
    Ping,
    Pong,
    StoreCall,
    StoreCallResult,
    encode_frame,
)
from ._http import READ_BYTES, dial
from ._server import where

# Seconds between two pings: the age of the load that a choice sees on an idle link.
PING_LEAST_S = 0.5
# Seconds for each link, and the most: the pings of all links take a fixed share of a
# processor, about 0.1 ms each at both ends.
PING_LINK_S, PING_MOST_S = 0.015, 1.5
# Intervals without any frame after which a link is not chosen for new requests: one, a
# round trip and a late timer.
QUIET_INTERVALS = 2.4
# Seconds, and the least number of intervals, without any frame after which a link is
# closed and dialled again. Requests on it are then in doubt, so it is above the freezes
# and queues of a busy VM.
SILENT_S, SILENT_INTERVALS = 3.0, 2.8
# Longest wait for a connection to another VM of the deployment, in seconds.
CONNECT_S = 1.0
# Seconds between two attempts to dial, doubling from the first to the last.
REDIAL_FIRST_S, REDIAL_LAST_S = 0.1, 2.0


def ping_interval(links):
    """Return the seconds between two pings on each of a number of links."""
    return min(PING_MOST_S, max(PING_LEAST_S, PING_LINK_S * links))


class FrameWriter:
    """Sends frames on a stream; frames that wait together leave in one write."""

    def __init__(self, stream):
        self._stream = stream
        self._frames = []
        self._wake = trio.Event()

    def send(self, frame):
        """Queue a frame; never waits."""
        self._frames.append(encode_frame(frame))
        self._wake.set()

    async def run(self):
        """Write until the stream breaks."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            frames, self._frames = self._frames, []
            await self._stream.send_all(b"".join(frames))


class PeerLink:
    """The connection to one other node, with what was last heard on it.

    Parameters
    ----------
    vm : VM
        Entry of the node.
    log : callable
    count : callable
        Returns the number of links of this node.
    read_progress, on_pong : callable
        ``read_progress()`` returns the ``ReadProgress`` of this node;
        ``on_pong(progress, sent_at)`` takes that of the other one, told after
        ``sent_at``.
    """

    def __init__(self, vm, log, count, read_progress, on_pong):
        self.vm = vm
        self._count = count
        self._read_progress = read_progress
        self._on_pong = on_pong
        self.load = None
        self.load_at = -1.0
        self.in_flight = 0
        self._log = log
        self._writer = None
        self._waiting = {}
        self._ids = itertools.count(1)
        self._heard_at = -1.0
        self._made_at = trio.current_time()

    @property
    def silent_s(self):
        """Seconds since the node was heard, or since this link was made."""
        return trio.current_time() - max(self._heard_at, self._made_at)

    @property
    def up(self):
        """Whether the node was heard lately."""
        if self._writer is None:
            return False
        return self.silent_s < QUIET_INTERVALS * ping_interval(self._count())

    async def run(self):
        """Keep a connection open until cancelled."""
        pause = REDIAL_FIRST_S
        while True:
            try:
                stream = await dial(self.vm.address, CONNECT_S, SILENT_S)
            except OSError as error:
                reason = str(error)
            else:
                pause = REDIAL_FIRST_S
                reason = await self._use(stream)
                self._log("peer_link_lost", peer=self.vm.name, reason=reason)
            await trio.sleep(pause)
            pause = min(2 * pause, REDIAL_LAST_S)

    async def _use(self, stream):
        self._writer = writer = FrameWriter(stream)
        self._heard_at = trio.current_time()
        self._log("peer_link_up", peer=self.vm.name, address=self.vm.address)
        reason = "closed by the peer"
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                nursery.start_soon(self._ping, writer)
                await self._read(stream)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError) as group:
            reason = str(group.exceptions[0])
        except* (TimeoutError, msgspec.MsgspecError) as group:
            reason = str(group.exceptions[0])
        finally:
            stream.socket.close()
            self._writer = None
            self._fail_waiting(reason)
        return reason

    def _fail_waiting(self, reason):
        waiting, self._waiting = self._waiting, {}
        for slot in waiting.values():
            slot.set(
                ForwardReply(0, UNKNOWN, reason=f"link to {self.vm.name}: {reason}")
            )

    async def _read(self, stream):
        frames = FrameBuffer()
        while True:
            interval_s = ping_interval(self._count())
            silent_s = max(SILENT_S, SILENT_INTERVALS * interval_s)
            with trio.move_on_after(silent_s) as scope:
                data = await stream.receive_some(READ_BYTES)
            if scope.cancelled_caught:
                raise TimeoutError(f"silent for {silent_s} s")
            if not data:
                return
            self._heard_at = trio.current_time()
            for frame in frames.feed(data):
                self._take(frame)

    def _take(self, frame):
        if isinstance(frame, (ForwardReply, Pong)) and frame.load is not None:
            self.load = frame.load
            self.load_at = trio.current_time()
        if isinstance(frame, Pong):
            self._on_pong(frame.progress, frame.sent_at)
        if isinstance(frame, (ForwardReply, StoreCallResult)):
            slot = self._waiting.pop(frame.id, None)
            if slot is not None:
                slot.set(frame)

    async def _ping(self, writer):
        while True:
            writer.send(Ping(trio.current_time(), self._read_progress()))
            await trio.sleep(ping_interval(self._count()))

    def request_read(self):
        """Tell the node that the store has a record that concerns it."""
        if self._writer is not None:
            self._writer.send(Ping(trio.current_time(), self._read_progress(), True))

    async def forward(self, ask):
        """Send a ``ForwardRequest`` and return the reply; cancelling tells the peer."""
        return await self._call(ask, cancel=True)

    async def call_store(self, payload):
        """Let the peer make a store call.

        Returns a ``StoreCallResult`` or a ``ForwardReply``.
        """
        return await self._call(StoreCall(0, payload), cancel=False)

    async def _call(self, frame, cancel):
        writer = self._writer
        if writer is None:
            return ForwardReply(0, NOT_RUN, reason=f"link to {self.vm.name} is down")
        frame.id = number = next(self._ids)
        slot = _Slot()
        self._waiting[number] = slot
        self.in_flight += 1
        try:
            writer.send(frame)
            return await slot.wait()
        finally:
            self.in_flight -= 1
            if self._waiting.pop(number, None) is not None and cancel:
                writer.send(CancelForward(number))


class _Slot:
    """Holds the frame that answers one call."""

    def __init__(self):
        self._event = trio.Event()
        self._frame = None

    def set(self, frame):
        self._frame = frame
        self._event.set()

    async def wait(self):
        await self._event.wait()
        return self._frame


async def serve_links(address, handle_ask, handle_relay, load, on_ping, log):
    """Accept connections of other nodes until cancelled.

    Parameters
    ----------
    address : (str, int)
    handle_ask : callable
        ``await handle_ask(ask) -> ForwardReply``; cancelled when the peer says so or
        is lost.
    handle_relay : callable
        ``await handle_relay(call) -> (result, reason)``.
    load : callable
        Returns the ``Load`` of the target beside this node, or None.
    on_ping : callable
        ``on_ping(progress, read_now)`` takes the ``ReadProgress`` of another node, and
        whether a record concerns this one; returns the ``ReadProgress`` of this node.
    log : callable
    """
    host, port = address

    async def serve(stream):
        writer = FrameWriter(stream)
        scopes = {}

        async def answer(ask, scope):
            with scope:
                try:
                    reply = await handle_ask(ask)
                except Exception as error:
                    log(
                        "handler_fault", id=ask.request_id, error=repr(error),
                        where=where(error),
                    )  # fmt: skip
                    reply = ForwardReply(ask.id, UNKNOWN, reason="internal fault")
                reply.id = ask.id
                writer.send(reply)
            scopes.pop(ask.id, None)

        async def relay(frame):
            result, reason = await handle_relay(frame.payload)
            writer.send(StoreCallResult(frame.id, result, reason))

        async def read(nursery):
            frames = FrameBuffer()
            while True:
                data = await stream.receive_some(READ_BYTES)
                if not data:
                    return
                for frame in frames.feed(data):
                    if isinstance(frame, ForwardRequest):
                        # Made here, so that a CancelForward in the same read finds it.
                        scopes[frame.id] = trio.CancelScope()
                        nursery.start_soon(answer, frame, scopes[frame.id])
                    elif isinstance(frame, CancelForward):
                        if frame.id in scopes:
                            scopes[frame.id].cancel()
                    elif isinstance(frame, Ping):
                        writer.send(
                            Pong(
                                frame.sent_at,
                                load(),
                                on_ping(frame.progress, frame.read_now),
                            )
                        )
                    elif isinstance(frame, StoreCall):
                        nursery.start_soon(relay, frame)

        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                await read(nursery)
                nursery.cancel_scope.cancel()
        except* (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            msgspec.MsgspecError,
        ) as group:
            log("peer_connection_lost", reason=str(group.exceptions[0]))
        finally:
            stream.socket.close()

    await trio.serve_tcp(serve, port, host=host)
