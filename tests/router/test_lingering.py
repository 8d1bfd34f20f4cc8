"""Closes of connections whose client may not have received all yet."""

import socket
from types import SimpleNamespace

import pytest
import trio

from jujuberudder_emulator import free_addresses
from jujuberudder_router import Limits
from jujuberudder_router import _lingering as lingering_module
from jujuberudder_router import _server as server_module
from jujuberudder_router._lingering import (
    LINGER_S,
    MAX_LINGER_S,
    LingeringConnections,
)
from jujuberudder_router._memory import MemoryAccount
from jujuberudder_router._server import Server

# Bytes that the client has room for, as on a network link with small windows.
WINDOW_BYTES = 4096
# Length of a response that fits in the buffers of both systems, but not there.
BODY_BYTES = 16_000
# Seconds that a request takes.
WORK_S = 0.3
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
LAST_GET = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
UPLOAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n"
TOO_LONG = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99000000\r\n\r\n"


def log_nothing(event, **fields):
    """Ignore a log event."""


class Setup:
    """A server with responses of ``BODY_BYTES``, and what it has run."""

    def __init__(self, nursery, limits):
        self.ran, self.account = 0, MemoryAccount()
        self.scope = trio.CancelScope()
        self.server = Server(self._handle, lambda: limits, log_nothing, self.account)
        host, port = free_addresses(1)[0].split(":")
        self.address = host, int(port)
        nursery.start_soon(self._serve)

    async def _serve(self):
        with self.scope:
            await self.server.serve(self.address)

    async def _handle(self, message):
        self.ran += 1
        await trio.sleep(WORK_S)
        return 200, [], bytes(BODY_BYTES)

    async def connect(self):
        """Return a connection whose client has little room for responses."""
        with trio.fail_after(5):
            while True:
                sock = trio.socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
                try:
                    await sock.connect(self.address)
                except OSError:
                    await trio.sleep(0.01)
                else:
                    return trio.SocketStream(sock)

    async def wait_until(self, condition):
        with trio.fail_after(5):
            while not condition():
                await trio.sleep(0.01)


@pytest.fixture
def setup(nursery):
    return Setup(nursery, Limits())


async def receive_slowly(stream):
    """Return the responses that a client receives that reads little at a time."""
    data = b""
    with trio.fail_after(10):
        while received := await stream.receive_some(1024):
            data += received
            await trio.sleep(0.02)
    return data.split(b"HTTP/1.1 ")[1:]


def is_whole(response):
    head, _, body = response.partition(b"\r\n\r\n")
    return head.startswith(b"200") and len(body) == BODY_BYTES


async def stop(setup, nursery):
    """Begin to stop the server."""
    nursery.start_soon(setup.server.drain, trio.current_time() + 8.0)
    await trio.lowlevel.checkpoint()


async def keep(setup, nursery):
    """Let the server run on."""


@pytest.mark.parametrize(
    "event, first, later, later_s, ends",
    [
        (stop, GET, GET, 1.5 * WORK_S, False),
        (stop, GET, GET * 3, 1.5 * WORK_S, False),
        (stop, GET, UPLOAD + bytes(300_000), 1.5 * WORK_S, False),
        (stop, GET, GET, 1.5 * WORK_S, True),
        (keep, LAST_GET, GET, 1.5 * WORK_S, False),
        (keep, LAST_GET, UPLOAD + bytes(300_000), 1.5 * WORK_S, False),
        (keep, GET, b"nonsense\r\n\r\n" + bytes(100_000), 0.5 * WORK_S, False),
        (keep, GET + TOO_LONG, bytes(300_000), 1.5 * WORK_S, False),
    ],
    ids=[
        "stop", "stop, several", "stop, upload", "end of the process", "last request",
        "last request, upload", "no request", "refused upload",
    ],
)  # fmt: skip
async def test_response_is_whole_though_the_client_sends_more(
    setup, nursery, event, first, later, later_s, ends
):
    """Guards against a reset that takes the response before it.

    The client reads slowly and sends its next request before it has read that the
    connection closes.
    """
    stream = await setup.connect()
    await stream.send_all(first)
    await setup.wait_until(lambda: setup.ran)
    received = []

    async def receive():
        received.extend(await receive_slowly(stream))

    async with trio.open_nursery() as client:
        await event(setup, nursery)
        client.start_soon(receive)
        await trio.sleep(later_s)
        await stream.send_all(later)
        if ends:
            setup.scope.cancel()
    assert len(received) == 1 and is_whole(received[0])
    await stream.aclose()
    assert setup.ran == 1


@pytest.mark.parametrize(
    "limits, begun",
    [
        (Limits(idle_timeout_s=0.3), b""),
        (Limits(header_timeout_s=0.3), b"GET / HT"),
        (None, b""),
    ],
    ids=["idle time-out", "header time-out", "unused during a stop"],
)
async def test_response_is_whole_though_its_connection_is_closed(
    nursery, monkeypatch, limits, begun
):
    """Guards against a reset when a time-out passes before the response is read.

    The next request is not read then: its client may send it again.
    """
    monkeypatch.setattr(server_module, "SWEEP_INTERVAL_S", 0.1)
    setup = Setup(nursery, limits or Limits())
    stream = await setup.connect()
    await stream.send_all(GET)
    await setup.wait_until(lambda: setup.ran and not setup.server.busy)
    await stream.send_all(begun)
    if limits is None:
        await stop(setup, nursery)
    await setup.wait_until(lambda: not setup.server._connections)
    await stream.send_all(GET)
    received = await receive_slowly(stream)
    assert len(received) == 1 and is_whole(received[0])
    assert setup.ran == 1


async def test_client_that_never_closes_does_not_prolong_a_stop(
    setup, nursery, monkeypatch
):
    """Guards against a stop, or descriptors, that depend on what clients do."""
    monkeypatch.setattr(lingering_module, "LINGER_S", 60.0)
    monkeypatch.setattr(lingering_module, "MAX_LINGER_S", 60.0)
    streams = [await setup.connect() for _ in range(5)]
    for stream in streams:
        await stream.send_all(LAST_GET)
    await setup.wait_until(lambda: setup.server.lingering == 5)
    assert setup.account.used_bytes == 0
    started = trio.current_time()
    await setup.server.drain(started + 0.5)
    assert 0.5 <= trio.current_time() - started < 0.9
    setup.scope.cancel()
    await setup.wait_until(lambda: not setup.server.lingering)


async def test_only_so_many_connections_wait_for_their_clients(
    setup, nursery, monkeypatch
):
    """Guards against descriptors that clients hold which never close."""
    monkeypatch.setattr(lingering_module, "MAX_LINGERING", 3)
    # None is closed because of the time that the test takes.
    monkeypatch.setattr(lingering_module, "LINGER_S", 60.0)
    monkeypatch.setattr(lingering_module, "MAX_LINGER_S", 60.0)
    streams = []
    for _ in range(6):
        streams.append(await setup.connect())
        await streams[-1].send_all(LAST_GET)
        await setup.wait_until(lambda: setup.ran == len(streams))
        await setup.wait_until(lambda: not setup.server._connections)
        assert setup.server.lingering <= 3
    assert setup.server.lingering == 3


class SimulatedStream:
    """A connection whose client acknowledges bytes and closes at set times."""

    def __init__(self, acknowledged_at, closed_at, sends):
        self._acknowledged_at, self._closed_at = acknowledged_at, closed_at
        self._sends = sends
        self.events = []

    @property
    def unreceived_bytes(self):
        return 2 * sum(at > trio.current_time() for at in self._acknowledged_at)

    @property
    def ended(self):
        return trio.current_time() >= self._closed_at

    def end_sending(self):
        self.events.append("end of sending")

    async def wait_readable(self):
        if not self._sends:
            await trio.sleep_until(self._closed_at)
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes):
        if self._sends:
            await trio.sleep(0.01)
        else:
            await trio.sleep_until(self._closed_at)
        return b"" if self.ended else b"x"

    def discard_received(self, max_bytes):
        self.events.append("discarded")

    def close(self):
        self.events.append("closed")


async def test_connections_that_begin_to_wait_at_the_same_time(
    autojump_clock, nursery, monkeypatch
):
    """Guards against a bound that a burst of closes exceeds."""
    monkeypatch.setattr(lingering_module, "MAX_LINGERING", 3)
    connections = LingeringConnections(log_nothing)
    streams = [SimulatedStream([], 99.0, False) for _ in range(8)]
    for stream in streams:
        nursery.start_soon(connections.close, stream, True)
    await trio.sleep(0.5)
    assert len(connections) == 3
    assert sum("closed" in stream.events for stream in streams) == 5


@pytest.mark.parametrize("discard", [False, True], ids=["unread", "discarded"])
async def test_end_of_the_process_closes_what_waits(autojump_clock, discard):
    """Guards against bytes that are left unread, and reset the connection, at a close.

    They may have arrived after the last read.
    """
    connections, stream = (
        LingeringConnections(log_nothing),
        SimulatedStream([], 99.0, False),
    )
    with trio.move_on_after(0.5):
        await connections.close(stream, discard)
    assert stream.events == ["end of sending", *["discarded"] * discard, "closed"]
    assert not len(connections)


@pytest.mark.parametrize("sends", [False, True], ids=["silent", "sends on"])
@pytest.mark.parametrize("discard", [False, True], ids=["unread", "discarded"])
@pytest.mark.parametrize(
    "acknowledged_at, closed_at, expected_s",
    [
        ([], 0.5, 0.5),
        ([], 99.0, LINGER_S),
        ([1.5, 3.0, 4.5], 5.5, 5.5),
        ([1.5, 3.0, 4.5], 99.0, 4.5 + LINGER_S),
        ([float(i) for i in range(99)], 99.0, MAX_LINGER_S),
        ([50.0], 99.0, LINGER_S),
    ],
    ids=[
        "closes", "never closes", "reads slowly", "reads slowly, never closes",
        "reads too slowly", "reads nothing",
    ],
)  # fmt: skip
async def test_wait_for_a_client(
    autojump_clock, acknowledged_at, closed_at, expected_s, discard, sends
):
    """Guards against a close before the client has received all, and endless waits."""
    events, started = [], trio.current_time()
    connections = LingeringConnections(lambda event, **fields: events.append(event))
    stream = SimulatedStream(
        [started + at for at in acknowledged_at], started + closed_at, sends
    )
    await connections.close(stream, discard)
    took_s = trio.current_time() - started
    assert took_s == pytest.approx(expected_s, abs=0.35)
    unread = any(at > took_s for at in acknowledged_at)
    assert events == ["response_not_read"] * unread
    assert stream.events == ["end of sending", *["discarded"] * discard, "closed"]
    assert not len(connections)


async def test_connection_that_the_client_resets_is_closed():
    """Guards against a fault of the server when a client resets its connection."""

    def fail():
        raise trio.BrokenResourceError

    closed = []
    stream = SimpleNamespace(
        unreceived_bytes=0,
        end_sending=fail,
        discard_received=lambda max_bytes: None,
        close=lambda: closed.append(1),
    )
    await LingeringConnections(log_nothing).close(stream, True)
    assert closed == [1]
