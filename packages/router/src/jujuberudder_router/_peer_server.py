"""Server side of peer links: other nodes connect and send their calls."""

import itertools
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import trio

from ._frame_stream import FrameStream
from ._frames import (
    NOT_RUN,
    UNKNOWN,
    BodyPart,
    CancelForward,
    ForwardReply,
    ForwardRequest,
    FrameError,
    LeavingNotice,
    Ping,
    Pong,
    ReleaseReport,
    SendBody,
    StoreCall,
    StoreCallResult,
    Subscribe,
    Update,
)
from ._memory import PEER_REQUEST, SMALL_BYTES, MemoryAccount
from ._peer_link import HELLO_TIMEOUT_S, WrongPeerError, inline_limit, receive_hello
from ._server import ACCEPT_PAUSE_S, describe_fault, error_location

# Longest wait of a request for room for its body, as a share of the time that it has
# left, so that another VM or a retry of the client can still serve it.
ROOM_WAIT_SHARE = 0.3
# Retry-After of a request for whose body there is no room, in seconds.
ROOM_RETRY_AFTER_S = 0.5
NO_ROOM = "no memory for its body"


class PeerHandlers(NamedTuple):
    """Functions that handle the frames of other nodes.

    Parameters
    ----------
    request : callable
        ``await request(frame, hold) -> ForwardReply``; cancelled when the peer sends a
        ``CancelForward`` or its connection is lost.
    store_call : callable
        ``await store_call(payload) -> (result, reason)``.
    load : callable
        Returns the ``Load`` of the target beside this node, or None.
    ping : callable
        ``ping(vm, frame)`` applies a ``Ping`` of a VM and returns the ``ReadProgress``
        of this node.
    releases : callable
        ``releases(report)`` applies a ``ReleaseReport``.
    subscribe : callable
        ``subscribe(number, frame, send)`` applies a ``Subscribe`` frame, or the end of
        the connection if ``frame`` is None. ``number`` names the connection, and
        ``send(frame)`` sends on it.
    update : callable
        ``update(frame)`` applies an ``Update``.
    leaving : callable
        ``leaving(notice)`` applies a ``LeavingNotice``.
    """

    request: Callable
    store_call: Callable
    load: Callable
    ping: Callable
    releases: Callable
    subscribe: Callable
    update: Callable
    leaving: Callable = lambda notice: None


class _Call:
    """State of a request of another node.

    Parameters
    ----------
    request : ForwardRequest

    Attributes
    ----------
    scope : trio.CancelScope
    reply_body_requested : trio.Event
        Set when the other node has room for the body of the reply.
    evicted : bool
        Whether the body of the request has lost its room.
    """

    def __init__(self, request):
        self.request = request
        self.scope = trio.CancelScope()
        self.reply_body_requested = trio.Event()
        self.evicted = False
        self._body, self._received_bytes = None, 0
        self._received = trio.Event()
        self._hold = None

    def add_part(self, data):
        """Add a part of the request's body."""
        if self.evicted:
            return
        start, self._received_bytes = (
            self._received_bytes, self._received_bytes + len(data),
        )  # fmt: skip
        if self._body is None or self._received_bytes > len(self._body):
            raise FrameError("a body is longer than announced")
        self._body[start : self._received_bytes] = data
        if self._received_bytes == len(self._body):
            self._received.set()

    def progressed(self):
        """Record that bodies arrive on the connection, which they share."""
        if self._hold is not None:
            self._hold.progressed()

    def _evict(self):
        self.evicted, self._body = True, None
        self._received.set()

    async def receive_body(self, hold, send):
        """Wait until the request is complete.

        Parameters
        ----------
        hold : Hold
        send : callable
            ``send(frame)`` sends to the other node.

        Returns
        -------
        problem : str
            Why the request is not run; empty if it is complete.
        """
        request, started = self.request, trio.current_time()
        if not request.body_bytes:
            return "" if hold.try_count(len(request.body)) else NO_ROOM
        wait_s = ROOM_WAIT_SHARE * request.remaining_s
        if not await hold.reserve(PEER_REQUEST, request.body_bytes, wait_s):
            return NO_ROOM
        self._body, self._hold = bytearray(request.body_bytes), hold
        hold.on_evict = self._evict
        send(SendBody(request.id))
        await self._received.wait()
        hold.on_evict = None
        if self.evicted:
            return "its body made no progress, and others wait for memory"
        request.body, request.body_bytes = self._body, 0
        request.remaining_s -= trio.current_time() - started
        return "" if request.remaining_s > 0 else "its deadline has passed"


async def serve_links(
    address, own_hello, handlers, log, streams=None, account=None, pacer=None
):
    """Accept connections of other nodes until cancelled.

    Parameters
    ----------
    address : (str, int)
    own_hello : Hello
        Names this node. Connections that are meant for another VM are closed.
    handlers : PeerHandlers
    log : callable
    streams : set of FrameStream, default=None
        Gets the stream of each open connection.
    account : MemoryAccount, default=None
        Counts the bodies of requests and replies.
    pacer : LinkPacer, default=None
        Limits the rate at which long bodies are sent.
    """
    streams = set() if streams is None else streams
    account = account or MemoryAccount()
    host, port = address
    numbers = itertools.count()

    async def serve(tcp_stream):
        stream, number = FrameStream(tcp_stream, account, pacer), next(numbers)
        streams.add(stream)
        calls = {}

        async def answer(call):
            with account.open() as hold, call.scope:
                problem = await call.receive_body(hold, stream.send)
                if problem:
                    log(
                        "request_not_received", id=call.request.request_id,
                        body_bytes=call.request.body_bytes or len(call.request.body),
                        reason=problem, held_bytes=account.used_bytes,
                    )  # fmt: skip
                    reply = ForwardReply(
                        0, NOT_RUN, reason=problem, retry_after_s=ROOM_RETRY_AFTER_S
                    )
                else:
                    reply = await run(call.request, hold)
                reply.id = call.request.id
                await send_reply(call, reply)
            calls.pop(call.request.id, None)

        async def run(request, hold):
            try:
                return await handlers.request(request, hold)
            except Exception as error:
                log(
                    "handler_fault", id=request.request_id, error=repr(error),
                    where=error_location(error),
                )  # fmt: skip
                return ForwardReply(0, UNKNOWN, reason="internal fault")

        async def send_reply(call, reply):
            if len(reply.body) <= inline_limit(SMALL_BYTES, account, pacer):
                stream.send(reply)
                return
            body, reply.body, reply.body_bytes = reply.body, b"", len(reply.body)
            stream.open_bodies += 1
            try:
                stream.send(reply)
                await call.reply_body_requested.wait()
                await stream.send_body(reply.id, body, lambda: True)
            finally:
                stream.open_bodies -= 1

        async def run_store_call(frame):
            result, reason = await handlers.store_call(frame.payload)
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
                handlers.releases(report)
            else:
                log("releases_of_another_vm", peer=hello.vm, reported=report.vm)

        def drop_requests_if_ended(frames, hello):
            """Return the frames to handle: no requests whose sender does not wait."""
            others = [
                f for f in frames if not isinstance(f, (ForwardRequest, BodyPart))
            ]
            if len(others) == len(frames) or not stream.ended:
                return frames
            requests = sum(isinstance(frame, ForwardRequest) for frame in frames)
            log("requests_not_started", peer=hello.vm, requests=requests)
            return others

        async def read(nursery, hello):
            while (frames := await stream.receive()) is not None:
                for frame in drop_requests_if_ended(frames, hello):
                    if isinstance(frame, ForwardRequest):
                        # Created before the task starts, so that a CancelForward that
                        # arrives in the same read finds the scope.
                        calls[frame.id] = _Call(frame)
                        nursery.start_soon(answer, calls[frame.id])
                    elif isinstance(frame, CancelForward):
                        if frame.id in calls:
                            calls[frame.id].scope.cancel()
                    elif isinstance(frame, BodyPart):
                        # The request may have been refused meanwhile.
                        if frame.id in calls:
                            calls[frame.id].add_part(frame.data)
                        for call in calls.values():
                            call.progressed()
                    elif isinstance(frame, SendBody):
                        if frame.id in calls:
                            calls[frame.id].reply_body_requested.set()
                    elif isinstance(frame, Ping):
                        progress = handlers.ping(hello.vm, frame)
                        stream.send(Pong(frame.sent_at, handlers.load(), progress))
                    elif isinstance(frame, ReleaseReport):
                        apply_releases(frame, hello)
                    elif isinstance(frame, LeavingNotice):
                        # The VM itself, or one that keeps what it said.
                        if (frame.keeper or frame.vm) == hello.vm:
                            handlers.leaving(frame)
                    elif isinstance(frame, Subscribe):
                        handlers.subscribe(number, frame, stream.send)
                    elif isinstance(frame, Update):
                        handlers.update(frame)
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
        except* Exception as group:
            log("connection_fault", **describe_fault(group))
        finally:
            handlers.subscribe(number, None, None)
            streams.discard(stream)
            stream.close()

    listeners = await trio.open_tcp_listeners(port, host=host)
    async with trio.open_nursery() as nursery:
        for listener in listeners:
            nursery.start_soon(_accept_connections, listener, serve, nursery, log)


async def _accept_connections(listener, serve, nursery, log):
    """Serve the connections of a listener until cancelled, whatever accept reports.

    trio's own loop ends by some errors, and writes others to stderr, which may block.
    """
    async with listener:
        while True:
            try:
                tcp_stream = await listener.accept()
            except OSError as error:
                log("accept_failed", reason=str(error))
                await trio.sleep(ACCEPT_PAUSE_S)
            else:
                nursery.start_soon(serve, tcp_stream)
