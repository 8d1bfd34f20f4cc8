"""HTTP/1.1 server: one task reads each client connection."""

import errno
import socket
import traceback
from collections import deque
from functools import partial

import trio

from jujuberudder_base import is_readable

from ._http import (
    READ_BYTES,
    HttpError,
    make_request_parser,
    parse,
    response_parts,
)
from ._lingering import LingeringConnections
from ._memory import CLIENT_REQUEST, SMALL_BYTES, MemoryAccount
from ._tcp_stream import TcpStream

# Listen backlog: holds a burst of new connections from the clients of one availability
# zone.
BACKLOG = 1024
# Interval between two checks for connections that are idle or send a header slowly.
SWEEP_INTERVAL_S = 1.0
# Pause after an accept that failed, in seconds: descriptors may be free again by then.
ACCEPT_PAUSE_S = 0.1
# Errors of accept for which a connection waits on until the system has room for it.
NO_ROOM_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
# Number of pipelined requests read ahead on one connection, beyond which it is read no
# further until one is answered.
PIPELINE_LIMIT = 16
# Number of pipelined requests that run beside the one whose response is next. Each one
# takes a slot of a target, which other clients want as well.
MAX_RUN_AHEAD = 4
# Time within which a client must receive a response.
WRITE_TIMEOUT_S = 30.0
# Time without a request after which a connection is closed while the server stops. A
# connection in use gets its next request sooner, which is answered with
# "Connection: close"; if it were closed, that request might be on its way.
STOP_IDLE_S = 1.0
# Polling interval for open connections and unfinished requests during a stop.
STOP_POLL_S = 0.03


def error_location(error):
    """Return the file and line at which an error was raised."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return f"{frame.filename.rpartition('/')[2]}:{frame.lineno}"


def leaf_exception(group):
    """Return the first exception in nested exception groups."""
    while isinstance(group, BaseExceptionGroup):
        group = group.exceptions[0]
    return group


def describe_fault(group):
    """Return the fields of a log line about an exception group."""
    error = leaf_exception(group)
    return {"error": repr(error), "where": error_location(error)}


class Server:
    """HTTP/1.1 server for the connections of clients.

    Parameters
    ----------
    handle : callable
        ``await handle(message) -> (status, headers, body)``; cancelled when the client
        closes its connection.
    limits : callable
        Returns the ``Limits`` in force.
    log : callable
    account : MemoryAccount, default=None
        Counts the bytes of requests and of their responses.
    admit_body : callable, default=None
        ``admit_body(head) -> (wait_s, refuse)`` for a request that takes memory: its
        longest wait for that, and ``refuse(reason) -> headers``, which reports its
        refusal and returns the headers of the response. Raises ``HttpError``.
    may_run_ahead : callable, default=None
        ``may_run_ahead(message)`` returns whether a pipelined request may run before
        the responses to those before it are sent; none may if it is not given.

    Attributes
    ----------
    closing : bool
        Whether connections close after their next response.
    """

    def __init__(
        self, handle, limits, log, account=None, admit_body=None, may_run_ahead=None
    ):
        self._handle = handle
        self._limits = limits
        self.log = log
        self.account = account or MemoryAccount()
        self.admit_body = admit_body or (lambda head: (0.0, lambda reason: []))
        self.may_run_ahead = may_run_ahead or (lambda message: False)
        self._connections = set()
        self._lingering = LingeringConnections(log)
        self._open_listeners = 0
        self._accept_scope = trio.CancelScope()
        self.closing = False

    @property
    def busy(self):
        """Number of connections with an unanswered request."""
        return sum(1 for connection in self._connections if connection.busy)

    @property
    def lingering(self):
        """Number of connections whose client may not have received all yet."""
        return len(self._lingering)

    async def serve(self, address):
        """Accept connections until cancelled."""
        host, port = address
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._close_expired_periodically)
            for listener in listeners:
                self._open_listeners += 1
                nursery.start_soon(self._accept_connections, listener, nursery)

    def make_stream(self, stream):
        """Return the ``TcpStream`` of an accepted connection, for subclasses."""
        return TcpStream(stream)

    def stop_accepting(self):
        """Close the listeners; open connections stay open."""
        self._accept_scope.cancel()

    async def _accept_connections(self, listener, nursery):
        with self._accept_scope:
            while True:
                try:
                    stream = await listener.accept()
                except OSError as error:
                    self.log("accept_failed", reason=str(error))
                    await trio.sleep(ACCEPT_PAUSE_S)
                    continue
                self._start_connection(stream, nursery)
        with socket.socket(fileno=listener.socket.detach()) as sock:
            sock.setblocking(False)
            # While descriptors are missing, connections wait on: closing resets them.
            while not self._accept_waiting(sock, nursery):
                await trio.sleep(ACCEPT_PAUSE_S)
        self._open_listeners -= 1

    def _start_connection(self, stream, nursery):
        connection = _Connection(self.make_stream(stream), self)
        self._connections.add(connection)
        nursery.start_soon(self._serve_connection, connection)

    def _accept_waiting(self, sock, nursery):
        """Accept the connections that wait, and return whether the listener may close.

        Closing it resets those that are not accepted. There is no checkpoint between
        the last accept and the close: clients that are answered meanwhile would connect
        again, and there would always be one more.
        """
        for _ in range(BACKLOG):
            try:
                accepted = trio.socket.from_stdlib_socket(sock.accept()[0])
            except BlockingIOError:
                return True  # No connection waits.
            except OSError as error:
                self.log("accept_failed", reason=str(error))
                if error.errno in NO_ROOM_ERRORS:
                    return False
                # It may concern one of the connections only, as ECONNABORTED does.
            else:
                self._start_connection(trio.SocketStream(accepted), nursery)
        return True

    async def _close_expired_periodically(self):
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            now, limits = trio.current_time(), self._limits()
            for connection in list(self._connections):
                # After a pause of the process, requests may wait to be read.
                if connection.expired(now, limits) and not connection.has_data():
                    connection.cancel("the idle or header time-out has passed")

    async def drain(self, deadline):
        """Stop accepting connections and close the open ones, up to ``deadline``.

        A connection closes after the response to its next request, or when none has
        arrived for ``STOP_IDLE_S``. ``deadline`` is a time on trio's clock in seconds.
        """
        self.closing = True
        self.stop_accepting()
        # The listeners close in tasks of their own, which accept what waits until then.
        while (
            self._connections or self._open_listeners or self.lingering
        ) and trio.current_time() < deadline:
            self.close_idle()
            await trio.sleep(STOP_POLL_S)

    def close_idle(self):
        """Close each connection that has had no request for ``STOP_IDLE_S``.

        A request that has arrived is still answered.
        """
        now = trio.current_time()
        for connection in list(self._connections):
            if connection.idle_s(now) >= STOP_IDLE_S and not connection.has_data():
                connection.stop_reading()

    async def _serve_connection(self, connection):
        lingers = False
        try:
            lingers = await connection.run()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # The client disconnected; its request was cancelled with the nursery.
        except* Exception as group:
            # An error of one connection must not end the others and the process.
            self.log("connection_fault", **describe_fault(group))
        finally:
            self._connections.discard(connection)
            connection.release()
            if not lingers:
                connection.stream.close()
        if lingers:
            await self._lingering.close(connection.stream, connection.answered_last)

    async def answer(self, message):
        """Return the handler's response, or a 502 if the handler raises."""
        try:
            return await self._handle(message)
        except Exception as error:
            self.log("handler_fault", error=repr(error), where=error_location(error))
            return 502, [], b"internal fault"

    def make_parser(self):
        """Return a parser that applies the limits in force when a request begins."""
        return make_request_parser(self._read_limits, self.account.open())

    def _read_limits(self):
        limits = self._limits()
        return limits.header_bytes, limits.body_bytes


class _AheadAnswer:
    """Response to a pipelined request that runs before it is its turn."""

    def __init__(self, message):
        self._message = message
        self._done = trio.Event()
        self._response = None

    async def run(self, answer):
        """Run the request; the response is kept until its turn."""
        self._response = await answer(self._message)
        # The task that waits for the response may have closed the hold if the
        # connection has ended; what is counted afterwards would never be released.
        await trio.lowlevel.checkpoint_if_cancelled()
        hold, body_bytes = self._message.hold, len(self._response[2])
        if body_bytes <= SMALL_BYTES:
            hold.count(body_bytes)  # Room for longer ones is reserved.
        # The requests before it may wait for the room that its response holds.
        hold.on_evict = self._drop
        hold.progressed()
        self._done.set()

    def _drop(self):
        self._response = 502, [], b"no memory for the response until its turn"
        self._message.hold.close()

    async def wait(self):
        """Return the response."""
        await self._done.wait()
        self._message.hold.on_evict = None
        return self._response


class _Connection:
    """State of one client connection.

    A client that ends its sending side counts as one that has left, and its requests
    are cancelled. The end of both sides looks the same: an end of the stream, and only
    a later send shows whether the client still reads. A target would work on for
    clients that are gone until its response is ready.
    """

    def __init__(self, stream, server):
        self.stream = stream
        self._server = server
        self._message_parser = server.make_parser()
        self._nursery = None
        self._read_scope = trio.CancelScope()
        self._last_used = trio.current_time()
        # Why no more requests are read.
        self._end_reason = "the node stops"
        # Error of the first bytes that are no request, or of a request that is refused
        # before it is complete.
        self._refusal = None
        self._message_taken = trio.Event()
        self._refused = False
        # Scope of the wait for more of a long body, and whether it has lost its memory.
        self._receive_scope = None
        self._evicted = False
        # Request whose response is next, and the answers to those after it that run.
        self._current = None
        self._ahead = deque()
        # Whether the client has closed its connection, or does not read.
        self._client_lost = False
        self.busy = self.answered_last = False

    @property
    def reading(self):
        """Whether a request has arrived in part."""
        return self._message_parser.message_begun

    def cancel(self, reason):
        """Close the connection and cancel its requests."""
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel(reason)

    def idle_s(self, now):
        """Seconds since the last request, 0 while one is read or answered."""
        return 0.0 if self.busy or self.reading else now - self._last_used

    def has_data(self):
        """Whether bytes have arrived that are not read yet."""
        return is_readable(self.stream.socket)

    def expired(self, now, limits):
        """Whether the idle or the header time-out has passed."""
        if self.busy:
            return False
        if self.reading and not self._message_parser.headers_done:
            return now - self._last_used > limits.header_timeout_s
        return now - self._last_used > limits.idle_timeout_s

    def release(self):
        """Release the memory of unanswered requests."""
        self._message_parser.discard_body()
        for message in self._message_parser.messages:
            message.hold.close()
        self._message_parser.messages.clear()

    def stop_reading(self):
        """Stop reading; requests already read are still answered."""
        self._read_scope.cancel()

    async def run(self):
        """Read requests; a second task answers them in order.

        Returns
        -------
        lingers : bool
            Whether the client may not have received all yet.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                with self._read_scope:
                    await self._read(nursery)
                # A request may have arrived between the check that the connection is
                # idle and the end of the read; closing would reset the connection.
                if not self._read_scope.cancelled_caught or not self.has_data():
                    break
                self._read_scope = trio.CancelScope()
            if not (self._read_scope.cancelled_caught and self.busy):
                self.cancel(self._end_reason)
        return not self._client_lost

    async def _read(self, nursery):
        messages = self._message_parser.messages
        while True:
            data = await self._receive()
            if data is None:
                self._refuse("its body made no progress, and others wait for memory")
            elif not data:
                self._end_reason = "the client closed its connection"
                self._client_lost = True
                return
            elif self._refusal is None:
                self._parse(data)
            # Otherwise, what follows a refused request is discarded, so that the end of
            # the connection is still noticed.
            del data  # It would be held until the next bytes arrive.
            if self._refusal is None and self._message_parser.missing_bytes:
                await self._reserve_memory()
            unanswered = messages or (self._refusal is not None and not self._refused)
            if unanswered and not self.busy:
                self.busy = True
                nursery.start_soon(self._answer_all)
            elif messages:
                self._run_ahead()
            while len(messages) > PIPELINE_LIMIT:
                self._message_taken = trio.Event()
                await self._message_taken.wait()

    async def _receive(self):
        """Return received bytes, or None if a long body has lost its memory."""
        if not self._message_parser.reserved_bytes:
            return await self.stream.receive_some(READ_BYTES)
        with trio.CancelScope() as self._receive_scope:
            if not self._evicted:
                return await self.stream.receive_some(READ_BYTES)
        return None

    def _parse(self, data):
        was_reading, message_parser = self.reading, self._message_parser
        hold, messages = message_parser.hold, message_parser.messages
        has_room = message_parser.reserved_bytes > 0
        if has_room:
            hold.progressed()
        complete_before = len(messages)
        try:
            parse(message_parser, data)
        except HttpError as error:
            self._refusal = error
            self._server.log("malformed", reason=str(error), status=error.status)
        is_complete = len(messages) > complete_before
        if is_complete:
            hold = messages[complete_before].hold
        if (
            self._refusal is None
            and not has_room
            and not hold.try_count(len(data), is_complete or message_parser.is_tiny)
        ):
            refused = messages[complete_before:]
            del messages[complete_before:]
            self._refuse("no memory for a request", refused)
        if not was_reading and (self.reading or messages):
            self._last_used = trio.current_time()

    async def _reserve_memory(self):
        """Wait for memory for the body of the request that is being read."""
        message_parser = self._message_parser
        size, hold = message_parser.missing_bytes, message_parser.hold
        hold.on_evict = None
        try:
            wait_s, _ = self._server.admit_body(message_parser.head)
        except HttpError as error:
            self._refusal = error
            return
        if not await hold.reserve(CLIENT_REQUEST, size, wait_s):
            self._refuse(f"no memory for a body of {size} bytes")
            return
        message_parser.add_room(size)
        hold.on_evict, self._evicted = self._evict, False

    def _evict(self):
        self._evicted = True
        # The connection may wait for something else, or have received bytes.
        if self._receive_scope is not None:
            self._receive_scope.cancel()

    def _refuse(self, reason, complete=()):
        """Refuse the request that is being read, or complete ones: they have not run.

        The refusal names the first of them, if its header is complete.
        """
        message_parser, headers = self._message_parser, []
        try:
            if complete or message_parser.headers_done:
                head = complete[0] if complete else message_parser.head
                _, refuse = self._server.admit_body(head)
                headers = refuse(reason)
            else:
                self._server.log("request_not_received", reason=reason)
            self._refusal = HttpError(503, reason, headers)
        except HttpError as error:
            self._refusal = error
        for message in complete:
            message.hold.close()
        message_parser.discard_body()

    async def _answer_all(self):
        """Answer all requests read so far, and send a refusal after them.

        If bytes that are no request arrive before a response is sent, the connection
        closes after it: which request a refusal belongs to would not be clear.
        """
        messages = self._message_parser.messages
        while messages:
            self._current = message = messages.pop(0)
            self._message_taken.set()
            with message.hold:
                if not await self._answer(message):
                    return
        # Its body would be held until the next request.
        self._current = message = None
        if self._refusal is not None:
            await self._send_refusal()
            return
        self._last_used = trio.current_time()
        self.busy = False

    def _run_ahead(self):
        """Start pipelined requests whose responses are not next.

        Requests that may run only once wait for their turn, and those behind them: if
        an earlier response closes the connection, the client sends them again.
        """
        if self._current is None:
            return  # The task that answers has not taken the first request yet.
        if self._server.closing:
            return  # The connection closes after what runs already.
        messages, ahead = self._message_parser.messages, self._ahead
        may_run_ahead = self._server.may_run_ahead
        if len(messages) == len(ahead) or not may_run_ahead(self._current):
            return
        if self._server.account.large_bytes:
            return  # A response must not wait for one behind it that holds memory.
        for message in messages[len(ahead) : MAX_RUN_AHEAD]:
            if not may_run_ahead(message):
                return
            ahead.append(_AheadAnswer(message))
            self._nursery.start_soon(ahead[-1].run, self._server.answer)

    async def _answer(self, message):
        """Answer a request, and return whether the connection stays open."""
        if self._ahead:
            answer = self._ahead.popleft().wait
        else:
            answer = partial(self._server.answer, message)
        if self._message_parser.messages:
            self._run_ahead()
        status, headers, body = await answer()
        # What runs already is answered on this connection, also during a stop.
        keep_alive = message.keep_alive and bool(
            self._ahead or not self._server.closing
        )
        if self._refusal is not None and not self._message_parser.messages:
            keep_alive = False
        if message.method == b"HEAD":
            body = b""
        if not await self._send(status, headers, body, keep_alive, message.hold):
            return False
        if not keep_alive:
            self._end_after_response("the connection is not kept open")
        return keep_alive

    def _end_after_response(self, reason):
        """Close the connection; what the client sends from now on is not answered."""
        self.answered_last = True
        self.cancel(reason)

    async def _send_refusal(self):
        """Refuse what was read last, and close the connection."""
        error, self._refused = self._refusal, True
        body = str(error).encode()
        if await self._send(error.status, error.headers, body, False):
            self._end_after_response("a request was refused")

    async def _send(self, status, headers, body, keep_alive, hold=None):
        """Send a response; close the connection and return False if it is not read."""
        parts = response_parts(status, headers, body, keep_alive)
        if len(parts) > 1:
            hold.on_evict = self._close_unread
        else:
            if hold is not None:
                hold.count(len(parts[0]))
            # Most responses fit in the buffer of the socket.
            sent_bytes = self.stream.send_some(parts[0])
            if sent_bytes == len(parts[0]):
                return True
            parts = [memoryview(parts[0])[sent_bytes:]]
        with trio.move_on_after(WRITE_TIMEOUT_S) as scope:
            for part in parts:
                await self.stream.send_all(part)
                if len(parts) > 1:
                    hold.progressed()
                    await trio.lowlevel.checkpoint()
        if scope.cancelled_caught:
            self._report_unread(f"in {WRITE_TIMEOUT_S} s")
        return not scope.cancelled_caught

    def _close_unread(self):
        self._report_unread("for a while, and others wait for memory")

    def _report_unread(self, detail):
        reason = f"the client did not read the response {detail}"
        self._server.log("response_not_read", reason=reason)
        self._client_lost = True
        self.cancel(reason)
