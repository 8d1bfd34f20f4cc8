"""Connections of callers, and links between nodes, at their edges."""

import pytest
import trio

from jujuberudder_emulator import free_addresses
from jujuberudder_router import Limits
from jujuberudder_router._frames import (
    NOT_RUN,
    CancelForward,
    ForwardReply,
    ForwardRequest,
    encode_frame,
)
from jujuberudder_router._peer_links import serve_links
from jujuberudder_router._server import Server

TWO_LENGTHS = (
    b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
)
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


def quiet(event, **fields):
    """Log nothing."""


async def served(nursery, handle):
    """Start a server and return it with an open connection."""
    server = Server(handle, Limits, quiet)
    host, port = "127.0.0.1", int(free_addresses(1)[0].split(":")[1])
    nursery.start_soon(server.serve, (host, port))
    with trio.fail_after(5):
        while True:
            try:
                return server, await trio.open_tcp_stream(host, port)
            except OSError:
                await trio.sleep(0.01)


async def test_a_request_read_while_its_connection_closes_is_answered():
    """Guards against a request that ran and whose connection ended unanswered."""
    async with trio.open_nursery() as nursery:

        async def handle(message):
            await trio.sleep(0.05)
            return 200, [], b"done"

        server, stream = await served(nursery, handle)
        await stream.send_all(REQUEST)
        with trio.fail_after(5):
            while not server.busy:
                await trio.lowlevel.checkpoint()
            # As if the request had arrived in the instant of the close.
            server.closing = True
            for connection in server._connections:
                connection.stop_reading()
            answer = await stream.receive_some(1000)
        assert answer.startswith(b"HTTP/1.1 200") and b"connection: close" in answer
        nursery.cancel_scope.cancel()


async def test_a_caller_that_leaves_cancels_its_request():
    """Guards against targets that work for callers that are gone."""
    cancelled = trio.Event()
    async with trio.open_nursery() as nursery:

        async def handle(message):
            try:
                await trio.sleep(10)
            finally:
                cancelled.set()

        server, stream = await served(nursery, handle)
        await stream.send_all(REQUEST)
        while not server.busy:
            await trio.sleep(0.01)
        await stream.aclose()
        with trio.fail_after(2):
            await cancelled.wait()
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    "data, status",
    [
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 20000 + b"\r\n\r\n", b"431"),
        (b"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n" + b"x", None),
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n", b"400"),
        (TWO_LENGTHS, b"400"),
    ],
    ids=["header too large", "long body", "nonsense", "upgrade", "two lengths"],
)
async def test_malformed_requests(data, status):
    """Guards against smuggled requests and against bytes kept without bound."""
    ran = []
    async with trio.open_nursery() as nursery:

        async def handle(message):
            ran.append(message)
            return 200, [], b""

        server, stream = await served(nursery, handle)
        await stream.send_all(data)
        if status is not None:
            with trio.fail_after(5):
                assert (await stream.receive_some(1000)).split(b" ")[1] == status
        assert ran == []
        nursery.cancel_scope.cancel()


async def test_a_cancel_in_the_same_read_as_its_ask_takes_effect():
    """Guards against requests that run although their caller had left."""
    ended = []
    async with trio.open_nursery() as nursery:

        async def handle(ask):
            with trio.move_on_after(1.0) as scope:
                await trio.sleep(0.2)
            ended.append(scope.cancelled_caught)
            return ForwardReply(ask.id, NOT_RUN)

        address = ("127.0.0.1", int(free_addresses(1)[0].split(":")[1]))
        nursery.start_soon(
            serve_links, address, handle, None, lambda: None, None, quiet
        )
        await trio.sleep(0.05)
        stream = await trio.open_tcp_stream(*address)
        ask = ForwardRequest(
            1, "r", b"GET", b"/", [], b"", 1.0, 1.0, 1, None, "s", "s", "r"
        )
        await stream.send_all(
            bytes(encode_frame(ask)) + bytes(encode_frame(CancelForward(1)))
        )
        await trio.sleep(0.4)
        assert ended == []
        nursery.cancel_scope.cancel()
