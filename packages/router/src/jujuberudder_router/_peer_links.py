"""Peer links: each node connects to every other node and sends its calls there."""

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
    FrameError,
    Ping,
    Pong,
    ReleaseReport,
    StoreCall,
    StoreCallResult,
    encode_frame,
)
from ._http import READ_BYTES, dial
from ._server import error_location

# Minimum ping interval: on an idle link it is the age of the load by which requests
# choose a VM.
MIN_PING_S = 0.5
# Ping interval per link, and its maximum. The interval grows with the number of links,
# so that all pings together take a fixed share of a processor: each takes about 0.1 ms
# at both ends.
PING_S_PER_LINK, MAX_PING_S = 0.015, 1.5
# Ping intervals without any frame after which a link gets no new requests: one
# interval, a round trip and a late timer.
UP_INTERVALS = 2.4
# Time after a ping without any frame after which a link gets no new requests: a round
# trip takes 10 ms, and a link of 10 Mbit/s that is filled by a body 0.5 s more.
PONG_TIMEOUT_S = 1.0
# Time, and minimum number of ping intervals, without any frame after which a link is
# closed and reconnected. Requests on it may then have run, so the time is longer than a
# busy VM freezes or queues frames.
RECEIVE_TIMEOUT_S, RECEIVE_TIMEOUT_INTERVALS = 3.0, 2.8
# Time-out of a connection attempt to another VM of the deployment.
CONNECT_TIMEOUT_S = 1.0
# First and longest backoff between two connection attempts; it doubles each time.
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.1, 2.0


def ping_interval(links):
    """Return the ping interval in seconds of a node with ``links`` links."""
    return min(MAX_PING_S, max(MIN_PING_S, PING_S_PER_LINK * links))


class FrameWriter:
    """Sends frames on a stream; queued frames are sent in one write."""

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
    """Connection to one other node, with the load last received on it.

    Parameters
    ----------
    vm : VM
        Membership entry of the other node.
    log : callable
    count_links : callable
        Returns the number of links of this node.
    read_progress, on_pong : callable
        ``read_progress()`` returns the ``ReadProgress`` of this node;
        ``on_pong(progress, sent_at)`` applies that of the other node, which sent it
        after ``sent_at``.

    Attributes
    ----------
    load : Load or None
        Last load of the target beside the other node.
    load_at : float
        When ``load`` was received, on this node's clock in seconds.
    in_flight : int
        Number of calls without a reply.
    """

    def __init__(self, vm, log, count_links, read_progress, on_pong):
        self.vm = vm
        self._count_links = count_links
        self._read_progress = read_progress
        self._on_pong = on_pong
        self.load = None
        self.load_at = -1.0
        self.in_flight = 0
        self._log = log
        self._writer = None
        self._pending = {}
        self._call_ids = itertools.count(1)
        self._received_at = -1.0
        # Time of the first ping since the last frame, or None.
        self._unanswered_ping_at = None
        self._created_at = trio.current_time()

    @property
    def idle_s(self):
        """Seconds since a frame arrived or the link opened, or since its creation."""
        return trio.current_time() - max(self._received_at, self._created_at)

    @property
    def lost(self):
        """Whether the connection is closed or no frame arrived for long."""
        if self._writer is None:
            return True
        return self.idle_s >= UP_INTERVALS * ping_interval(self._count_links())

    @property
    def up(self):
        """Whether new requests may be sent: the link answers its pings."""
        ping_at = self._unanswered_ping_at
        if ping_at is not None and trio.current_time() - ping_at > PONG_TIMEOUT_S:
            return False
        return not self.lost

    async def run(self):
        """Connect, and reconnect after each failure, until cancelled."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            try:
                stream = await dial(
                    self.vm.address, CONNECT_TIMEOUT_S, RECEIVE_TIMEOUT_S
                )
            except OSError as error:
                reason = str(error)
            else:
                backoff_s = INITIAL_BACKOFF_S
                reason = await self._run_connection(stream)
                self._log("peer_link_lost", peer=self.vm.name, reason=reason)
            await trio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _run_connection(self, stream):
        self._writer = writer = FrameWriter(stream)
        self._record_receipt()
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
        except* (TimeoutError, FrameError, msgspec.MsgspecError) as group:
            reason = str(group.exceptions[0])
        finally:
            stream.socket.close()
            self._writer = None
            self._fail_pending(reason)
        return reason

    def _fail_pending(self, reason):
        pending, self._pending = self._pending, {}
        for pending_reply in pending.values():
            pending_reply.set(
                ForwardReply(0, UNKNOWN, reason=f"link to {self.vm.name}: {reason}")
            )

    async def _read(self, stream):
        frames = FrameBuffer()
        while True:
            interval_s = ping_interval(self._count_links())
            timeout_s = max(RECEIVE_TIMEOUT_S, RECEIVE_TIMEOUT_INTERVALS * interval_s)
            with trio.move_on_after(timeout_s) as scope:
                data = await stream.receive_some(READ_BYTES)
            if scope.cancelled_caught:
                raise TimeoutError(f"silent for {timeout_s} s")
            if not data:
                return
            self._record_receipt()
            for frame in frames.feed(data):
                self._handle_frame(frame)

    def _handle_frame(self, frame):
        if isinstance(frame, (ForwardReply, Pong)) and frame.load is not None:
            self.load = frame.load
            self.load_at = trio.current_time()
        if isinstance(frame, Pong):
            self._on_pong(frame.progress, frame.sent_at)
        if isinstance(frame, (ForwardReply, StoreCallResult)):
            pending_reply = self._pending.pop(frame.id, None)
            if pending_reply is not None:
                pending_reply.set(frame)

    def _record_receipt(self):
        self._received_at = trio.current_time()
        self._unanswered_ping_at = None

    async def _ping(self, writer):
        while True:
            if self._unanswered_ping_at is None:
                self._unanswered_ping_at = trio.current_time()
            writer.send(Ping(trio.current_time(), self._read_progress()))
            await trio.sleep(ping_interval(self._count_links()))

    def request_read(self):
        """Ask the peer to read the membership topic now, for a record about it."""
        if self._writer is not None:
            self._writer.send(Ping(trio.current_time(), self._read_progress(), True))

    def report_releases(self, report):
        """Send a ``ReleaseReport``, unless the link is down."""
        if self._writer is not None:
            self._writer.send(report)

    async def forward(self, request):
        """Send a ``ForwardRequest`` and return the ``ForwardReply``.

        If this call is cancelled, the peer gets a ``CancelForward``.
        """
        return await self._call(request, cancel=True)

    async def call_store(self, payload):
        """Let the peer make a store call.

        Returns
        -------
        frame : StoreCallResult or ForwardReply
            A ``ForwardReply`` if the link is down or was lost before the result.
        """
        return await self._call(StoreCall(0, payload), cancel=False)

    async def _call(self, frame, cancel):
        writer = self._writer
        if writer is None:
            return ForwardReply(0, NOT_RUN, reason=f"link to {self.vm.name} is down")
        frame.id = call_id = next(self._call_ids)
        pending_reply = _PendingReply()
        self._pending[call_id] = pending_reply
        self.in_flight += 1
        try:
            writer.send(frame)
            return await pending_reply.wait()
        finally:
            self.in_flight -= 1
            if self._pending.pop(call_id, None) is not None and cancel:
                writer.send(CancelForward(call_id))


class _PendingReply:
    """Reply frame of one call, once it has arrived."""

    def __init__(self):
        self._event = trio.Event()
        self._frame = None

    def set(self, frame):
        self._frame = frame
        self._event.set()

    async def wait(self):
        await self._event.wait()
        return self._frame


async def serve_links(
    address, handle_request, handle_store_call, get_load, on_ping, on_releases, log
):
    """Accept connections of other nodes until cancelled.

    Parameters
    ----------
    address : (str, int)
    handle_request : callable
        ``await handle_request(request) -> ForwardReply``; cancelled when the peer sends
        a ``CancelForward`` or its connection is lost.
    handle_store_call : callable
        ``await handle_store_call(payload) -> (result, reason)``.
    get_load : callable
        Returns the ``Load`` of the target beside this node, or None.
    on_ping : callable
        ``on_ping(progress, read_now)`` applies the ``ReadProgress`` of a peer and reads
        the membership topic at once if ``read_now`` is true; it returns the
        ``ReadProgress`` of this node.
    on_releases : callable
        ``on_releases(report)`` applies a ``ReleaseReport``.
    log : callable
    """
    host, port = address

    async def serve(stream):
        writer = FrameWriter(stream)
        scopes = {}

        async def answer(request, scope):
            with scope:
                try:
                    reply = await handle_request(request)
                except Exception as error:
                    log(
                        "handler_fault", id=request.request_id, error=repr(error),
                        where=error_location(error),
                    )  # fmt: skip
                    reply = ForwardReply(request.id, UNKNOWN, reason="internal fault")
                reply.id = request.id
                writer.send(reply)
            scopes.pop(request.id, None)

        async def run_store_call(frame):
            result, reason = await handle_store_call(frame.payload)
            writer.send(StoreCallResult(frame.id, result, reason))

        async def read(nursery):
            frames = FrameBuffer()
            while True:
                data = await stream.receive_some(READ_BYTES)
                if not data:
                    return
                for frame in frames.feed(data):
                    if isinstance(frame, ForwardRequest):
                        # Created before the task starts, so that a CancelForward that
                        # arrives in the same read finds the scope.
                        scopes[frame.id] = trio.CancelScope()
                        nursery.start_soon(answer, frame, scopes[frame.id])
                    elif isinstance(frame, CancelForward):
                        if frame.id in scopes:
                            scopes[frame.id].cancel()
                    elif isinstance(frame, Ping):
                        writer.send(
                            Pong(
                                frame.sent_at,
                                get_load(),
                                on_ping(frame.progress, frame.read_now),
                            )
                        )
                    elif isinstance(frame, ReleaseReport):
                        on_releases(frame)
                    elif isinstance(frame, StoreCall):
                        nursery.start_soon(run_store_call, frame)

        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                await read(nursery)
                nursery.cancel_scope.cancel()
        except* (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            FrameError,
            msgspec.MsgspecError,
        ) as group:
            log("peer_connection_lost", reason=str(group.exceptions[0]))
        finally:
            stream.socket.close()

    await trio.serve_tcp(serve, port, host=host)
