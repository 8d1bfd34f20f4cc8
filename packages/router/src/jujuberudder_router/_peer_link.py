"""Peer link: connection of this node to another one, for the calls that it sends."""

import itertools
import math
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import trio

from ._frame_stream import FrameStream
from ._frames import (
    MAX_INLINE_BODY_BYTES,
    NOT_RUN,
    UNKNOWN,
    BodyPart,
    CancelForward,
    ForwardReply,
    FrameError,
    Hello,
    Pong,
    SendBody,
    StoreCall,
    StoreCallResult,
    Update,
)
from ._http import dial
from ._link_pacing import LinkPacer
from ._memory import CLIENT_RESPONSE, MemoryAccount
from ._server import describe_fault

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


class WrongPeerError(Exception):
    """The process at the other end of a connection is not the expected one."""


def inline_limit(max_bytes, account, pacer=None):
    """Return the longest body that is sent within the frame of its request or reply.

    While many frames wait to be sent, bodies are sent in parts, which wait for room on
    the connection. So are those of more than one part on a slow network link.
    """
    if account is not None and account.frames_full:
        return 0
    return max_bytes if pacer is None else pacer.inline_limit(max_bytes)


def was_unsent(reply):
    """Return whether a reply states that its request was not sent on the connection.

    Parameters
    ----------
    reply : ForwardReply
        Returned by ``PeerLink.forward``; those of the other node repeat the positive id
        of the call.
    """
    return reply.outcome == NOT_RUN and reply.id == 0


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


class LinkCallbacks(NamedTuple):
    """Functions of a node that its links call.

    Parameters
    ----------
    ping_interval_s : callable
        Returns the ping interval in seconds.
    make_ping : callable
        ``make_ping(vm, sent_at) -> Ping``.
    on_connect : callable
        ``on_connect(vm)`` is called when a connection to a VM is there.
    on_pong : callable
        ``on_pong(vm, progress, sent_at)`` applies the ``ReadProgress`` of the node of a
        VM, which sent it after ``sent_at``.
    on_update : callable
        ``on_update(update)`` applies an ``Update``.
    on_load : callable
        ``on_load(vm, load)`` records the ``Load`` of a VM; None if its process is new.
    log : callable
    account : MemoryAccount or None
        Counts the bytes of queued frames.
    pacer : LinkPacer or None
        Limits the rate at which long bodies are sent.
    """

    ping_interval_s: Callable
    make_ping: Callable
    on_connect: Callable
    on_pong: Callable
    on_update: Callable
    on_load: Callable
    log: Callable
    account: MemoryAccount | None = None
    pacer: LinkPacer | None = None


class PeerLink:
    """Connection to one other node, with the load last received on it.

    It is used only while the process at the other end has proved to be a node of the
    VM: another VM may have got the address. A link that is not kept connects when it is
    first used, and again when it is used after its connection has ended.

    Parameters
    ----------
    vm : VM
        Membership entry of the other node.
    hello : Hello
        Names this node and the VM of the other one.
    callbacks : LinkCallbacks

    Attributes
    ----------
    kept : bool
        Whether the link is connected, and pinged, also while it is not used.
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
    closed : bool
        Whether the link is not used any more.
    pinged_at, received_at, used_at : float
        When the last ping was sent, the last frame received or the connection opened,
        and the last call made, on this node's clock in seconds.
    """

    def __init__(self, vm, hello, callbacks):
        self.vm = vm
        self.node_incarnation = ""
        self._hello = hello
        self._callbacks = callbacks
        self._log = callbacks.log
        self.kept = False
        self.load = None
        self.load_at = -1.0
        self.displaced_at = None
        self.in_flight = 0
        self.closed = False
        self.pinged_at = self.received_at = -1.0
        self._stream = None
        self._connection_scope = None
        self._pending = {}
        self._call_ids = itertools.count(1)
        # Time of the first ping since the last frame, or None.
        self._unanswered_ping_at = None
        self._last_round_trip_s = 0.0
        self._created_at = self.used_at = trio.current_time()
        # Whether a connection is to be made, whether the last attempt or connection has
        # failed, and events for a change of that and of the connection.
        self._demanded, self._failed, self._demand = False, False, trio.Event()
        self._changed = trio.Event()

    @property
    def idle_s(self):
        """Seconds since a frame arrived or the link opened, or since its creation."""
        return trio.current_time() - max(self.received_at, self._created_at)

    @property
    def connected(self):
        """Whether there is a connection, which may be silent."""
        return self._stream is not None

    @property
    def unanswered_s(self):
        """Seconds since the first ping without any frame after it; 0 without one."""
        if self._unanswered_ping_at is None:
            return 0.0
        return trio.current_time() - self._unanswered_ping_at

    @property
    def round_trip_s(self):
        """Seconds from a ping to its pong: of the last one, or of one under way so far.

        It grows to seconds while bodies fill the network link of either VM.
        """
        return max(self._last_round_trip_s, self.unanswered_s)

    @property
    def lost(self):
        """Whether a connection cannot be made, or answers no ping for long."""
        if self._stream is None:
            return self._failed and (self.kept or self._demanded)
        silence_s = (UP_INTERVALS - 1) * self._callbacks.ping_interval_s()
        return self.unanswered_s >= silence_s

    @property
    def up(self):
        """Whether new requests may be sent: the link answers its pings."""
        if self._stream is None or self.unanswered_s > PONG_TIMEOUT_S:
            return False
        return not self.lost

    def keep(self, kept):
        """Set whether the link is connected also while it is not used."""
        self.kept = kept
        if kept:
            self._demand.set()

    def demand(self):
        """Connect if there is no connection."""
        self.used_at = trio.current_time()
        if self._stream is None:
            self._demanded = True
            self._demand.set()

    async def wait_connected(self, timeout_s):
        """Connect within ``timeout_s`` seconds and return whether that succeeded.

        It fails at once when the link is closed.
        """
        self.demand()
        with trio.move_on_after(timeout_s):
            while self._stream is None and not self.closed:
                await self._changed.wait()
        return self._stream is not None and not self.closed

    async def probe(self, timeout_s, wait_s):
        """Ping an idle connection, and replace it if nothing arrives in time.

        Parameters
        ----------
        timeout_s : float
            Time after a ping without any frame after which the connection is replaced,
            in seconds, unless calls are in flight on it.
        wait_s : float
            Longest time to wait for a frame, in seconds.

        Returns
        -------
        silent : bool
            Whether the connection is still there and has not answered.
        """
        stream = self._stream
        self.ping()
        pinged_at = self._unanswered_ping_at
        with trio.move_on_after(wait_s):
            while self._stream is stream and self._unanswered_ping_at is not None:
                await self._changed.wait()
        if self._stream is not stream or self._unanswered_ping_at is None:
            return False
        if trio.current_time() < pinged_at + timeout_s or self.in_flight:
            return True
        self.close_silent()
        return False

    def _notify(self):
        self._changed.set()
        self._changed = trio.Event()

    async def run(self):
        """Connect when needed, and reconnect after each failure, until cancelled."""
        backoff_s, logged_reason = INITIAL_BACKOFF_S, None
        while True:
            while not (self.kept or self._demanded):
                self._demand = trio.Event()
                await self._demand.wait()
            try:
                stream = await self._connect()
            except (OSError, WrongPeerError) as error:
                reason, self._failed = str(error), True
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
                self._demanded = self._failed = False
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
        callbacks = self._callbacks
        stream = FrameStream(tcp_stream, callbacks.account, callbacks.pacer)
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
            self._callbacks.on_load(self.vm.name, None)
        return stream

    async def _run_connection(self, stream):
        self._stream = stream
        self._silent_s = None
        self._record_receipt()
        self._notify()
        self._log(
            "peer_link_up", peer=self.vm.name, address=self.vm.address,
            process=self.node_incarnation,
        )  # fmt: skip
        reason = "closed by the peer"
        try:
            async with trio.open_nursery() as nursery:
                self._connection_scope = nursery.cancel_scope
                nursery.start_soon(stream.run_writer)
                self.ping()
                self._callbacks.on_connect(self.vm.name)
                await self._receive(stream)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError) as group:
            reason = str(group.exceptions[0])
        except* (FrameError, msgspec.MsgspecError) as group:
            reason = str(group.exceptions[0])
        except* Exception as group:
            reason = "internal fault"
            self._log("connection_fault", peer=self.vm.name, **describe_fault(group))
        finally:
            if self._silent_s is not None:
                reason = f"silent for {self._silent_s:.1f} s"
            stream.close()
            self._stream = None
            self._failed, self._unanswered_ping_at = True, None
            self._fail_pending(reason, stream)
            self._notify()
        return reason

    def _fail_pending(self, reason, stream):
        pending, self._pending = self._pending, {}
        for pending_reply in pending.values():
            sent = stream.has_sent(pending_reply.position)
            outcome = UNKNOWN if sent else NOT_RUN
            pending_reply.set(
                ForwardReply(0, outcome, reason=f"link to {self.vm.name}: {reason}")
            )

    async def _receive(self, stream):
        while (frames := await stream.receive()) is not None:
            self._record_receipt()
            for frame in frames:
                self._handle_frame(frame)

    def _handle_frame(self, frame):
        if isinstance(frame, (ForwardReply, Pong)) and frame.load is not None:
            self.load = frame.load
            self.load_at = trio.current_time()
            self._callbacks.on_load(self.vm.name, frame.load)
        if isinstance(frame, Pong):
            if not 0 <= frame.sent_at <= trio.current_time():
                self._log("pong_unreadable", peer=self.vm.name, sent_at=frame.sent_at)
                return
            self._last_round_trip_s = trio.current_time() - frame.sent_at
            self._callbacks.on_pong(self.vm.name, frame.progress, frame.sent_at)
        if isinstance(frame, Update):
            self._callbacks.on_update(frame)
        if isinstance(frame, (ForwardReply, StoreCallResult)):
            pending_reply = self._pending.get(frame.id)
            if pending_reply is not None:
                if not (isinstance(frame, ForwardReply) and frame.body_bytes):
                    del self._pending[frame.id]
                pending_reply.set(frame)
        if isinstance(frame, (SendBody, BodyPart)) and frame.id in self._pending:
            self._handle_body_frame(frame)

    def _handle_body_frame(self, frame):
        pending_reply = self._pending[frame.id]
        if isinstance(frame, SendBody):
            pending_reply.request_body()
        elif pending_reply.add_part(frame.data):
            del self._pending[frame.id]

    def _record_receipt(self):
        self.received_at = trio.current_time()
        if self._unanswered_ping_at is not None:
            self._unanswered_ping_at = None
            self._notify()

    def close_silent(self):
        """Close the connection because no frame has arrived for too long."""
        if self._connection_scope is not None:
            self._silent_s = trio.current_time() - self.received_at
            self._connection_scope.cancel()
            self.discard_connection()

    def discard_connection(self):
        """Send nothing more on the connection, also before its task has ended."""
        self._stream, self._failed = None, True

    def close(self):
        """Use the link no more: the VM has another address, or is gone."""
        self.closed = True
        self.discard_connection()
        self._notify()

    def ping(self):
        """Send a ``Ping``, if there is a connection."""
        if self._stream is None:
            return
        self.pinged_at = now = trio.current_time()
        if self._unanswered_ping_at is None:
            self._unanswered_ping_at = now
        self._stream.send(self._callbacks.make_ping(self.vm.name, now))

    def send(self, frame):
        """Send a frame that has no reply, unless the link is down."""
        if self._stream is not None:
            self._stream.send(frame)

    async def forward(self, request, hold):
        """Send a ``ForwardRequest`` and return the ``ForwardReply``.

        If this call is cancelled, the peer gets a ``CancelForward``.

        Parameters
        ----------
        request : ForwardRequest
        hold : Hold
            Counts the body of the reply.
        """
        body, account = request.body, self._callbacks.account
        inline_bytes = inline_limit(
            MAX_INLINE_BODY_BYTES, account, self._callbacks.pacer
        )
        if len(body) <= inline_bytes:
            return await self._call(request, hold=hold, cancel=True)
        # The request keeps its body, since it may be sent again.
        frame = msgspec.structs.replace(request, body=b"", body_bytes=len(body))
        return await self._call(frame, body, hold, cancel=True)

    async def call_store(self, payload):
        """Let the peer make a store call.

        Returns
        -------
        frame : StoreCallResult or ForwardReply
            A ``ForwardReply`` if the link is down or was lost before the result.
        """
        return await self._call(StoreCall(0, payload))

    async def _call(self, frame, body=b"", hold=None, cancel=False):
        stream = self._stream
        if stream is None or self.closed:
            return ForwardReply(0, NOT_RUN, reason=f"link to {self.vm.name} is down")
        self.used_at = trio.current_time()
        frame.id = call_id = next(self._call_ids)
        pending_reply = _PendingReply()
        self._pending[call_id] = pending_reply
        self.in_flight += 1
        try:
            position = stream.send(frame)
            if body:
                await self._send_body(stream, call_id, body, pending_reply)
            else:
                pending_reply.position = position
            reply = await pending_reply.wait()
            if isinstance(reply, ForwardReply) and reply.body_bytes:
                reply = await self._receive_body(stream, reply, pending_reply, hold)
            return reply
        finally:
            self.in_flight -= 1
            if self._pending.pop(call_id, None) is not None and cancel:
                stream.send(CancelForward(call_id))

    async def _send_body(self, stream, call_id, body, pending_reply):
        """Send the body of a request when the peer asks for it, if it does."""
        await pending_reply.wait_requested()
        if not pending_reply.body_requested:
            return
        # Nothing is sent on a connection that has been given up.
        pending_reply.position = await stream.send_body(
            call_id,
            body,
            lambda: self._stream is stream and not pending_reply.replied,
        )

    async def _receive_body(self, stream, reply, pending_reply, hold):
        """Return a reply with its body, which is received as there is room for it."""
        if not await hold.reserve(CLIENT_RESPONSE, reply.body_bytes):
            reason = f"no memory for a body of {reply.body_bytes} bytes"
            return ForwardReply(reply.id, UNKNOWN, reason=reason)
        size = reply.body_bytes
        pending_reply.expect_body(reply)
        stream.send(SendBody(reply.id))
        reply = await pending_reply.wait()
        if not reply.body:
            hold.shrink(size)
        return reply


class _PendingReply:
    """Reply frame of one call, once it has arrived, and the state of long bodies.

    Attributes
    ----------
    position : float
        End of the last frame of the call in the bytes that its connection sends;
        infinite while parts of its body are still to be sent.
    body_requested : bool
        Whether the peer has asked for the body.
    replied : bool
        Whether the reply has arrived, or the connection has ended.
    """

    def __init__(self):
        self.position = math.inf
        self._event = trio.Event()
        # Set when the peer asks for the body, and with the reply.
        self._requested = trio.Event()
        self._frame = None
        self._reply, self._body, self._received_bytes = None, None, 0
        self.body_requested = self.replied = False

    def set(self, frame):
        self._frame, self.replied = frame, True
        self._event.set()
        self._requested.set()

    def request_body(self):
        """Record that the peer asks for the body of the request."""
        self.body_requested = True
        self._requested.set()

    def expect_body(self, reply):
        """Wait for the parts of the body of a reply from now on."""
        if self._frame is not reply:
            return  # The connection has ended meanwhile.
        self._reply, self._body = reply, bytearray(reply.body_bytes)
        self._event = trio.Event()

    def add_part(self, data):
        """Add a part of the reply's body and return whether the reply is complete."""
        start, self._received_bytes = (
            self._received_bytes, self._received_bytes + len(data),
        )  # fmt: skip
        if self._body is None or self._received_bytes > len(self._body):
            raise FrameError("a body is longer than announced")
        self._body[start : self._received_bytes] = data
        if self._received_bytes < len(self._body):
            return False
        self._reply.body, self._reply.body_bytes = self._body, 0
        self.set(self._reply)
        return True

    async def wait_requested(self):
        """Wait until the peer asks for the body, or has replied without it."""
        await self._requested.wait()

    async def wait(self):
        await self._event.wait()
        return self._frame
