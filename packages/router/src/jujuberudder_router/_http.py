"""HTTP/1.1 messages on trio streams, parsed by httptools."""

import errno
import socket
from http import HTTPStatus
from typing import NamedTuple

import httptools
import trio

from jujuberudder_base import Failure, is_readable

# Maximum bytes per read: most messages arrive in one read, uploads in a few.
READ_BYTES = 65536
# Maximum bytes of the head of a response; interim responses before it count as well.
MAX_RESPONSE_HEADER_BYTES = 65536
# Maximum bytes of a response body: 500 times the longest in the users' data sheets.
MAX_RESPONSE_BODY_BYTES = 16777216
# Bytes of a head that do not count as header: the start line without the target, and
# white space and line ends.
START_LINE_BYTES = 4096
# Bytes of chunk framing that are accepted for each byte of a body, beside the limit of
# the head: a chunk of one byte has five (RFC 9112, section 7.1).
CHUNK_FRAMING_BYTES = 5

_REASON_PHRASES = {s.value: s.phrase.encode() for s in HTTPStatus}
# Headers that apply to one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset((
    b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer",
    b"transfer-encoding", b"upgrade", b"content-length", b"expect",
))  # fmt: skip


class HttpError(Exception):
    """A message that is refused; ``status`` is the status of the response."""

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status


class HttpMessage(NamedTuple):
    """A complete request or response; header names are lower case."""

    method: bytes
    target: bytes
    status: int
    headers: list
    body: bytes
    keep_alive: bool


class BodyBudget:
    """Bytes of long response bodies that a node holds before they are complete.

    The first ``READ_BYTES`` of a body are free, so that a few endless bodies do not
    make short responses fail.

    Parameters
    ----------
    limit_bytes : int
    """

    def __init__(self, limit_bytes):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def take(self, size):
        """Count ``size`` more bytes.

        Raises
        ------
        HttpError
            The bodies would exceed the limit; nothing is counted.
        """
        if self.used_bytes + size > self.limit_bytes:
            reason = f"bodies in progress over {self.limit_bytes} bytes"
            raise HttpError(413, reason)
        self.used_bytes += size

    def release(self, size):
        """Count ``size`` bytes less."""
        self.used_bytes -= size


class _MessageParser:
    """Callbacks of an httptools parser; complete messages are put in ``messages``."""

    def __init__(self, max_header_bytes, max_body_bytes, body_budget=None):
        self._max_header_bytes = max_header_bytes
        self._max_body_bytes = max_body_bytes
        self._body_budget = body_budget
        self.budgeted_bytes = 0
        self.parser = None
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
        self._body = bytearray()

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
        framing_bytes = self._received_bytes - len(self._body)
        limit = self._max_header_bytes + START_LINE_BYTES
        if not self.headers_done and framing_bytes > limit:
            raise HttpError(431, f"header over {self._max_header_bytes} bytes")
        limit += CHUNK_FRAMING_BYTES * len(self._body)
        if framing_bytes > limit:
            raise HttpError(400, f"header and body framing over {limit} bytes")

    def on_message_begin(self):
        self.message_begun = True

    def on_url(self, url):
        self._target += url
        self._count_header(len(url))

    def on_header(self, name, value):
        self._headers.append((name.lower(), value))
        self._count_header(len(name) + len(value) + 4)

    def _count_header(self, size):
        self._header_bytes += size
        if self._header_bytes > self._max_header_bytes:
            raise HttpError(431, f"header over {self._max_header_bytes} bytes")

    def on_headers_complete(self):
        self.headers_done = True
        length = find_header(self._headers, b"content-length")
        if length is not None:
            self._check_body_size(int(length))

    def on_body(self, data):
        self._check_body_size(len(self._body) + len(data))
        self._body += data
        if self._body_budget is not None:
            size = len(self._body) - READ_BYTES - self.budgeted_bytes
            if size > 0:
                self._body_budget.take(size)
                self.budgeted_bytes += size

    def _check_body_size(self, size):
        if size > self._max_body_bytes:
            raise HttpError(413, f"body over {self._max_body_bytes} bytes")

    def on_message_complete(self):
        parser = self.parser
        is_request = isinstance(parser, httptools.HttpRequestParser)
        status = 0 if is_request else parser.get_status_code()
        self.message_begun = self.headers_done = False
        if 100 <= status < 200:
            # An interim response. Its bytes stay counted: they precede the same answer.
            self._reset_content()
            return
        self.messages.append(
            HttpMessage(
                parser.get_method() if is_request else b"",
                self._target,
                status,
                self._headers,
                bytes(self._body),
                parser.should_keep_alive(),
            )
        )
        self._reset()


def make_request_parser(max_header_bytes, max_body_bytes):
    """Return a ``_MessageParser`` for requests; pass received bytes to ``parse``."""
    message_parser = _MessageParser(max_header_bytes, max_body_bytes)
    message_parser.parser = httptools.HttpRequestParser(message_parser)
    return message_parser


def make_response_parser(max_body_bytes, body_budget=None):
    """Return a ``_MessageParser`` for responses; pass received bytes to ``parse``."""
    message_parser = _MessageParser(
        MAX_RESPONSE_HEADER_BYTES, max_body_bytes, body_budget
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
            messages.pop()
        raise HttpError(400, "upgrades are not served") from None
    except httptools.HttpParserError as error:
        cause = error.__context__
        if isinstance(cause, HttpError):
            raise cause from None
        raise HttpError(400, str(error) or type(error).__name__) from None
    message_parser.check_framing()


def response_bytes(status, headers, body, keep_alive=True):
    """Return a response as bytes, with a content-length header."""
    reason = _REASON_PHRASES.get(status, b"Status")
    parts = [b"HTTP/1.1 %d %s\r\n" % (status, reason)]
    parts += [b"%s: %s\r\n" % header for header in headers]
    parts.append(b"content-length: %d\r\n" % len(body))
    parts.append(b"\r\n" if keep_alive else b"connection: close\r\n\r\n")
    parts.append(body)
    return b"".join(parts)


def request_bytes(method, target, headers, body):
    """Return a request as bytes.

    It has a content-length header if it has a body or its method usually has one.
    """
    parts = [b"%s %s HTTP/1.1\r\n" % (method, target)]
    parts += [b"%s: %s\r\n" % header for header in headers]
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        parts.append(b"content-length: %d\r\n" % len(body))
    parts.append(b"\r\n")
    parts.append(body)
    return b"".join(parts)


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
    peer : str
        Named in failures.
    max_body_bytes : int
        Maximum length of a response body.
    body_budget : BodyBudget, default=None
        Limits the bodies of several connections together.
    """

    def __init__(
        self, stream, peer, max_body_bytes=MAX_RESPONSE_BODY_BYTES, body_budget=None
    ):
        self._stream = stream
        self._peer = peer
        self._max_body_bytes = max_body_bytes
        self._body_budget = body_budget
        # Error of a send that was reset while the response was being read.
        self._send_error = None
        self.idle_since = trio.current_time()
        self.idle_limit_s = 0.0

    def close(self):
        """Close the connection at once."""
        self._stream.socket.close()

    def is_stale(self):
        """Whether the peer closed the idle connection or sent unexpected bytes."""
        return is_readable(self._stream.socket)

    async def exchange(self, data, step, on_data=None):
        """Send a request and read the complete response.

        Parameters
        ----------
        data : bytes
        step : str
            Name of the step, for failures.
        on_data : callable, default=None
            ``on_data(size)``, called whenever bytes of the response arrive.

        Returns
        -------
        response : HttpMessage
            ``keep_alive`` states whether the connection may be used again.

        Raises
        ------
        ExchangeError
            The response is missing, truncated, malformed or too long.
        """
        message_parser = make_response_parser(self._max_body_bytes, self._body_budget)
        responded_early = False
        try:
            if len(data) <= READ_BYTES:
                await self._send(data, step)
            else:
                responded_early = await self._send_while_reading(
                    data, message_parser, step, on_data
                )
            while not message_parser.messages:
                await self._receive(message_parser, step, on_data)
        finally:
            if self._body_budget is not None:
                self._body_budget.release(message_parser.budgeted_bytes)
        response = message_parser.messages.pop(0)
        if message_parser.messages or message_parser.message_begun or responded_early:
            return response._replace(keep_alive=False)
        return response

    async def _send(self, data, step):
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ExchangeError(step, self._peer, f"send: {error}") from error

    async def _send_while_reading(self, data, message_parser, step, on_data):
        """Send a long request while reading the response.

        A failed send does not end the read: the response may have arrived before.

        Returns whether the response was complete before all of the request was sent.
        """
        responded_early = False

        async def read():
            while not message_parser.messages:
                await self._receive(message_parser, step, on_data)
            nonlocal responded_early
            responded_early = True
            nursery.cancel_scope.cancel()

        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                try:
                    await self._send(data, step)
                except ExchangeError as error:
                    if not _peer_shut_down(error):
                        self._send_error = error
                else:
                    if not responded_early:
                        nursery.cancel_scope.cancel()
        except* ExchangeError as group:
            raise group.exceptions[0] from None
        return responded_early

    async def _receive(self, message_parser, step, on_data):
        try:
            data = await self._stream.receive_some(READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ExchangeError(step, self._peer, f"receive: {error}") from error
        if on_data is not None:
            on_data(len(data))
        if not data:
            # The system reports a reset once: after a send that failed with it, a read
            # returns an end of the stream.
            if self._send_error is not None:
                raise self._send_error
            if not finish_at_eof(message_parser):
                raise ExchangeError(step, self._peer, "closed before the answer's end")
            return
        try:
            parse(message_parser, data)
        except HttpError as error:
            if message_parser.messages:
                first = message_parser.messages[0]
                message_parser.messages[:] = [first._replace(keep_alive=False)]
                return
            raise ExchangeError(step, self._peer, f"malformed: {error}") from error


def _peer_shut_down(error):
    """Whether a send failed after the peer had shut down its side of the connection.

    Parameters
    ----------
    error : ExchangeError
        Raised by ``Connection._send``. The system reports EPIPE in this case, and the
        bytes that the peer sent before are complete.
    """
    system_error = error.__cause__.__cause__
    return isinstance(system_error, OSError) and system_error.errno == errno.EPIPE


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
