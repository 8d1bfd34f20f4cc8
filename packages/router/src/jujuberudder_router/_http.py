"""HTTP/1.1 messages on trio streams, parsed by httptools."""

import os
import socket
from http import HTTPStatus
from typing import NamedTuple

import httptools
import trio

from jujuberudder_base import Failure, is_readable

from ._memory import (
    SMALL_BYTES,
    TARGET_RESPONSE,
    TINY_BYTES,
    Hold,
    MemoryAccount,
)
from ._tcp_stream import TcpStream

# Maximum bytes per read: most messages arrive in one read, uploads in a few.
READ_BYTES = 65536
# Maximum bytes of the head of a response; interim responses before it count as well.
MAX_RESPONSE_HEADER_BYTES = 65536
# Maximum bytes of a response body: 500 times the longest in the users' data sheets.
MAX_RESPONSE_BODY_BYTES = 16777216
# Bytes of a head that do not count as header: the start line without the target, and
# white space and line ends.
START_LINE_BYTES = 4096
# Room that is reserved for a long body without a length, in steps. Most bodies of the
# users' sheets fit in the first one. The steps are few: a body that waits for the next
# one holds room that others need for theirs.
UNKNOWN_LENGTH_ROOM_BYTES = (1048576, 16777216)
# Bytes of chunk framing that are accepted for each byte of a body, beside the limit of
# the head: a chunk of one byte has five (RFC 9112, section 7.1).
CHUNK_FRAMING_BYTES = 5
# Time for a reset to follow the end of a response without a length, while the request
# is still being sent. Without one, the response is complete; the target is on the same
# VM, so that nothing but its own pause delays a reset.
RESET_WAIT_S = 0.5

# Account of exchanges whose responses are not counted.
_UNLIMITED = MemoryAccount()
_REASON_PHRASES = {s.value: s.phrase.encode() for s in HTTPStatus}
# Headers that apply to one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset((
    b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer",
    b"transfer-encoding", b"upgrade", b"content-length", b"expect",
))  # fmt: skip


class HttpError(Exception):
    """A message that is refused with a status and headers of the response."""

    def __init__(self, status, reason, headers=()):
        super().__init__(reason)
        self.status = status
        self.headers = headers


class HttpMessage(NamedTuple):
    """A complete request or response; header names are lower case.

    ``hold`` counts the bytes of a request until it is answered.
    """

    method: bytes
    target: bytes
    status: int
    headers: list
    body: bytes
    keep_alive: bool
    hold: Hold | None = None


class _BodyBuffer:
    """Body of a message that is being received; one that arrives at once is kept."""

    __slots__ = ("_data", "size")

    def __init__(self):
        self._data = b""
        self.size = 0

    def allocate(self, size):
        """Allocate room for ``size`` bytes in all."""
        data, self._data = self._data, bytearray(size)
        self._data[: self.size] = data[: self.size]

    def append(self, data):
        if not self._data:
            self._data, self.size = data, len(data)
            return
        if isinstance(self._data, bytes):
            self._data = bytearray(self._data)
        end = self.size + len(data)
        self._data[self.size : end] = data
        self.size = end

    def finish(self):
        """Return the body; a long one is not copied."""
        if isinstance(self._data, bytes):
            return self._data
        del self._data[self.size :]
        return bytes(self._data) if self.size <= SMALL_BYTES else self._data


class _MessageParser:
    """Callbacks of an httptools parser; complete messages are put in ``messages``.

    Before more of a long body is received, ``missing_bytes`` are to be reserved in the
    hold of the message and passed to ``add_room``.

    Parameters
    ----------
    read_limits : callable
        Returns the maximum bytes of the header and of the body; called when a message
        begins.
    hold : Hold
    """

    def __init__(self, read_limits, hold):
        self._read_limits = read_limits
        self._max_header_bytes, self._max_body_bytes = read_limits()
        self.hold = hold
        self.parser = None
        # Whether the messages are requests.
        self.is_request = False
        self.messages = []
        self.message_begun = False
        self.headers_done = False
        self._reset()

    def _reset(self):
        self._received_bytes = 0
        self._header_bytes = 0
        self._reset_content()

    def _reset_content(self):
        self._target = b""
        self._headers = []
        self._body = _BodyBuffer()
        self._length = None
        self.reserved_bytes = 0

    @property
    def head(self):
        """The message without its body, once its headers are complete."""
        method = self.parser.get_method() if self.is_request else b""
        return HttpMessage(method, self._target, 0, self._headers, b"", False)

    @property
    def missing_bytes(self):
        """Bytes that are still to be reserved for the body being received."""
        if not self.headers_done:
            return 0
        return max(0, self._room_bytes() - self.reserved_bytes)

    def _room_bytes(self):
        """Return the room that the body needs, as far as it is known."""
        if self._length is not None:
            return self._length if self._length > SMALL_BYTES else 0
        if self._body.size <= SMALL_BYTES:
            return 0
        needed_bytes = self._body.size + READ_BYTES
        return next(
            (room for room in UNKNOWN_LENGTH_ROOM_BYTES if needed_bytes <= room),
            self._max_body_bytes,
        )

    @property
    def is_tiny(self):
        """Whether the message being received is known to be a very short one."""
        return self._length is not None and self._length <= TINY_BYTES

    def add_room(self, size):
        """Record that ``size`` more bytes are reserved."""
        self.reserved_bytes += size
        if self._length is not None:
            self._body.allocate(self._length)

    def free_body(self):
        """Free the body received so far.

        The parser and this object refer to each other, so that the end of a connection
        alone frees nothing until cycles are collected.
        """
        self._body, self.reserved_bytes = _BodyBuffer(), 0

    def discard_body(self):
        """Free the body received so far, and give back its room."""
        self.free_body()
        self.hold.close()

    @property
    def has_length(self):
        """Whether the headers determine where the body ends."""
        names = {name for name, _ in self._headers}
        return b"content-length" in names or b"transfer-encoding" in names

    def count_received(self, size):
        """Count received bytes, before they are parsed."""
        self._received_bytes += size

    def check_framing(self):
        """Raise ``HttpError`` if too many bytes of a message are not body.

        The parser reads lines without an end, empty lines, chunk extensions and
        leading zeros of chunk sizes without a callback.
        """
        framing_bytes = self._received_bytes - self._body.size
        limit = self._max_header_bytes + START_LINE_BYTES
        if not self.headers_done and framing_bytes > limit:
            raise HttpError(431, f"header over {self._max_header_bytes} bytes")
        limit += CHUNK_FRAMING_BYTES * self._body.size
        if framing_bytes > limit:
            raise HttpError(400, f"header and body framing over {limit} bytes")

    def on_message_begin(self):
        self.message_begun = True
        self._max_header_bytes, self._max_body_bytes = self._read_limits()

    def on_url(self, url):
        self._target += url
        self._count_header(len(url))

    def on_header(self, name, value):
        self._headers.append((name.lower(), value))
        # Not by ``_count_header``: this is called for each header of each message.
        self._header_bytes += len(name) + len(value) + 4
        if self._header_bytes > self._max_header_bytes:
            self._refuse_header()

    def _count_header(self, size):
        self._header_bytes += size
        if self._header_bytes > self._max_header_bytes:
            self._refuse_header()

    def _refuse_header(self):
        raise HttpError(431, f"header over {self._max_header_bytes} bytes")

    def on_headers_complete(self):
        self.headers_done = True
        if not self.is_request:
            self._check_codings()
        length = find_header(self._headers, b"content-length")
        if length is not None:
            self._length = int(length)
            self._check_body_size(self._length)

    def _check_codings(self):
        """Refuse codings that the parser leaves in the body, such as gzip.

        The header is not passed on, so that the receiver could not decode the body.
        """
        codings = [v for name, v in self._headers if name == b"transfer-encoding"]
        if codings and [value.strip().lower() for value in codings] != [b"chunked"]:
            raise HttpError(501, f"transfer codings {b', '.join(codings)[:40]!r}")

    def on_body(self, data):
        self._check_body_size(self._body.size + len(data))
        self._body.append(data)

    def _check_body_size(self, size):
        if size > self._max_body_bytes:
            raise HttpError(413, f"body over {self._max_body_bytes} bytes")

    def on_message_complete(self):
        parser, is_request = self.parser, self.is_request
        status = 0 if is_request else parser.get_status_code()
        self.message_begun = self.headers_done = False
        if 100 <= status < 200:
            # An interim response. Its bytes stay counted: they precede the same answer.
            self._reset_content()
            return
        if self.reserved_bytes > self._body.size:
            self.hold.shrink(self.reserved_bytes - self._body.size)
        self.messages.append(
            HttpMessage(
                parser.get_method() if is_request else b"",
                self._target,
                status,
                self._headers,
                self._body.finish(),
                parser.should_keep_alive(),
                self.hold.split() if is_request else None,
            )
        )
        self._reset()


def make_request_parser(read_limits, hold):
    """Return a ``_MessageParser`` for requests; pass received bytes to ``parse``."""
    message_parser = _MessageParser(read_limits, hold)
    message_parser.parser = httptools.HttpRequestParser(message_parser)
    message_parser.is_request = True
    return message_parser


def make_response_parser(max_body_bytes, hold):
    """Return a ``_MessageParser`` for responses; pass received bytes to ``parse``."""
    message_parser = _MessageParser(
        lambda: (MAX_RESPONSE_HEADER_BYTES, max_body_bytes), hold
    )
    message_parser.parser = httptools.HttpResponseParser(message_parser)
    return message_parser


def parse(message_parser, data):
    """Parse received bytes.

    Raises
    ------
    HttpError
        The message is malformed, too large or an upgrade.
    """
    message_parser.count_received(len(data))
    try:
        message_parser.parser.feed_data(data)
    except httptools.HttpParserUpgrade:
        messages = message_parser.messages
        # The request for an upgrade is complete, but is not to be answered as such.
        if messages and messages[-1].method:
            messages.pop().hold.close()
        raise HttpError(400, "upgrades are not served") from None
    except httptools.HttpParserError as error:
        cause = error.__context__
        if isinstance(cause, HttpError):
            raise cause from None
        raise HttpError(400, str(error) or type(error).__name__) from None
    message_parser.check_framing()


def response_parts(status, headers, body, keep_alive=True):
    """Return a response as parts to send; a long body is not copied."""
    reason = _REASON_PHRASES.get(status, b"Status")
    parts = [b"HTTP/1.1 %d %s\r\n" % (status, reason)]
    parts += [b"%s: %s\r\n" % header for header in headers]
    parts.append(b"content-length: %d\r\n" % len(body))
    parts.append(b"\r\n" if keep_alive else b"connection: close\r\n\r\n")
    if len(body) <= SMALL_BYTES:
        return [b"".join(parts) + body]
    view, starts = memoryview(body), range(0, len(body), SMALL_BYTES)
    return [b"".join(parts), *(view[n : n + SMALL_BYTES] for n in starts)]


def response_bytes(status, headers, body, keep_alive=True):
    """Return a response as bytes, with a content-length header."""
    return b"".join(response_parts(status, headers, body, keep_alive))


def request_head(method, target, headers, body_bytes):
    """Return the head of a request as bytes.

    It has a content-length header if it has a body or its method usually has one.
    """
    parts = [b"%s %s HTTP/1.1\r\n" % (method, target)]
    parts += [b"%s: %s\r\n" % header for header in headers]
    if body_bytes or method not in (b"GET", b"HEAD", b"DELETE"):
        parts.append(b"content-length: %d\r\n" % body_bytes)
    parts.append(b"\r\n")
    return b"".join(parts)


def request_bytes(method, target, headers, body):
    """Return a request as bytes; its head is as by ``request_head``."""
    return request_head(method, target, headers, len(body)) + body


def find_header(headers, name):
    """Return the value of the first header with the lower-case ``name``, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def parse_address(address):
    """Return ``(host, port)`` of ``"host:port"``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def dial(address, timeout_s, user_timeout_s):
    """Open a TCP connection.

    Parameters
    ----------
    address : str
        ``"ip:port"``.
    timeout_s : float
        Maximum wait for the connection, in seconds.
    user_timeout_s : float
        Seconds after which unacknowledged bytes end the connection.

    Raises
    ------
    OSError
        The connection was refused, reset or timed out, or the address is none.
    """
    try:
        host, port = parse_address(address)
        # A name would be looked up by the system, which may take seconds.
        socket.inet_aton(host)
    except (OSError, ValueError) as error:
        raise OSError(f"{address!r} is no address: {error}") from error
    if not 0 < port < 65536:
        raise OSError(f"{address!r} is no address")
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(user_timeout_s * 1000)
        )
        with trio.move_on_after(timeout_s) as scope:
            await sock.connect((host, port))
        if scope.cancelled_caught:
            raise TimeoutError(f"no connection after {timeout_s} s")
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


class Connection:
    """Outgoing connection that carries one exchange at a time.

    Parameters
    ----------
    stream : trio.SocketStream
        Its socket is taken over.
    peer : str
        Named in failures.
    max_body_bytes : int
        Maximum length of a response body.
    """

    def __init__(self, stream, peer, max_body_bytes=MAX_RESPONSE_BODY_BYTES):
        self._stream = TcpStream(stream)
        self._peer = peer
        self._max_body_bytes = max_body_bytes
        # Error of a send that was reset while the response was being read.
        self._send_error = None
        # Whether the end of the connection has ended a response without a length.
        self._ended = False
        self.idle_since = trio.current_time()
        self.idle_limit_s = 0.0

    def close(self):
        """Close the connection at once."""
        self._stream.close()

    def is_stale(self):
        """Whether the peer closed the idle connection or sent unexpected bytes."""
        return is_readable(self._stream.socket)

    async def exchange(self, data, step, on_data=None, body=b"", hold=None):
        """Send a request and read the complete response.

        Parameters
        ----------
        data : bytes
            The request without ``body``.
        step : str
            Name of the step, for failures.
        on_data : callable, default=None
            ``on_data(size)``, called whenever bytes of the response arrive.
        body : bytes-like, default=b""
            Body that is sent after ``data`` without being copied.
        hold : Hold, default=None
            Counts a long response body, which is read as far as there is room.

        Returns
        -------
        response : HttpMessage
            ``keep_alive`` states whether the connection may be used again.

        Raises
        ------
        ExchangeError
            The response is missing, truncated, malformed or too long.
        """
        if hold is None:
            with _UNLIMITED.open() as hold:
                return await self.exchange(data, step, on_data, body, hold)
        message_parser = make_response_parser(self._max_body_bytes, hold)
        try:
            return await self._exchange(data, step, on_data, body, message_parser)
        finally:
            if message_parser.reserved_bytes:
                hold.shrink(message_parser.reserved_bytes)
            message_parser.free_body()

    async def _exchange(self, data, step, on_data, body, message_parser):
        responded_early = False
        if len(data) + len(body) <= READ_BYTES:
            await self._send([data + body if body else data], step)
        else:
            responded_early = await self._send_while_reading(
                [data, body], message_parser, step, on_data
            )
        while not message_parser.messages:
            await self._receive(message_parser, step, on_data)
        response = message_parser.messages.pop(0)
        if message_parser.messages or message_parser.message_begun or responded_early:
            return response._replace(keep_alive=False)
        return response

    async def _send(self, parts, step):
        try:
            for part in parts:
                await self._stream.send_all(part)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ExchangeError(step, self._peer, f"send: {error}") from error

    async def _send_while_reading(self, parts, message_parser, step, on_data):
        """Send a long request while reading the response.

        A failed send does not end the read: the response may have arrived before.

        Returns whether the response was complete before all of the request was sent.
        """
        responded_early, send_ended = False, trio.Event()

        async def read():
            while not message_parser.messages:
                await self._receive(message_parser, step, on_data)
            if self._ended:
                # The reset of a peer that failed may follow the end of its stream.
                with trio.move_on_after(RESET_WAIT_S):
                    await send_ended.wait()
                self._check_end(step)
            nonlocal responded_early
            responded_early = True
            nursery.cancel_scope.cancel()

        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                try:
                    await self._send(parts, step)
                except ExchangeError as error:
                    self._send_error = error
                else:
                    if not (responded_early or self._ended):
                        nursery.cancel_scope.cancel()
                send_ended.set()
        except* ExchangeError as group:
            raise group.exceptions[0] from None
        return responded_early

    def _check_end(self, step):
        """Raise ``ExchangeError`` if the connection was reset.

        The system reports a reset once: after a send that failed with it, a read
        returns an end of the stream. A reset after the peer has shut down its side is
        reported to sends only, and as the error of the socket.
        """
        if self._send_error is not None:
            raise self._send_error
        code = self._stream.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            reason = f"reset after its end: {os.strerror(code)}"
            raise ExchangeError(step, self._peer, reason)

    async def _receive(self, message_parser, step, on_data):
        try:
            data = await self._stream.receive_some(READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ExchangeError(step, self._peer, f"receive: {error}") from error
        if on_data is not None:
            on_data(len(data))
        if not data:
            self._check_end(step)
            if not finish_at_eof(message_parser):
                raise ExchangeError(step, self._peer, "closed before the answer's end")
            self._ended = True
            return
        try:
            parse(message_parser, data)
        except HttpError as error:
            if message_parser.messages:
                first = message_parser.messages[0]
                message_parser.messages[:] = [first._replace(keep_alive=False)]
                return
            raise ExchangeError(step, self._peer, f"malformed: {error}") from error
        missing_bytes = message_parser.missing_bytes
        if missing_bytes:
            if not await message_parser.hold.reserve(TARGET_RESPONSE, missing_bytes):
                reason = f"no memory for a body of {missing_bytes} bytes"
                raise ExchangeError(step, self._peer, reason)
            message_parser.add_room(missing_bytes)


def finish_at_eof(message_parser):
    """Complete a response at the end of its connection.

    Returns whether a response is complete: either before the end, or because its
    headers give no length, so that the end of the connection ends the body.
    """
    if not message_parser.headers_done or message_parser.messages:
        return bool(message_parser.messages)
    if message_parser.has_length:
        return False
    message_parser.on_message_complete()
    last = message_parser.messages[-1]
    message_parser.messages[-1] = last._replace(keep_alive=False)
    return True


class ExchangeError(Exception):
    """An exchange without a complete response; ``failure`` is its ``Failure``."""

    def __init__(self, step, peer, reason, may_have_run=True):
        self.failure = Failure(step, peer, reason, may_have_run)
        super().__init__(str(self.failure))
