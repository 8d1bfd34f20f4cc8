"""Exchanges with a target whose response is truncated, malformed or too long."""

import socket
import struct

import pytest
import trio

from jujuberudder_emulator import free_addresses
from jujuberudder_router import ConnectionPool, ExchangeError
from jujuberudder_router._http import Connection, request_bytes

REQUEST = b"GET / HTTP/1.1\r\nHost: t\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
SECOND_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo"
# SO_LINGER of 0 s: the close sends a reset.
RESET = struct.pack("ii", 1, 0)
RESPONSE_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\none"


async def pool_to_scripted_target(nursery, sent, close=False):
    """Return a pool to a target that answers each request with the bytes ``sent``."""

    async def serve(stream):
        while await stream.receive_some(1000):
            await stream.send_all(sent)
            if close:
                await stream.aclose()
                return

    address = free_addresses(1)[0]
    port = int(address.split(":")[1])
    await nursery.start(trio.serve_tcp, serve, port)
    return ConnectionPool(address, 1.0, 1.0)


@pytest.mark.parametrize(
    "sent, close, body",
    [
        (RESPONSE, False, b"one"),
        (RESPONSE + SECOND_RESPONSE, False, b"one"),
        (RESPONSE + b"rubbish", False, b"one"),
        (RESPONSE + SECOND_RESPONSE[:20], False, b"one"),
        (RESPONSE_WITHOUT_LENGTH, True, b"one"),
        (RESPONSE[:-1], True, None),
        (b"rubbish\r\n\r\n", False, None),
        (b"", True, None),
    ],
    ids=[
        "complete", "two responses", "garbage after the response",
        "part of a second response", "no length", "truncated", "garbage", "closed",
    ],
)  # fmt: skip
async def test_response_body(nursery, sent, close, body):
    """Guards against the body of another response, and against a truncated body."""
    pool = await pool_to_scripted_target(nursery, sent, close)
    for _ in range(2):
        with trio.fail_after(5):
            try:
                received = (await pool.exchange(REQUEST, "test")).body
            except ExchangeError as error:
                assert error.failure.may_have_run
                received = None
        assert received == body


async def test_connection_with_extra_bytes_is_not_reused(nursery):
    """Guards against extra bytes after one response being read as the next response."""
    pool = await pool_to_scripted_target(nursery, RESPONSE + SECOND_RESPONSE)
    for _ in range(3):
        await pool.exchange(REQUEST, "test")
    assert pool.opened == 3


async def test_wait_for_a_connection_grows_after_failures(autojump_clock):
    """Guards against attempts that are all given up while a full link delays them."""
    with socket.socket() as listener, socket.socket() as first:
        listener.bind(("127.0.0.1", 0))
        # One connection fills the queue; further ones get no answer.
        listener.listen(0)
        first.connect(listener.getsockname())
        address = "127.0.0.1:%d" % listener.getsockname()[1]
        pool = ConnectionPool(address, 0.5, 2.0, max_connect_timeout_s=2.0)
        times = []
        for _ in range(4):
            started = trio.current_time()
            with pytest.raises(ExchangeError, match="no connection"):
                await pool.exchange(REQUEST, "test")
            times.append(trio.current_time() - started)
    assert times == pytest.approx([0.5, 1.0, 2.0, 2.0], abs=0.01)


async def test_idle_limit_is_lowered_after_a_reset(nursery):
    """Guards against repeated failures if a target drops idle connections early.

    The target resets a connection on the first request after 0.2 s without one.
    """

    async def serve(stream):
        last_request_at = trio.current_time()
        while await stream.receive_some(1000):
            if trio.current_time() - last_request_at > 0.2:
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                stream.socket.close()
                return
            await stream.send_all(RESPONSE)
            last_request_at = trio.current_time()

    address = free_addresses(1)[0]
    await nursery.start(trio.serve_tcp, serve, int(address.split(":")[1]))
    pool = ConnectionPool(address, 1.0, 1.0)
    failed = 0
    for idle_s in (0.0, 0.4, 0.4, 0.4):
        await trio.sleep(idle_s)
        try:
            await pool.exchange(REQUEST, "test")
        except ExchangeError:
            failed += 1
    assert failed == 1


class SendFailsFirstStream:
    """TCP stream on which further reads begin only after a send has failed.

    A reset wakes the tasks that send and read; here the one that sends runs first.
    ``read_woken`` is whether the reset has woken the read as well, which a cancellation
    by the task that sends does not stop then.
    """

    def __init__(self, stream, read_woken):
        self._stream = stream
        self._read_woken = read_woken
        self._reads = 0
        self._send_failed = trio.Event()

    @property
    def socket(self):
        return self._stream.socket

    def close(self):
        self._stream.close()

    async def send_all(self, data):
        try:
            await self._stream.send_all(data)
        except trio.BrokenResourceError:
            self._send_failed.set()
            raise

    async def receive_some(self, max_bytes):
        self._reads += 1
        if self._reads == 1:
            return await self._stream.receive_some(max_bytes)
        with trio.CancelScope(shield=self._read_woken):
            await self._send_failed.wait()
            return await self._stream.receive_some(max_bytes)


@pytest.mark.parametrize(
    "response, shut_down, body",
    [
        (RESPONSE_WITHOUT_LENGTH, False, None),
        (RESPONSE_WITHOUT_LENGTH, True, None),
        (RESPONSE[:-1], False, None),
        (RESPONSE[:-1], True, None),
        (RESPONSE, False, b"one"),
    ],
    ids=[
        "no length, reset", "no length, shut down, reset", "truncated, reset",
        "truncated, shut down, reset", "complete, reset",
    ],
)  # fmt: skip
@pytest.mark.parametrize("read_woken", [True, False], ids=["woken", "waiting"])
async def test_early_response_that_is_reset(
    nursery, read_woken, response, shut_down, body
):
    """Guards against a reset that only the send reports, read as a response's end."""
    resets = trio.Event()

    async def serve(stream):
        await stream.receive_some(1000)
        # All but the last byte, so that a second read is needed for the end.
        await stream.send_all(response[:-1])
        await trio.sleep(0.05)
        await stream.send_all(response[-1:])
        if shut_down:
            await stream.send_eof()
        await trio.sleep(0.05)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        stream.socket.close()
        resets.set()

    address = free_addresses(1)[0]
    host, port = address.split(":")
    await nursery.start(trio.serve_tcp, serve, int(port))
    connection = Connection(await trio.open_tcp_stream(host, int(port)), address)
    connection._stream = SendFailsFirstStream(connection._stream, read_woken)
    upload = request_bytes(b"POST", b"/", [], bytes(8_000_000))
    received = None
    with trio.fail_after(5):
        try:
            answer = await connection.exchange(upload, "test")
            received = answer.body
            assert not answer.keep_alive
        except ExchangeError as error:
            assert error.failure.may_have_run
        await resets.wait()
    connection.close()
    assert received == body
