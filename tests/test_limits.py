"""Limits of the client listener, and requests that must not reach a target."""

import pytest
import trio
from raw_http import (
    JOBS,
    OK,
    connect,
    header,
    read_reply,
    start_raw,
    talk,
)

from jujuberudder_clients import _connection, serve_http

LIMIT = 3_000_000


async def ok(stream, head):
    """Take a body of known length and answer."""
    left = int(header(head, "content-length") or 0)
    while left:
        data = await stream.receive_some(65536)
        if not data:
            return False
        left -= len(data)
    await stream.send_all(OK)
    return True


async def raw(address, data):
    """Send bytes on a connection of their own and return the reply."""
    async with await connect(address) as stream:
        await stream.send_all(data)
        return await read_reply(stream)


def request(line="POST /jobs/1 HTTP/1.1", *lines, body=b""):
    """Return a raw request."""
    return "\r\n".join([line, "Host: test", *lines, "", ""]).encode() + body


REFUSED = {
    "not HTTP": (b"hello\r\n\r\n", 400),
    "no host": (b"GET /jobs/1 HTTP/1.1\r\n\r\n", 400),
    "HTTP/1.0": (b"GET /jobs/1 HTTP/1.0\r\nHost: a\r\n\r\n", 505),
    "two lengths": (request(lines := "POST /jobs/1 HTTP/1.1", "Content-Length: 1",
                            "Content-Length: 2"), 400),
    "length and chunks": (request(lines, "Content-Length: 1",
                                  "Transfer-Encoding: chunked"), 400),
    "unknown coding": (request(lines, "Transfer-Encoding: gzip"), 501),
    "length below zero": (request(lines, "Content-Length: -1"), 400),
    "space before colon": (request(lines, "X-A : 1"), 400),
    "bare NUL": (request(lines, "X-A: \0"), 400),
    "folded id": (request(lines, "Jujuberudder-Request-Id: a", " b"), 400),
    "repeated id": (request(lines, "Jujuberudder-Request-Id: a",
                            "jujuberudder-request-id: b"), 400),
    "unusable id": (request(lines, "Jujuberudder-Request-Id: a b"), 400),
    "deadline in words": (request(lines, "Jujuberudder-Deadline: soon"), 400),
    "deadline below zero": (request(lines, "Jujuberudder-Deadline: -5"), 400),
    "no key": (request("GET /jobs/ HTTP/1.1"), 400),
    "no section": (request("GET /other/1 HTTP/1.1"), 404),
    "not a path": (request("OPTIONS * HTTP/1.1"), 400),
    "CONNECT": (request("CONNECT a:1 HTTP/1.1"), 400),
    "head too large": (request(lines, "X-A: " + "a" * 40_000), 431),
    "body too large": (request(lines, f"Content-Length: {LIMIT + 1}"), 413),
    "deadline passed": (request(lines, "Jujuberudder-Deadline: 0"), 503),
}  # fmt: skip


async def test_refused_before_a_target():
    """Guards against malformed requests at targets and refusals without a reason."""
    async with trio.open_nursery() as nursery:
        target, addresses, _ = await start_raw(nursery, ok)
        for address in addresses:
            for name, (data, status) in REFUSED.items():
                with trio.fail_after(5):
                    reply = await raw(address, data)
                assert (name, reply.status) == (name, status)
                assert (name, reply.outcome) == (name, "not-run")
                assert reply.headers["jujuberudder-request-id"], name
                assert reply.headers["jujuberudder-reason"], name
        assert target.heads == []
        assert (await raw(addresses[0], request())).status == 200
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("over_hop", [0, 1])
async def test_chunked_body_over_the_limit(over_hop):
    """Guards against a limit that only counts bodies with a length."""
    ran = []

    async def script(stream, head):
        if head.startswith(b"GET"):
            return await ok(stream, head)
        data = b""
        while not data.endswith(b"0\r\n\r\n"):
            got = await stream.receive_some(65536)
            if not got:
                return False
            data = (data + got)[-10:]
        ran.append(head)
        return False

    async with trio.open_nursery() as nursery:
        _, addresses, _ = await start_raw(nursery, script)
        part = b"%x\r\n" % 65536 + b"x" * 65536 + b"\r\n"
        body = part * (LIMIT // 65536 + 2) + b"0\r\n\r\n"
        data = request("POST /jobs/1 HTTP/1.1", "Transfer-Encoding: chunked", body=body)
        with trio.fail_after(5):
            reply = await raw(addresses[over_hop], data)
        assert reply.status == 413
        assert ran == []
        nursery.cancel_scope.cancel()


INTERNAL = ["Fence", "FENCE", "fence", "Epoch", "Hop", "Shard", "Outcome", "Client"]


async def test_internal_headers_are_removed():
    """Guards against clients that set the fence or other marks of the nodes."""
    given = [(f"Jujuberudder-{name}", "99999999") for name in INTERNAL * 2]
    given += [("jUJUBERUDDER_fENCE", "99999999"), ("Connection", "X-Hop-Only")]
    given += [("X-Hop-Only", "1"), ("X-Kept", "1")]
    async with trio.open_nursery() as nursery:
        target, addresses, _ = await start_raw(nursery, ok)
        for address in addresses:
            await talk(address, "POST", "/jobs/1", given)
        for head in target.heads:
            lines = head.decode().lower().split("\r\n")
            assert not [line for line in lines if "99999999" in line]
            assert sum(line.startswith("jujuberudder-fence:") for line in lines) == 1
            assert "x-hop-only: 1" not in lines
            assert "x-kept: 1" in lines
        assert len(target.heads) == 2
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("sent", [b"", b"GET /jobs/1 HTT"])
async def test_slow_head(sent, monkeypatch):
    """Guards against connections that are held open by an unfinished head."""
    monkeypatch.setattr(_connection, "HEAD_TIMEOUT_S", 0.2)
    async with trio.open_nursery() as nursery:
        target, addresses, _ = await start_raw(nursery, ok)
        async with await connect(addresses[0]) as stream:
            await stream.send_all(sent)
            with trio.fail_after(5):
                reply = await read_reply(stream)
        assert reply.status == (408 if sent else 0)
        assert target.heads == []
        nursery.cancel_scope.cancel()


async def test_slow_body_of_a_small_request():
    """Guards against a body that never ends and outlives its deadline."""
    data = request(
        "POST /jobs/1 HTTP/1.1", "Content-Length: 9", "Jujuberudder-Deadline: 200"
    )
    async with trio.open_nursery() as nursery:
        target, addresses, _ = await start_raw(nursery, ok)
        with trio.fail_after(5):
            reply = await raw(addresses[0], data + b"half")
        assert (reply.status, reply.outcome) == (408, "not-run")
        assert target.heads == []
        nursery.cancel_scope.cancel()


async def test_connections_of_one_address():
    """Guards against one client that takes all connections."""

    async def app(scope, receive, send):
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": b"ok"})

    async with trio.open_nursery() as nursery:
        stopping = trio.Event()
        address = await nursery.start(serve_http, app, "127.0.0.1:0", stopping, 3)
        held = [await connect(address) for _ in range(3)]
        for stream in held:
            await stream.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await read_reply(stream)).status == 200
        reply = await talk(address, "GET", "/")
        assert (reply.status, reply.outcome) == (503, "not-run")
        assert reply.headers["jujuberudder-request-id"]
        await held[0].aclose()
        while (await talk(address, "GET", "/")).status != 200:
            await trio.sleep(0.02)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("over_hop", [0, 1], ids=["owner", "forwarded"])
@pytest.mark.parametrize("when", ["waiting", "within the answer", "within the body"])
async def test_client_goes_away(when, over_hop):
    """Guards against targets that work on, and slots held, for a client that left."""
    reached, cancelled = trio.Event(), trio.Event()

    async def script(stream, head):
        if b"/jobs/1 " not in head:
            return await ok(stream, head)
        if when == "within the answer":
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
        reached.set()
        try:
            while await stream.receive_some(65536):
                pass
        except trio.BrokenResourceError:
            pass
        cancelled.set()
        return False

    async with trio.open_nursery() as nursery:
        _, addresses, deployment = await start_raw(nursery, script, JOBS + "slots: 1\n")
        stream = await connect(addresses[over_hop])
        size = 500_000 if when == "within the body" else 1
        await stream.send_all(
            request("POST /jobs/1 HTTP/1.1", f"Content-Length: {size}")
            + b"x" * min(size, 200_000)
        )
        with trio.fail_after(5):
            await reached.wait()
            await stream.aclose()
            await cancelled.wait()
            reply = await talk(addresses[0], "POST", "/jobs/2")
        assert reply.status == 200
        nursery.cancel_scope.cancel()


async def test_client_that_reads_nothing_frees_its_slot():
    """Guards against a slot that is held past the deadline by a client that stalls."""

    async def script(stream, head):
        if b"/jobs/big " not in head:
            return await ok(stream, head)
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n")
        for _ in range(1000):
            await stream.send_all(b"x" * 100_000)
        return False

    async with trio.open_nursery() as nursery:
        _, addresses, _ = await start_raw(nursery, script, JOBS + "slots: 1\n")
        stream = await connect(addresses[1])
        await stream.send_all(
            request("GET /jobs/big HTTP/1.1", "Jujuberudder-Deadline: 500")
        )
        with trio.fail_after(5):
            reply = await talk(addresses[0], "POST", "/jobs/2")
        assert reply.status == 200
        await stream.aclose()
        nursery.cancel_scope.cancel()


async def test_pipelined_requests_are_answered_in_order():
    """Guards against answers that cross on one connection."""

    async def script(stream, head):
        name = head.split()[1]
        await trio.sleep(0.05 if b"slow" in name else 0)
        text = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
        await stream.send_all(text % (len(name), name))
        return True

    async with trio.open_nursery() as nursery:
        _, addresses, _ = await start_raw(nursery, script)
        async with await connect(addresses[1]) as stream:
            names = [b"/jobs/slow1", b"/jobs/2", b"/jobs/slow3", b"/jobs/4"]
            for name in names:
                await stream.send_all(request(f"GET {name.decode()} HTTP/1.1"))
            data = b""
            with trio.fail_after(5):
                while data.count(b"/jobs/") < 4:
                    data += await stream.receive_some(65536)
        positions = [data.index(name) for name in names]
        assert positions == sorted(positions)
        nursery.cancel_scope.cancel()
