"""Limits of the client listener, and requests that must not reach a target."""

import socket

import pytest
import trio
from raw_http import (
    JOBS,
    OK,
    connect,
    get_header,
    read_response,
    send_request,
    start_scripted,
)

from jujuberudder_clients import _connection, serve_http

LIMIT = 3_000_000


async def read_body_and_respond(stream, head):
    """Read a body of known length and respond."""
    remaining_bytes = int(get_header(head, "content-length") or 0)
    while remaining_bytes:
        data = await stream.receive_some(65536)
        if not data:
            return False
        remaining_bytes -= len(data)
    await stream.send_all(OK)
    return True


async def send_raw(address, data):
    """Send bytes on a new connection and return the response."""
    async with await connect(address) as stream:
        await stream.send_all(data)
        return await read_response(stream)


async def respond_ok(scope, receive, send):
    """Respond to any request, as an ASGI application."""
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"ok"})


def request(line="POST /jobs/1 HTTP/1.1", *lines, body=b""):
    """Return a raw request."""
    return "\r\n".join([line, "Host: test", *lines, "", ""]).encode() + body


MALFORMED_REQUESTS = {
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


async def test_invalid_requests_do_not_reach_a_target():
    """Guards against invalid requests reaching a target and refusals without reason."""
    async with trio.open_nursery() as nursery:
        target, addresses, _ = await start_scripted(nursery, read_body_and_respond)
        for address in addresses:
            for name, (data, status) in MALFORMED_REQUESTS.items():
                with trio.fail_after(5):
                    response = await send_raw(address, data)
                assert (name, response.status) == (name, status)
                assert (name, response.outcome) == (name, "not-run")
                assert response.headers["jujuberudder-request-id"], name
                assert response.headers["jujuberudder-reason"], name
        assert target.heads == []
        assert (await send_raw(addresses[0], request())).status == 200
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("forwarded", [0, 1])
async def test_chunked_body_over_the_limit(forwarded):
    """Guards against limiting only bodies with a Content-Length."""
    completed_bodies = []

    async def script(stream, head):
        if head.startswith(b"GET"):
            return await read_body_and_respond(stream, head)
        data = b""
        while not data.endswith(b"0\r\n\r\n"):
            received = await stream.receive_some(65536)
            if not received:
                return False
            data = (data + received)[-10:]
        completed_bodies.append(head)
        return False

    async with trio.open_nursery() as nursery:
        _, addresses, _ = await start_scripted(nursery, script)
        chunk = b"%x\r\n" % 65536 + b"x" * 65536 + b"\r\n"
        body = chunk * (LIMIT // 65536 + 2) + b"0\r\n\r\n"
        data = request("POST /jobs/1 HTTP/1.1", "Transfer-Encoding: chunked", body=body)
        with trio.fail_after(5):
            response = await send_raw(addresses[forwarded], data)
        assert response.status == 413
        assert completed_bodies == []
        nursery.cancel_scope.cancel()


INTERNAL = ["Fence", "FENCE", "fence", "Epoch", "Hop", "Shard", "Outcome", "Client"]


async def test_internal_headers_are_removed():
    """Guards against clients setting the fence or other headers of the nodes."""
    request_headers = [(f"Jujuberudder-{name}", "99999999") for name in INTERNAL * 2]
    request_headers += [
        ("jUJUBERUDDER_fENCE", "99999999"),
        ("Connection", "X-Hop-Only"),
    ]
    request_headers += [("X-Hop-Only", "1"), ("X-Kept", "1")]
    async with trio.open_nursery() as nursery:
        target, addresses, _ = await start_scripted(nursery, read_body_and_respond)
        for address in addresses:
            await send_request(address, "POST", "/jobs/1", request_headers)
        for head in target.heads:
            lines = head.decode().lower().split("\r\n")
            assert not [line for line in lines if "99999999" in line]
            assert sum(line.startswith("jujuberudder-fence:") for line in lines) == 1
            assert "x-hop-only: 1" not in lines
            assert "x-kept: 1" in lines
        assert len(target.heads) == 2
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("sent", [b"", b"GET /jobs/1 HTT"])
async def test_incomplete_head_times_out(sent, monkeypatch):
    """Guards against connections kept open by an incomplete head."""
    monkeypatch.setattr(_connection, "HEAD_TIMEOUT_S", 0.2)
    async with trio.open_nursery() as nursery:
        target, addresses, _ = await start_scripted(nursery, read_body_and_respond)
        async with await connect(addresses[0]) as stream:
            await stream.send_all(sent)
            with trio.fail_after(5):
                response = await read_response(stream)
        assert response.status == (408 if sent else 0)
        assert target.heads == []
        nursery.cancel_scope.cancel()


async def test_incomplete_body_times_out_at_its_deadline():
    """Guards against waiting past the deadline for a body that never ends."""
    data = request(
        "POST /jobs/1 HTTP/1.1", "Content-Length: 9", "Jujuberudder-Deadline: 200"
    )
    async with trio.open_nursery() as nursery:
        target, addresses, _ = await start_scripted(nursery, read_body_and_respond)
        with trio.fail_after(5):
            response = await send_raw(addresses[0], data + b"half")
        assert (response.status, response.outcome) == (408, "not-run")
        assert target.heads == []
        nursery.cancel_scope.cancel()


async def test_connections_per_address_are_limited():
    """Guards against one client occupying all connections."""
    async with trio.open_nursery() as nursery:
        stopping = trio.Event()
        address = await nursery.start(
            serve_http, respond_ok, "127.0.0.1:0", stopping, 3
        )
        streams = [await connect(address) for _ in range(3)]
        for stream in streams:
            await stream.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await read_response(stream)).status == 200
        response = await send_request(address, "GET", "/")
        assert (response.status, response.outcome) == (503, "not-run")
        assert response.headers["jujuberudder-request-id"]
        await streams[0].aclose()
        while (await send_request(address, "GET", "/")).status != 200:
            await trio.sleep(0.02)
        nursery.cancel_scope.cancel()


async def test_connections_not_yet_accepted_are_served():
    """Guards against requests reset because their connection waited to be accepted."""
    async with trio.open_nursery() as nursery:
        stopping = trio.Event()
        address = await nursery.start(serve_http, respond_ok, "127.0.0.1:0", stopping)
        host, port = address.split(":")
        # Opened without a checkpoint, so that the listener cannot accept them before.
        clients = [socket.create_connection((host, int(port))) for _ in range(20)]
        for client in clients:
            client.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        stopping.set()
        for client in clients:
            with client:
                client.settimeout(5.0)
                response = await trio.to_thread.run_sync(client.recv, 1000)
                assert response.startswith(b"HTTP/1.1 200")
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("forwarded", [0, 1], ids=["owner", "forwarded"])
@pytest.mark.parametrize("when", ["waiting", "within the answer", "within the body"])
async def test_disconnect_of_the_client_cancels_the_request(when, forwarded):
    """Guards against a target and a slot staying busy after the client disconnected."""
    reached, cancelled = trio.Event(), trio.Event()

    async def script(stream, head):
        if b"/jobs/1 " not in head:
            return await read_body_and_respond(stream, head)
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
        _, addresses, deployment = await start_scripted(
            nursery, script, JOBS + "slots: 1\n"
        )
        stream = await connect(addresses[forwarded])
        size = 500_000 if when == "within the body" else 1
        await stream.send_all(
            request("POST /jobs/1 HTTP/1.1", f"Content-Length: {size}")
            + b"x" * min(size, 200_000)
        )
        with trio.fail_after(5):
            await reached.wait()
            await stream.aclose()
            await cancelled.wait()
            response = await send_request(addresses[0], "POST", "/jobs/2")
        assert response.status == 200
        nursery.cancel_scope.cancel()


async def test_stalled_client_releases_its_slot_at_the_deadline():
    """Guards against a client that reads nothing holding a slot past the deadline."""

    async def script(stream, head):
        if b"/jobs/big " not in head:
            return await read_body_and_respond(stream, head)
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n")
        for _ in range(1000):
            await stream.send_all(b"x" * 100_000)
        return False

    async with trio.open_nursery() as nursery:
        _, addresses, _ = await start_scripted(nursery, script, JOBS + "slots: 1\n")
        stream = await connect(addresses[1])
        await stream.send_all(
            request("GET /jobs/big HTTP/1.1", "Jujuberudder-Deadline: 500")
        )
        with trio.fail_after(5):
            response = await send_request(addresses[0], "POST", "/jobs/2")
        assert response.status == 200
        await stream.aclose()
        nursery.cancel_scope.cancel()


async def test_pipelined_requests_are_answered_in_order():
    """Guards against responses out of order on one connection."""

    async def script(stream, head):
        name = head.split()[1]
        await trio.sleep(0.05 if b"slow" in name else 0)
        text = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
        await stream.send_all(text % (len(name), name))
        return True

    async with trio.open_nursery() as nursery:
        _, addresses, _ = await start_scripted(nursery, script)
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
