"""HTTP/1.1 messages on trio streams, parsed by httptools."""

import socket
from http import HTTPStatus
from typing import NamedTuple

import httptools
import trio

from jujuberudder_base import Failure

# Bytes asked for in one read: most messages arrive in one, uploads in a few.
READ_BYTES = 65536

_REASONS = {s.value: s.phrase.encode() for s in HTTPStatus}
# Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset((
    b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer",
    b"transfer-encoding", b"upgrade", b"content-length", b"expect",
))  # fmt: skip


class HttpError(Exception):
    """A message that cannot be taken; ``status`` is what a client is told."""

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status


class HttpMessage(NamedTuple):
    """A request or response read whole; header names are lower case."""

    method: bytes
    target: bytes
    status: int
    headers: list
    body: bytes
    keep_alive: bool


class _Collector:
    """Collects what httptools parses; finished messages wait in ``messages``."""

    def __init__(self, max_header_bytes, max_body_bytes):
        self._max_header_bytes = max_header_bytes
        self._max_body_bytes = max_body_bytes
        self.parser = None
        self.messages = []
        self.begun = False
        self.headers_done = False
        self._reset()

    def _reset(self):
        self._target = b""
        self._headers = []
        self._body = []
        self._header_bytes = 0
        self._body_bytes = 0

    @property
    def has_length(self):
        """Whether the headers tell where the body ends."""
        names = {name for name, _ in self._headers}
        return b"content-length" in names or b"transfer-encoding" in names

    def on_message_begin(self):
        self.begun = True

    def on_url(self, url):
        self._target += url
        self._count_header(len(url))

    def on_header(self, name, value):
        self._headers.append((name.lower(), value))
        self._count_header(len(name) + len(value) + 4)

    def _count_header(self, size):
        self._header_bytes += size
        if self._header_bytes > self._max_header_bytes:
            raise HttpError(431, "header too large")

    def on_headers_complete(self):
        self.headers_done = True

    def on_body(self, data):
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            raise HttpError(413, "body too large")
        self._body.append(data)

    def on_message_complete(self):
        parser = self.parser
        is_request = isinstance(parser, httptools.HttpRequestParser)
        self.messages.append(
            HttpMessage(
                parser.get_method() if is_request else b"",
                self._target,
                0 if is_request else parser.get_status_code(),
                self._headers,
                b"".join(self._body),
                parser.should_keep_alive(),
            )
        )
        self.begun = self.headers_done = False
        self._reset()


def request_parser(max_header_bytes, max_body_bytes):
    """Return a collector for requests; feed it with ``feed``."""
    collector = _Collector(max_header_bytes, max_body_bytes)
    collector.parser = httptools.HttpRequestParser(collector)
    return collector


def feed(collector, data):
    """Parse bytes.

    Raises
    ------
    HttpError
        The bytes are no message that can be taken.
    """
    try:
        collector.parser.feed_data(data)
    except httptools.HttpParserUpgrade:
        raise HttpError(400, "upgrades are not served") from None
    except httptools.HttpParserError as error:
        cause = error.__context__
        if isinstance(cause, HttpError):
            raise cause from None
        raise HttpError(400, str(error) or type(error).__name__) from None


def response_bytes(status, headers, body, keep_alive=True):
    """Return a response with its length."""
    reason = _REASONS.get(status, b"Status")
    parts = [b"HTTP/1.1 %d %s\r\n" % (status, reason)]
    parts += [b"%s: %s\r\n" % header for header in headers]
    parts.append(b"content-length: %d\r\n" % len(body))
    parts.append(b"\r\n" if keep_alive else b"connection: close\r\n\r\n")
    parts.append(body)
    return b"".join(parts)


def request_bytes(method, target, headers, body):
    """Return a request; a length is sent with a body or where one is expected."""
    parts = [b"%s %s HTTP/1.1\r\n" % (method, target)]
    parts += [b"%s: %s\r\n" % header for header in headers]
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        parts.append(b"content-length: %d\r\n" % len(body))
    parts.append(b"\r\n")
    parts.append(body)
    return b"".join(parts)


def find_header(headers, name):
    """Return the value of the first header of a lower-case name, or None."""
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
        Longest wait for the connection, in seconds.
    user_timeout_s : float
        Seconds after which unacknowledged bytes end the connection.

    Raises
    ------
    OSError
        Refused, reset or timed out.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(user_timeout_s * 1000)
        )
        with trio.move_on_after(timeout_s) as scope:
            await sock.connect(parse_address(address))
        if scope.cancelled_caught:
            raise TimeoutError(f"no connection after {timeout_s} s")
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


class Connection:
    """A client connection that carries one exchange at a time.

    Parameters
    ----------
    stream : trio.SocketStream
    peer : str
        Named in failures.
    max_body_bytes : int
        Longest response body that is taken.
    """

    def __init__(self, stream, peer, max_body_bytes=67108864):
        self._stream = stream
        self._peer = peer
        self._max_body_bytes = max_body_bytes
        self.idle_since = trio.current_time()
        self.idle_limit_s = 0.0

    def close(self):
        """Close at once."""
        self._stream.socket.close()

    def stale(self):
        """Whether the peer closed the idle connection or sent unasked bytes."""
        sock = socket.socket(fileno=self._stream.socket.fileno())
        try:
            sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            sock.detach()
        return True

    async def exchange(self, data, step):
        """Send a request and read the response whole.

        Returns
        -------
        response : HttpMessage
            ``keep_alive`` tells whether the connection may be used again.

        Raises
        ------
        ExchangeError
            The response is missing, cut short or malformed.
        """
        collector = _Collector(65536, self._max_body_bytes)
        collector.parser = httptools.HttpResponseParser(collector)
        early = False
        if len(data) <= READ_BYTES:
            await self._send(data, step)
        else:
            early = await self._send_long(data, collector, step)
        while not collector.messages:
            await self._receive(collector, step)
        response = collector.messages.pop(0)
        if collector.messages or collector.begun or early:
            return response._replace(keep_alive=False)
        return response

    async def _send(self, data, step):
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ExchangeError(step, self._peer, f"send: {error}") from error

    async def _send_long(self, data, collector, step):
        """Send while reading; return whether the response came before the end."""
        early = False

        async def read():
            while not collector.messages:
                await self._receive(collector, step)
            nonlocal early
            early = True
            nursery.cancel_scope.cancel()

        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                await self._send(data, step)
                if not early:
                    nursery.cancel_scope.cancel()
        except* ExchangeError as group:
            if not collector.messages:
                raise group.exceptions[0] from None
        return early

    async def _receive(self, collector, step):
        try:
            data = await self._stream.receive_some(READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ExchangeError(step, self._peer, f"receive: {error}") from error
        if not data:
            if not finish(collector):
                raise ExchangeError(step, self._peer, "closed before the answer's end")
            return
        try:
            feed(collector, data)
        except HttpError as error:
            if collector.messages:
                first = collector.messages[0]
                collector.messages[:] = [first._replace(keep_alive=False)]
                return
            raise ExchangeError(step, self._peer, f"malformed: {error}") from error


def finish(collector):
    """Complete a response without a length that ends with its connection."""
    if not collector.headers_done or collector.messages:
        return bool(collector.messages)
    if collector.has_length:
        return False
    collector.on_message_complete()
    last = collector.messages[-1]
    collector.messages[-1] = last._replace(keep_alive=False)
    return True


class ExchangeError(Exception):
    """An exchange that ended without a whole answer; carries a ``Failure``."""

    def __init__(self, step, peer, reason, may_have_run=True):
        self.failure = Failure(step, peer, reason, may_have_run)
        super().__init__(str(self.failure))
