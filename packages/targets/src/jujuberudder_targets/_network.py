"""Connections that detect a response while the request is still being sent."""

import socket
from contextvars import ContextVar

import httpcore
import trio
from httpcore import TrioBackend

PEEK_BYTES = 8 * 1024
# Polling interval while an interim response is pending: it keeps the socket readable
# until httpcore reads it after sending the request.
INTERIM_POLL_S = 0.02

_in_flight = ContextVar("in_flight", default=None)


class InFlightRequest:
    """State of a request that is being sent.

    Parameters
    ----------
    body_allowed : bool
        Whether the body may be sent without waiting for ``100 Continue``.
    """

    def __init__(self, body_allowed=True):
        self._stream = None
        self._started = trio.Event()
        self._body_allowed = trio.Event()
        self._response_arrived = False
        self._step_scope = None
        self._watch_scope = trio.CancelScope()
        if body_allowed:
            self._body_allowed.set()

    @property
    def body_allowed(self):
        """Whether the body may be sent, so that part of it may have been sent."""
        return self._body_allowed.is_set()

    def start(self, stream):
        """Set the connection that carries the request."""
        self._stream = stream
        self._started.set()

    def stop_watching(self):
        """Stop watching, because httpcore starts to read the response."""
        self._watch_scope.cancel()

    async def run_until_response(self, step, *args):
        """Run a step of sending and cancel it when the final response arrives.

        Raises
        ------
        httpcore.WriteError
            The response arrived. httpcore ignores the error and reads the response.
        """
        with trio.CancelScope() as self._step_scope:
            if not self._response_arrived:
                return await step(*args)
        raise httpcore.WriteError("response arrived before the request was complete")

    async def next_chunk(self, body):
        """Return the next chunk of a body once it may be sent."""
        await self._body_allowed.wait()
        return await anext(body)

    async def watch(self):
        """Watch for a response while the request is sent."""
        with self._watch_scope:
            await self._started.wait()
            sock = self._stream.get_extra_info("socket")
            try:
                # The connection is closed if sending failed; the sending task raises
                # that error. Waiting for a closed socket is a ValueError, not an error
                # of trio's.
                while not self._response_arrived and sock.fileno() >= 0:
                    await trio.lowlevel.wait_readable(sock)
                    await self._peek(sock)
            except trio.ClosedResourceError:
                return

    async def _peek(self, sock):
        try:
            data = await sock.recv(PEEK_BYTES, socket.MSG_PEEK)
        except OSError:
            data = b""
        while data.startswith(b"HTTP/1.1 1") and b"\r\n\r\n" in data:
            self._body_allowed.set()
            data = data.partition(b"\r\n\r\n")[2]
            if not data:
                await trio.sleep(INTERIM_POLL_S)
                return
        self._response_arrived = True
        if self._step_scope is not None:
            self._step_scope.cancel()


class _WatchedStream(httpcore.AsyncNetworkStream):
    """A connection that reports reads and writes to the request in flight."""

    def __init__(self, stream):
        self._stream = stream

    async def read(self, max_bytes, timeout=None):
        in_flight = _in_flight.get()
        if in_flight is not None:
            in_flight.stop_watching()
        return await self._stream.read(max_bytes, timeout)

    async def write(self, buffer, timeout=None):
        in_flight = _in_flight.get()
        if in_flight is None:
            return await self._stream.write(buffer, timeout)
        in_flight.start(self)
        await in_flight.run_until_response(self._stream.write, buffer, timeout)

    async def aclose(self):
        await self._stream.aclose()

    def get_extra_info(self, info):
        return self._stream.get_extra_info(info)


class WatchedBackend(TrioBackend):
    """Network backend whose connections report to the request in flight."""

    async def connect_tcp(self, *args, **kwargs):
        """Open a connection; the parameters are those of `TrioBackend.connect_tcp`."""
        return _WatchedStream(await super().connect_tcp(*args, **kwargs))


def set_in_flight(in_flight):
    """Set the request in flight of the current task, or None."""
    return _in_flight.set(in_flight)
