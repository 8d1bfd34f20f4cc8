"""One connection of a client or node, on hypercorn's HTTP/1.1 protocol."""

import h11
import trio
from hypercorn.events import Closed, RawData, Updated
from hypercorn.protocol.events import Response
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.trio.task_group import TaskGroup
from hypercorn.typing import ConnectionState

from jujuberudder_core import new_id

from . import _headers as headers

READ_BYTES = 64 * 1024
HEAD_TIMEOUT_S = 10.0
# Longer than the pools of nodes keep an idle connection, so that the caller closes.
IDLE_TIMEOUT_S = 75.0
# A caller whose next request crosses the close would not know whether it ran.
DRAIN_IDLE_S = 1.0
WRITE_STALL_S = 30.0
# Closing with unread data resets the connection, which can destroy the answer.
LINGER_S = 1.0
LINGER_BYTES = 4 * 1024 * 1024
MALFORMED = {431: "request head too large", 501: "unknown transfer coding"}


class Protocol(H11Protocol):
    """HTTP/1.1 of one connection: truthful refusals, and bodies only when asked for."""

    def __init__(self, *args):
        super().__init__(*args)
        self.stopping = False
        self._held = b""

    @property
    def answering(self):
        """Whether a request was accepted and its answer is not complete."""
        return self.stream is not None

    async def invite(self):
        """Ask a caller that sent ``Expect: 100-continue`` for its body."""
        if self.connection.they_are_waiting_for_100_continue:
            await super()._send_h11_event(
                h11.InformationalResponse(status_code=100, headers=[])
            )

    async def refuse(self, status, reason):
        """Answer a request that was not understood and close the connection."""
        if self.connection.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            # A request whose body turns out malformed may be at a target already.
            outcome = b"unknown" if self.answering else b"not-run"
            sent = [
                (b"content-length", b"0"),
                (b"connection", b"close"),
                (headers.REQUEST_ID, new_id().encode()),
                (headers.OUTCOME, outcome),
                (headers.REASON, reason.encode("ascii", "replace")),
            ]
            response = h11.Response(status_code=status, headers=sent)
            await self._send_h11_event(response)
            await self._send_h11_event(h11.EndOfMessage())

    async def _send_error_response(self, status_code):
        await self.refuse(status_code, MALFORMED.get(status_code, "malformed HTTP"))

    async def _send_h11_event(self, event):
        # Hypercorn invites each body at once; here the owner of the key does.
        if isinstance(event, h11.InformationalResponse):
            return
        try:
            data = self.connection.send(event)
        except h11.LocalProtocolError:
            # The answer does not fit its head: cut it short, never end it cleanly.
            await self.send(Closed())
            return
        if isinstance(event, h11.Response):
            # Sent together with the start of the body: one packet for small answers.
            self._held = data
        else:
            await self._flush(data)

    async def _flush(self, data=b""):
        data, self._held = self._held + data, b""
        if data:
            await self.send(RawData(data))

    async def _maybe_recycle(self):
        await self._flush()
        await super()._maybe_recycle()

    async def stream_send(self, event):
        if isinstance(event, Response) and self.stopping:
            event.headers.append((b"connection", b"close"))
        await super().stream_send(event)

    async def _check_protocol(self, event):
        """Stay with HTTP/1.1 whatever the caller proposes."""

    async def _create_stream(self, request):
        kept = [item for item in request.headers if item[0] != b"upgrade"]
        plain = h11.Request(
            method=request.method,
            target=request.target,
            headers=kept,
            http_version=request.http_version,
        )
        await super()._create_stream(plain)

    async def _close_stream(self):
        # The queue to the application may be full, so no message is put into it; the
        # connection cancels the application instead.
        if self.stream is not None:
            self.stream.closed = True
            self.stream = None


class Connection:
    """A connection that is being served.

    Parameters
    ----------
    stream : trio.SocketStream
    app : ASGI application in hypercorn's wrapping
    config : hypercorn.Config
    context : hypercorn WorkerContext
    """

    def __init__(self, stream, app, config, context):
        self._stream = stream
        self._app = app
        self._config = config
        self._context = context
        self._protocol = None
        self._reading = trio.CancelScope(deadline=trio.current_time() + HEAD_TIMEOUT_S)
        self._apps = set()
        self._idle = True
        self._closed = False

    async def run(self):
        """Serve requests until one side closes."""
        names = [self._stream.socket.getpeername(), self._stream.socket.getsockname()]
        try:
            async with TaskGroup() as group:
                self._protocol = Protocol(
                    self._guarded,
                    self._config,
                    self._context,
                    group,
                    ConnectionState({"invite": self._invite}),
                    False,
                    *[name[:2] for name in names],
                    self._send,
                )
                with self._reading:
                    await self._read()
                if self._reading.cancelled_caught and not self._closed:
                    await self._timed_out()
                self._cancel_apps()
        finally:
            await self._finish()

    def stop(self):
        """Announce the end in the next answer; close soon if there is none."""
        if self._protocol is not None:
            self._protocol.stopping = True
        if self._idle:
            self._reading.deadline = min(
                self._reading.deadline, trio.current_time() + DRAIN_IDLE_S
            )

    async def _invite(self):
        await self._protocol.invite()

    async def _guarded(self, scope, receive, send, *spawn):
        """Run the application so that it ends with the connection."""
        with trio.CancelScope() as cancel_scope:
            self._apps.add(cancel_scope)
            try:
                await self._app(scope, receive, send, *spawn)
            finally:
                self._apps.discard(cancel_scope)

    def _cancel_apps(self):
        for cancel_scope in self._apps:
            cancel_scope.cancel()

    async def _read(self):
        while True:
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if self._idle and data:
                limit = trio.current_time() + HEAD_TIMEOUT_S
                self._reading.deadline = min(self._reading.deadline, limit)
            await self._protocol.handle(RawData(bytes(data)))
            if not data:
                return

    async def _timed_out(self):
        if self._protocol.connection.trailing_data[0]:
            await self._protocol.refuse(408, "request head took too long")

    async def _send(self, event):
        if isinstance(event, RawData):
            await self._write(event.data)
        elif isinstance(event, Closed):
            self._closed = True
            self._reading.cancel()
        elif isinstance(event, Updated):
            self._idle = event.idle
            wait_s = DRAIN_IDLE_S if self._protocol.stopping else IDLE_TIMEOUT_S
            limit = trio.current_time() + wait_s
            self._reading.deadline = limit if event.idle else float("inf")

    async def _write(self, data):
        try:
            with trio.fail_after(WRITE_STALL_S):
                await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            self._closed = True
            self._reading.cancel()
            self._cancel_apps()

    async def _finish(self):
        """Close; if the caller still sends, read on so that it gets the answer."""
        with trio.move_on_after(LINGER_S, shield=True):
            try:
                await self._stream.send_eof()
                left = LINGER_BYTES
                while self._closed and left > 0:
                    data = await self._stream.receive_some(READ_BYTES)
                    left = left - len(data) if data else 0
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
        await trio.aclose_forcefully(self._stream)
