"""Serves HTTP/1.1 connections of callers: one reading task for each."""

import errno
import traceback

import trio

from ._http import READ_BYTES, HttpError, feed, request_parser, response_bytes

# Connections that wait to be accepted: a burst of new ones in one zone's clients.
BACKLOG = 1024
# Seconds between two looks for connections that idle or send their header slowly.
SWEEP_INTERVAL_S = 1.0
# Requests read ahead on one connection; callers of these deployments send none.
PIPELINE_LIMIT = 16
# Seconds that a caller may take to accept an answer.
WRITE_TIMEOUT_S = 30.0


def where(error):
    """Return the place in the code at which an error arose."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return f"{frame.filename.rpartition('/')[2]}:{frame.lineno}"


class Server:
    """Connections of callers.

    Parameters
    ----------
    handle : callable
        ``await handle(message) -> (status, headers, body)``; cancelled when the caller
        leaves.
    limits : callable
        Returns the ``Limits`` in force.
    log : callable
    """

    def __init__(self, handle, limits, log):
        self._handle = handle
        self._limits = limits
        self._log = log
        self._open = set()
        self._accept_scope = trio.CancelScope()
        self.closing = False

    @property
    def busy(self):
        """Number of connections with a request that is not answered yet."""
        return sum(1 for connection in self._open if connection.busy)

    async def serve(self, address):
        """Accept connections until cancelled."""
        host, port = address
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sweep)
            for listener in listeners:
                nursery.start_soon(self._accept, listener, nursery)

    def stop_accepting(self):
        """Close the listener; connections that are open go on."""
        self._accept_scope.cancel()

    async def _accept(self, listener, nursery):
        with self._accept_scope:
            while True:
                try:
                    stream = await listener.accept()
                except OSError as error:
                    if error.errno not in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS):
                        raise
                    self._log("accept_failed", reason=str(error))
                    await trio.sleep(SWEEP_INTERVAL_S / 10)
                    continue
                nursery.start_soon(self._serve_connection, stream)
        listener.socket.close()

    async def _sweep(self):
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            now, limits = trio.current_time(), self._limits()
            for connection in list(self._open):
                if connection.expired(now, limits):
                    connection.cancel()

    def close_idle(self):
        """Close each connection that has no request on it.

        A request that was just read is still answered.
        """
        for connection in list(self._open):
            if not connection.busy and not connection.reading:
                connection.stop_reading()

    async def _serve_connection(self, stream):
        connection = _Connection(stream, self)
        self._open.add(connection)
        try:
            await connection.run()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # The caller left; its request was cancelled with the nursery.
        finally:
            self._open.discard(connection)
            stream.socket.close()

    async def answer(self, message):
        """Return the answer of the handler; a fault of the handler ends no other."""
        try:
            return await self._handle(message)
        except Exception as error:
            self._log("handler_fault", error=repr(error), where=where(error))
            return 502, [], b"internal fault"

    def parser(self):
        """Return a parser with the limits in force."""
        limits = self._limits()
        return request_parser(limits.header_bytes, limits.body_bytes)


class _Connection:
    """State of one connection of a caller."""

    def __init__(self, stream, server):
        self._stream = stream
        self._server = server
        self._collector = server.parser()
        self._nursery = None
        self._read_scope = trio.CancelScope()
        self._last_used = trio.current_time()
        self.busy = False

    @property
    def reading(self):
        """Whether a request has begun to arrive."""
        return self._collector.begun

    def cancel(self):
        """End the connection and what runs for it."""
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()

    def expired(self, now, limits):
        """Whether the caller is idle, or slow with a header, for too long."""
        if self.busy:
            return False
        if self.reading and not self._collector.headers_done:
            return now - self._last_used > limits.header_timeout_s
        return now - self._last_used > limits.idle_timeout_s

    def stop_reading(self):
        """Read no more; what was read is answered."""
        self._read_scope.cancel()

    async def run(self):
        """Read requests; each is answered by a task of its own, in order."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            with self._read_scope:
                await self._read(nursery)
            if not (self._read_scope.cancelled_caught and self.busy):
                nursery.cancel_scope.cancel()

    async def _read(self, nursery):
        while True:
            data = await self._stream.receive_some(READ_BYTES)
            if not data:
                return
            if not self.reading:
                self._last_used = trio.current_time()
            try:
                feed(self._collector, data)
            except HttpError as error:
                await self._refuse(error)
                return
            if len(self._collector.messages) > PIPELINE_LIMIT:
                return
            if self._collector.messages and not self.busy:
                self.busy = True
                nursery.start_soon(self._answer_all)

    async def _refuse(self, error):
        if not self.busy:
            body = str(error).encode()
            with trio.move_on_after(1.0):
                await self._stream.send_all(
                    response_bytes(error.status, [], body, keep_alive=False)
                )

    async def _answer_all(self):
        messages = self._collector.messages
        while messages:
            message = messages.pop(0)
            status, headers, body = await self._server.answer(message)
            keep = message.keep_alive and not self._server.closing
            if message.method == b"HEAD":
                body = b""
            with trio.move_on_after(WRITE_TIMEOUT_S) as scope:
                await self._stream.send_all(response_bytes(status, headers, body, keep))
            if scope.cancelled_caught or not keep:
                self.cancel()
                return
        self._last_used = trio.current_time()
        self.busy = False
