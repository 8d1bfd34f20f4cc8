"""Connections that notice an answer while the request is still being sent."""

import socket
from contextvars import ContextVar

import httpcore
import trio
from httpcore import TrioBackend

PEEK_BYTES = 8 * 1024
# An interim answer stays readable until httpcore reads it after the request.
INTERIM_POLL_S = 0.02

_sending = ContextVar("sending", default=None)


class Sending:
    """A request that is being sent.

    Parameters
    ----------
    invited : bool
        Whether the body may be sent without waiting for ``100 Continue``.
    """

    def __init__(self, invited=True):
        self._stream = None
        self._started = trio.Event()
        self._invited = trio.Event()
        self._answered = False
        self._waiting = None
        self._watching = trio.CancelScope()
        if invited:
            self._invited.set()

    @property
    def invited(self):
        """Whether the body may have been sent."""
        return self._invited.is_set()

    def start(self, stream):
        """Note the connection that carries the request."""
        self._stream = stream
        self._started.set()

    def stop_watching(self):
        """Leave the connection to the reader of the answer."""
        self._watching.cancel()

    async def unless_answered(self, step, *args):
        """Run a step of sending; stop it when the final answer is there.

        Raises
        ------
        httpcore.WriteError
            The answer arrived; httpcore goes on to read it.
        """
        with trio.CancelScope() as self._waiting:
            if not self._answered:
                return await step(*args)
        raise httpcore.WriteError("answered before the request was complete")

    async def next_chunk(self, body):
        """Return the next chunk of a body once the peer wants it."""
        await self._invited.wait()
        return await anext(body)

    async def watch(self):
        """Wait for an answer while the request is sent."""
        with self._watching:
            await self._started.wait()
            sock = self._stream.get_extra_info("socket")
            try:
                while not self._answered:
                    await trio.lowlevel.wait_readable(sock)
                    await self._look(sock)
            except trio.ClosedResourceError:
                # Sending failed, and its error is reported there.
                return

    async def _look(self, sock):
        try:
            data = await sock.recv(PEEK_BYTES, socket.MSG_PEEK)
        except OSError:
            data = b""
        while data.startswith(b"HTTP/1.1 1") and b"\r\n\r\n" in data:
            self._invited.set()
            data = data.partition(b"\r\n\r\n")[2]
            if not data:
                await trio.sleep(INTERIM_POLL_S)
                return
        self._answered = True
        if self._waiting is not None:
            self._waiting.cancel()


class _Stream(httpcore.AsyncNetworkStream):
    """A connection that tells the request in flight when it is used."""

    def __init__(self, stream):
        self._stream = stream

    async def read(self, max_bytes, timeout=None):
        sending = _sending.get()
        if sending is not None:
            sending.stop_watching()
        return await self._stream.read(max_bytes, timeout)

    async def write(self, buffer, timeout=None):
        sending = _sending.get()
        if sending is None:
            return await self._stream.write(buffer, timeout)
        sending.start(self)
        await sending.unless_answered(self._stream.write, buffer, timeout)

    async def aclose(self):
        await self._stream.aclose()

    def get_extra_info(self, info):
        return self._stream.get_extra_info(info)


class Backend(TrioBackend):
    """Opens such connections."""

    async def connect_tcp(self, *args, **kwargs):
        """Return a connection as `TrioBackend.connect_tcp` does."""
        return _Stream(await super().connect_tcp(*args, **kwargs))


def use(sending):
    """Make a request the one in flight of this task, or none."""
    return _sending.set(sending)
