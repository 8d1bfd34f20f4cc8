"""Peer links: each node connects to every other node and sends its calls there."""

import itertools
import math

import msgspec
import trio

from ._frame_stream import FrameStream
from ._frames import (
    NOT_RUN,
    UNKNOWN,
    CancelForward,
    ForwardReply,
    ForwardRequest,
    FrameError,
    Hello,
    Ping,
    Pong,
    ReleaseReport,
    StoreCall,
    StoreCallResult,
)
from ._http import dial
from ._server import error_location

# Minimum ping interval: on an idle link it is the age of the load by which requests
# choose a VM.
MIN_PING_S = 0.5
# Ping interval per link, and its maximum. The interval grows with the number of links,
# so that all pings together take a fixed share of a processor: each takes about 0.1 ms
# at both ends.
PING_S_PER_LINK, MAX_PING_S = 0.015, 1.5
# Interval at which the links that are due for a ping get one, and the maximum number of
# links that get one at a time, as a multiple of the mean: together the pings of 87
# links would delay requests by 10 ms.
PING_TICK_S, MAX_TICK_SHARE = 0.1, 1.5
# Time between two such checks above which the process was paused.
MAX_TICK_S = 0.5
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
# Time-out of the exchange of the first frames on a connection: as long as a connection
# may be silent later, since bodies that fill a link delay these frames as well.
HELLO_TIMEOUT_S = RECEIVE_TIMEOUT_S
# First and longest backoff between two connection attempts; it doubles each time.
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.1, 2.0


def ping_interval(links):
    """Return the ping interval in seconds of a node with ``links`` links."""
    return min(MAX_PING_S, max(MIN_PING_S, PING_S_PER_LINK * links))


class WrongPeerError(Exception):
    """The process at the other end of a connection is not the expected one."""


async def receive_hello(stream):
    """Return the first frame of a connection, a ``Hello``.

    Raises
    ------
    FrameError
        The connection ended, or began with another frame.
    msgspec.MsgspecError, trio.BrokenResourceError
    """
    frames = []
    while not frames:
        frames = await stream.receive()
        if frames is None:
            raise FrameError("closed before the first frame")
    if len(frames) > 1 or not isinstance(frames[0], Hello):
        raise FrameError("the first frame does not name its sender")
    return frames[0]


class PeerLink:
    """Connection to one other node, with the load last received on it.

    It is used only while the process at the other end has proved to be a node of the
    VM: another VM may have got the address.

    Parameters
    ----------
    vm : VM
        Membership entry of the other node.
    hello : Hello
        Names this node and the VM of the other one.
    log : callable
    count_links : callable
        Returns the number of links of this node.
    read_progress, on_pong : callable
        ``read_progress()`` returns the ``ReadProgress`` of this node;
        ``on_pong(progress, sent_at)`` applies that of the other node, which sent it
        after ``sent_at``.

    Attributes
    ----------
    node_incarnation : str
        Process of the other node on the last connection; empty before the first one.
    load : Load or None
        Last load of the target beside the other node, from its present process.
    load_at : float
        When ``load`` was received, on this node's clock in seconds.
    displaced_at : float or None
        When a node of another VM first answered at the address of this one, on this
        node's clock in seconds; None unless that was the last answer.
    in_flight : int
        Number of calls without a reply.
    pinged_at, received_at : float
        When the last ping was sent and the last frame received or the connection
        opened, on this node's clock in seconds.
    """

    def __init__(self, vm, hello, log, count_links, read_progress, on_pong):
        self.vm = vm
        self.node_incarnation = ""
        self._hello = hello
        self._count_links = count_links
        self._read_progress = read_progress
        self._on_pong = on_pong
        self.load = None
        self.load_at = -1.0
        self.displaced_at = None
        self.in_flight = 0
        self.pinged_at = self.received_at = -1.0
        self._log = log
        self._stream = None
        self._connection_scope = None
        self._pending = {}
        self._call_ids = itertools.count(1)
        # Time of the first ping since the last frame, or None.
        self._unanswered_ping_at = None
        self._last_round_trip_s = 0.0
        self._created_at = trio.current_time()

    @property
    def idle_s(self):
        """Seconds since a frame arrived or the link opened, or since its creation."""
        return trio.current_time() - max(self.received_at, self._created_at)

    @property
    def connected(self):
        """Whether there is a connection, which may be silent."""
        return self._stream is not None

    @property
    def round_trip_s(self):
        """Seconds from a ping to its pong: of the last one, or of one under way so far.

        It grows to seconds while bodies fill the network link of either VM.
        """
        if self._unanswered_ping_at is None:
            return self._last_round_trip_s
        waited_s = trio.current_time() - self._unanswered_ping_at
        return max(self._last_round_trip_s, waited_s)

    @property
    def lost(self):
        """Whether the connection is closed or no frame arrived for long."""
        if self._stream is None:
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
        backoff_s, logged_reason = INITIAL_BACKOFF_S, None
        while True:
            try:
                stream = await self._connect()
            except (OSError, WrongPeerError) as error:
                reason = str(error)
                # A lost VM is dialed as long as its entry is in the membership topic,
                # so only new reasons are logged.
                if reason != logged_reason:
                    self._log(
                        "peer_connect_failed", peer=self.vm.name,
                        address=self.vm.address, reason=reason,
                    )  # fmt: skip
                    logged_reason = reason
            else:
                backoff_s, logged_reason = INITIAL_BACKOFF_S, None
                reason = await self._run_connection(stream)
                self._log("peer_link_lost", peer=self.vm.name, reason=reason)
            await trio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _connect(self):
        """Return a stream to a node that has proved to be one of the VM.

        Raises
        ------
        OSError
            No connection was established.
        WrongPeerError
            The process at the address is not a node of the VM.
        """
        tcp_stream = await dial(self.vm.address, CONNECT_TIMEOUT_S, RECEIVE_TIMEOUT_S)
        stream = FrameStream(tcp_stream)
        try:
            stream.send(self._hello)
            with trio.fail_after(HELLO_TIMEOUT_S):
                hello = await receive_hello(stream)
            if hello.vm != self.vm.name:
                if self.displaced_at is None:
                    self.displaced_at = trio.current_time()
                raise WrongPeerError(f"the address belongs to {hello.vm}")
        except (
            trio.TooSlowError,
            trio.BrokenResourceError,
            FrameError,
            msgspec.MsgspecError,
        ) as error:
            stream.close()
            reason = str(error) or f"no answer in {HELLO_TIMEOUT_S} s"
            raise WrongPeerError(f"no name of a VM was received: {reason}") from error
        except BaseException:
            stream.close()
            raise
        self.displaced_at = None
        if hello.node_incarnation != self.node_incarnation:
            self.node_incarnation = hello.node_incarnation
            self.load, self.load_at = None, -1.0
        return stream

    async def _run_connection(self, stream):
        self._stream = stream
        self._silent_s = None
        self._record_receipt()
        self._log(
            "peer_link_up", peer=self.vm.name, address=self.vm.address,
            process=self.node_incarnation,
        )  # fmt: skip
        reason = "closed by the peer"
        try:
            async with trio.open_nursery() as nursery:
                self._connection_scope = nursery.cancel_scope
                nursery.start_soon(self._stream.run_writer)
                self.ping()
                await self._receive()
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError) as group:
            reason = str(group.exceptions[0])
        except* (FrameError, msgspec.MsgspecError) as group:
            reason = str(group.exceptions[0])
        finally:
            if self._silent_s is not None:
                reason = f"silent for {self._silent_s:.1f} s"
            self._stream.close()
            self._stream = None
            self._fail_pending(reason)
        return reason

    def _fail_pending(self, reason):
        pending, self._pending = self._pending, {}
        for pending_reply in pending.values():
            pending_reply.set(
                ForwardReply(0, UNKNOWN, reason=f"link to {self.vm.name}: {reason}")
            )

    async def _receive(self):
        while (frames := await self._stream.receive()) is not None:
            self._record_receipt()
            for frame in frames:
                self._handle_frame(frame)

    def _handle_frame(self, frame):
        if isinstance(frame, (ForwardReply, Pong)) and frame.load is not None:
            self.load = frame.load
            self.load_at = trio.current_time()
        if isinstance(frame, Pong):
            self._last_round_trip_s = trio.current_time() - frame.sent_at
            self._on_pong(frame.progress, frame.sent_at)
        if isinstance(frame, (ForwardReply, StoreCallResult)):
            pending_reply = self._pending.pop(frame.id, None)
            if pending_reply is not None:
                pending_reply.set(frame)

    def _record_receipt(self):
        self.received_at = trio.current_time()
        self._unanswered_ping_at = None

    def close_silent(self):
        """Close the connection because no frame has arrived for too long."""
        self._silent_s = trio.current_time() - self.received_at
        self._connection_scope.cancel()

    def ping(self, read_now=False):
        """Send a ``Ping`` with the read progress, if there is a connection."""
        if self._stream is None:
            return
        self.pinged_at = now = trio.current_time()
        if self._unanswered_ping_at is None:
            self._unanswered_ping_at = now
        self._stream.send(Ping(now, self._read_progress(), read_now))

    def request_read(self):
        """Ask the peer to read the membership topic now, for a record about it."""
        self.ping(read_now=True)

    def report_releases(self, report):
        """Send a ``ReleaseReport``, unless the link is down."""
        if self._stream is not None:
            self._stream.send(report)

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
        stream = self._stream
        if stream is None:
            return ForwardReply(0, NOT_RUN, reason=f"link to {self.vm.name} is down")
        frame.id = call_id = next(self._call_ids)
        pending_reply = _PendingReply()
        self._pending[call_id] = pending_reply
        self.in_flight += 1
        try:
            stream.send(frame)
            return await pending_reply.wait()
        finally:
            self.in_flight -= 1
            if self._pending.pop(call_id, None) is not None and cancel:
                stream.send(CancelForward(call_id))


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


async def ping_links(links):
    """Ping each link once per interval and close silent ones, until cancelled.

    Parameters
    ----------
    links : dict of str to PeerLink
    """
    while True:
        slept_at = trio.current_time()
        await trio.sleep(PING_TICK_S)
        now = trio.current_time()
        interval_s = ping_interval(len(links))
        silence_s = max(RECEIVE_TIMEOUT_S, RECEIVE_TIMEOUT_INTERVALS * interval_s)
        # After a pause of the process, frames that arrived meanwhile are read first.
        paused = now - slept_at >= MAX_TICK_S
        due = []
        for link in links.values():
            if not link.connected:
                continue
            if now - link.received_at >= silence_s and not paused:
                link.close_silent()
            elif now - link.pinged_at >= interval_s:
                due.append(link)
        due.sort(key=lambda link: link.pinged_at)
        mean_due = len(links) * PING_TICK_S / interval_s
        for link in due[: math.ceil(MAX_TICK_SHARE * mean_due)]:
            link.ping()


async def serve_links(
    address, own_hello, handle_request, handle_store_call, get_load, on_ping,
    on_releases, log,
):  # fmt: skip
    """Accept connections of other nodes until cancelled.

    Parameters
    ----------
    address : (str, int)
    own_hello : Hello
        Names this node. Connections that are meant for another VM are closed.
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

    async def serve(tcp_stream):
        stream = FrameStream(tcp_stream)
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
                stream.send(reply)
            scopes.pop(request.id, None)

        async def run_store_call(frame):
            result, reason = await handle_store_call(frame.payload)
            stream.send(StoreCallResult(frame.id, result, reason))

        async def accept_hello():
            """Return the ``Hello`` of a peer that looks for this VM."""
            with trio.fail_after(HELLO_TIMEOUT_S):
                hello = await receive_hello(stream)
            stream.send(own_hello)
            if hello.peer != own_hello.vm:
                raise WrongPeerError(f"{hello.vm} looks for {hello.peer} here")
            return hello

        def apply_releases(report, hello):
            sender = (report.vm, report.node_incarnation)
            if sender == (hello.vm, hello.node_incarnation):
                on_releases(report)
            else:
                log("releases_of_another_vm", peer=hello.vm, reported=report.vm)

        async def read(nursery, hello):
            while (frames := await stream.receive()) is not None:
                for frame in frames:
                    if isinstance(frame, ForwardRequest):
                        # Created before the task starts, so that a CancelForward that
                        # arrives in the same read finds the scope.
                        scopes[frame.id] = trio.CancelScope()
                        nursery.start_soon(answer, frame, scopes[frame.id])
                    elif isinstance(frame, CancelForward):
                        if frame.id in scopes:
                            scopes[frame.id].cancel()
                    elif isinstance(frame, Ping):
                        stream.send(
                            Pong(
                                frame.sent_at,
                                get_load(),
                                on_ping(frame.progress, frame.read_now),
                            )
                        )
                    elif isinstance(frame, ReleaseReport):
                        apply_releases(frame, hello)
                    elif isinstance(frame, StoreCall):
                        nursery.start_soon(run_store_call, frame)

        try:
            hello = await accept_hello()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream.run_writer)
                await read(nursery, hello)
                nursery.cancel_scope.cancel()
        except* trio.TooSlowError:
            log("peer_connection_lost", reason=f"no frame in {HELLO_TIMEOUT_S} s")
        except* (
            WrongPeerError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            FrameError,
            msgspec.MsgspecError,
        ) as group:
            log("peer_connection_lost", reason=str(group.exceptions[0]))
        finally:
            stream.close()

    await trio.serve_tcp(serve, port, host=host)
