"""Exchanges with a target that answers more, less or other than it should."""

import socket
import struct

import pytest
import trio

from jujuberudder_emulator import free_addresses
from jujuberudder_router import ConnectionPool, ExchangeError

REQUEST = b"GET / HTTP/1.1\r\nHost: t\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
SECOND = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo"
# Close with a reset: linger for 0 s.
RESET = struct.pack("ii", 1, 0)
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\none"


async def answered(nursery, sent, close=False):
    """Return a pool to a target that answers each request with some bytes."""

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
        (ANSWER, False, b"one"),
        (ANSWER + SECOND, False, b"one"),
        (ANSWER + b"rubbish", False, b"one"),
        (ANSWER + SECOND[:20], False, b"one"),
        (UNFRAMED, True, b"one"),
        (ANSWER[:-1], True, None),
        (b"rubbish\r\n\r\n", False, None),
        (b"", True, None),
    ],
    ids=[
        "whole", "second answer", "rubbish after", "part of a second", "unframed",
        "cut short", "rubbish", "closed",
    ],
)  # fmt: skip
async def test_answer(nursery, sent, close, body):
    """Guards against a body of another answer, and one that was cut short."""
    pool = await answered(nursery, sent, close)
    for _ in range(2):
        with trio.fail_after(5):
            try:
                found = (await pool.exchange(REQUEST, "test")).body
            except ExchangeError as error:
                assert error.failure.may_have_run
                found = None
        assert found == body


async def test_a_connection_with_more_bytes_is_not_used_again(nursery):
    """Guards against the rest of one answer being taken for the next."""
    pool = await answered(nursery, ANSWER + SECOND)
    for _ in range(3):
        await pool.exchange(REQUEST, "test")
    assert pool.opened == 3


async def test_idle_connections_are_forgotten(nursery):
    """Guards against requests lost one after the other on forgotten connections."""

    async def serve(stream):
        last = trio.current_time()
        while await stream.receive_some(1000):
            if trio.current_time() - last > 0.2:
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                stream.socket.close()
                return
            await stream.send_all(ANSWER)
            last = trio.current_time()

    address = free_addresses(1)[0]
    await nursery.start(trio.serve_tcp, serve, int(address.split(":")[1]))
    pool = ConnectionPool(address, 1.0, 1.0)
    failed = 0
    for pause_s in (0.0, 0.4, 0.4, 0.4):
        await trio.sleep(pause_s)
        try:
            await pool.exchange(REQUEST, "test")
        except ExchangeError:
            failed += 1
    assert failed == 1
