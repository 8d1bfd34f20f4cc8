"""Server side of one connection, based on hypercorn's HTTP/1.1 protocol."""

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
# Longer than the idle time-out of the nodes' connection pools, so that the client
# closes first.
IDLE_TIMEOUT_S = 75.0
# Idle connections stay open for this long during a drain: a client whose next request
# crosses the close would not know whether the request ran.
DRAIN_IDLE_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 30.0
# Limits for reading unread data before the connection is closed: closing with unread
# data resets the connection, and the client may then lose the response.
LINGER_S = 1.0
LINGER_BYTES = 4 * 1024 * 1024
ERROR_REASONS = {431: "request head too large", 501: "unknown transfer coding"}


class Protocol(H11Protocol):
    """HTTP/1.1 protocol of one connection.

    Unlike hypercorn's, it reports the outcome of requests that it refuses, and it sends
    ``100 Continue`` only when the application asks for the body.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.stopping = False
        self._buffered_head = b""

    @property
    def response_pending(self):
        """Whether a request was accepted and its response is incomplete."""
        return self.stream is not None

    async def send_continue(self):
        """Send ``100 Continue`` if the client waits for it."""
        if self.connection.they_are_waiting_for_100_continue:
            await super()._send_h11_event(
                h11.InformationalResponse(status_code=100, headers=[])
            )

    async def refuse(self, status, reason):
        """Refuse a request that cannot be parsed and close the connection.

        Parameters
        ----------
        status : int
            HTTP status code.
        reason : str
        """
        if self.connection.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            # If only the body is malformed, the request may have reached a target.
            outcome = b"unknown" if self.response_pending else b"not-run"
            response_headers = [
                (b"content-length", b"0"),
                (b"connection", b"close"),
                (headers.REQUEST_ID, new_id().encode()),
                (headers.OUTCOME, outcome),
                (headers.REASON, reason.encode("ascii", "replace")),
            ]
            response = h11.Response(status_code=status, headers=response_headers)
            await self._send_h11_event(response)
            await self._send_h11_event(h11.EndOfMessage())

    async def _send_error_response(self, status_code):
        await self.refuse(status_code, ERROR_REASONS.get(status_code, "malformed HTTP"))

    async def _send_h11_event(self, event):
        # Hypercorn sends 100 Continue immediately; here the owner of the key triggers
        # it through send_continue.
        if isinstance(event, h11.InformationalResponse):
            return
        try:
            data = self.connection.send(event)
        except h11.LocalProtocolError:
            # The body does not match the head: close the connection, so that the client
            # detects an incomplete response.
            await self.send(Closed())
            return
        if isinstance(event, h11.Response):
            # Sent with the start of the body, so that a small response is one packet.
            self._buffered_head = data
        else:
            await self._flush(data)

    async def _flush(self, data=b""):
        data, self._buffered_head = self._buffered_head + data, b""
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
        """Stay with HTTP/1.1 whatever upgrade the client proposes."""

    async def _create_stream(self, request):
        passed_headers = [item for item in request.headers if item[0] != b"upgrade"]
        plain = h11.Request(
            method=request.method,
            target=request.target,
            headers=passed_headers,
            http_version=request.http_version,
        )
        await super()._create_stream(plain)

    async def _close_stream(self):
        # The queue to the application may be full, so no disconnect message is put into
        # it; the connection cancels the application instead.
        if self.stream is not None:
            self.stream.closed = True
            self.stream = None


class Connection:
    """A client connection.

    Parameters
    ----------
    stream : trio.SocketStream
    app : ASGI application wrapped by hypercorn
    config : hypercorn.Config
    context : hypercorn WorkerContext
    """

    def __init__(self, stream, app, config, context):
        self._stream = stream
        self._app = app
        self._config = config
        self._context = context
        self._protocol = None
        self._read_scope = trio.CancelScope(
            deadline=trio.current_time() + HEAD_TIMEOUT_S
        )
        self._app_scopes = set()
        self._idle = True
        self._closed = False

    async def run(self):
        """Serve requests until either side closes the connection."""
        addresses = [
            self._stream.socket.getpeername(),
            self._stream.socket.getsockname(),
        ]
        try:
            async with TaskGroup() as group:
                self._protocol = Protocol(
                    self._run_app,
                    self._config,
                    self._context,
                    group,
                    ConnectionState({"invite": self._send_continue}),
                    False,
                    *[address[:2] for address in addresses],
                    self._send,
                )
                with self._read_scope:
                    await self._read()
                if self._read_scope.cancelled_caught and not self._closed:
                    await self._handle_head_timeout()
                self._cancel_apps()
        finally:
            await self._linger_and_close()

    def stop(self):
        """Close the connection after the next response, or soon if it is idle."""
        if self._protocol is not None:
            self._protocol.stopping = True
        if self._idle:
            self._read_scope.deadline = min(
                self._read_scope.deadline, trio.current_time() + DRAIN_IDLE_TIMEOUT_S
            )

    async def _send_continue(self):
        await self._protocol.send_continue()

    async def _run_app(self, scope, receive, send, *spawn):
        """Run the application in a scope that ends with the connection."""
        with trio.CancelScope() as cancel_scope:
            self._app_scopes.add(cancel_scope)
            try:
                await self._app(scope, receive, send, *spawn)
            finally:
                self._app_scopes.discard(cancel_scope)

    def _cancel_apps(self):
        for cancel_scope in self._app_scopes:
            cancel_scope.cancel()

    async def _read(self):
        while True:
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if self._idle and data:
                deadline = trio.current_time() + HEAD_TIMEOUT_S
                self._read_scope.deadline = min(self._read_scope.deadline, deadline)
            await self._protocol.handle(RawData(bytes(data)))
            if not data:
                return

    async def _handle_head_timeout(self):
        if self._protocol.connection.trailing_data[0]:
            await self._protocol.refuse(408, "request head took too long")

    async def _send(self, event):
        if isinstance(event, RawData):
            await self._write(event.data)
        elif isinstance(event, Closed):
            self._closed = True
            self._read_scope.cancel()
        elif isinstance(event, Updated):
            self._idle = event.idle
            wait_s = DRAIN_IDLE_TIMEOUT_S if self._protocol.stopping else IDLE_TIMEOUT_S
            deadline = trio.current_time() + wait_s
            self._read_scope.deadline = deadline if event.idle else float("inf")

    async def _write(self, data):
        try:
            with trio.fail_after(WRITE_TIMEOUT_S):
                await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            self._closed = True
            self._read_scope.cancel()
            self._cancel_apps()

    async def _linger_and_close(self):
        """Close the connection after reading what the client still sends.

        Without this, the client may lose the response.
        """
        with trio.move_on_after(LINGER_S, shield=True):
            try:
                await self._stream.send_eof()
                remaining_bytes = LINGER_BYTES
                while self._closed and remaining_bytes > 0:
                    data = await self._stream.receive_some(READ_BYTES)
                    remaining_bytes = remaining_bytes - len(data) if data else 0
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
        await trio.aclose_forcefully(self._stream)
