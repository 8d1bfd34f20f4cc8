"""Responses of targets and other nodes that break off or have an odd status."""

import re
import socket
import struct

import pytest
import trio

from jujuberudder_emulator import CONFIGURATION, Deployment, TargetStandin
from jujuberudder_platform.__main__ import ADAPTER
from jujuberudder_router import ConnectionPool, ExchangeError
from jujuberudder_router._frames import (
    ANSWERED,
    BODY_PART_BYTES,
    UNKNOWN,
    BodyPart,
    ForwardReply,
    encode_frame,
)
from jujuberudder_router._http import request_bytes
from jujuberudder_router._peers import MAX_SETTLE_S

from .test_long_bodies import BODY, Peers

# SO_LINGER of 0 s: the close sends a reset.
RESET = struct.pack("ii", 1, 0)
HEADERS = b"Jujuberudder-Request-Id: %s\r\nJujuberudder-Server-Signature: s\r\n"
LENGTH = b"Content-Length: 3\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
OK = b"HTTP/1.1 200 OK"
# Interim responses before the final one.
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"


def response(line=OK, framing=LENGTH, body=b"one"):
    """Return a response to the request ``q1`` as bytes."""
    return line + b"\r\n" + HEADERS % b"q1" + framing + b"\r\n" + body


async def end_connection(stream, end):
    """End a connection by a reset, a close, or the first after a shutdown."""
    if "shutdown" in end:
        await stream.send_eof()
    if "pause" in end:
        await trio.sleep(0.05)
    if "reset" in end:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    if "open" not in end:
        stream.socket.close()


async def exchange_with(
    nursery, sent, end, upload_bytes=0, parts=False, method=b"POST"
):
    """Return the status and body that a node accepts from a scripted target, or None.

    Parameters
    ----------
    nursery : trio.Nursery
    sent : bytes
        Sent after the first bytes of the request.
    end : str
        How the target ends the connection, for ``end_connection``; it reads all of
        the upload before if ``"read"`` is part of it.
    upload_bytes : int, default=0
    parts : bool, default=False
        Whether each byte is sent alone.
    method : bytes, default=b"POST"
    """

    async def serve(stream):
        received = len(await stream.receive_some())
        while "read" in end and received < upload_bytes:
            received += len(await stream.receive_some())
        for start in range(len(sent)) if parts else [0]:
            await stream.send_all(sent[start : start + 1] if parts else sent)
            await trio.sleep(0.0005 if parts else 0.02)
        await end_connection(stream, end)
        await trio.sleep(5)

    listeners = await nursery.start(trio.serve_tcp, serve, 0)
    port = listeners[0].socket.getsockname()[1]
    pool = ConnectionPool(f"127.0.0.1:{port}", 1.0, 1.0)

    def check(message):
        return ADAPTER.check_response(message, "q1").invalid_reason

    request = request_bytes(method, b"/", [], bytes(upload_bytes))
    with trio.move_on_after(2):
        try:
            message = await pool.exchange(request, "test", check)
        except ExchangeError as error:
            assert error.failure.may_have_run
            return None
        return message.status, message.body
    return None


@pytest.mark.parametrize("interim", [b"", INTERIM], ids=["", "interim"])
@pytest.mark.parametrize("parts", [False, True], ids=["whole", "parts"])
@pytest.mark.parametrize(
    "line, status",
    [
        (b"HTTP/1.1 200", 200),
        (b"HTTP/1.0 599 Odd", 599),
        *((b"HTTP/1.1 %s Odd" % status, None) for status in (
            b"000", b"0", b"001", b"099", b"199", b"101", b"600", b"999", b"1000",
            b"2000", b"0200", b"65736", b"+200", b"-200", b"20", b"2 00", b"200x",
        )),
        (b"HTTP/1.2 200 OK", None),
        (b"HTTP/2 200 OK", None),
        (b"HTTP/11.1 200 OK", None),
        (b"200 OK", None),
    ],
)  # fmt: skip
async def test_odd_status_line(nursery, line, status, parts, interim):
    """Guards against a status outside 100 to 599 that reaches a client."""
    sent = interim + response(line)
    received = await exchange_with(nursery, sent, "close", parts=parts)
    assert received == (status and (status, b"one"))


@pytest.mark.parametrize("upload_bytes", [0, 8_000_000], ids=["short", "upload"])
@pytest.mark.parametrize("interim", [b"", INTERIM], ids=["", "interim"])
@pytest.mark.parametrize(
    "sent, end, body",
    [
        (response(framing=b""), "reset", None),
        (response(framing=b""), "shutdown reset", None),
        (response(framing=b""), "shutdown pause reset", None),
        (response(framing=b""), "read reset", None),
        (response(framing=b""), "read close", b"one"),
        (response(framing=b"", body=b""), "reset", None),
        (response(OK, b"Content-Length: 4\r\n"), "shutdown reset", None),
        (response(OK, b"Content-Length: 4\r\n"), "read close", None),
        (response(OK, LENGTH + b"Content-Length: 4\r\n"), "close", None),
        (response(OK, b"Content-Length: 3, 4\r\n"), "close", None),
        (response(OK, LENGTH + CHUNKED, b"3\r\none\r\n0\r\n\r\n"), "close", None),
        (response(OK, CHUNKED + LENGTH, b"3\r\none\r\n0\r\n\r\n"), "close", None),
        (response(OK, CHUNKED, b"3\r\none\r\n"), "read close", None),
        (response(OK, CHUNKED, b"3\r\none\r\n0\r\n"), "read close", None),
        (response(OK, CHUNKED, b"4\r\none"), "read reset", None),
        (response(OK, b"Transfer-Encoding: gzip\r\n"), "read close", None),
        (response(OK, b"Transfer-Encoding: gzip, chunked\r\n",
                  b"3\r\none\r\n0\r\n\r\n"), "read close", None),
        (response(OK, CHUNKED + b"Transfer-Encoding: gzip, chunked\r\n",
                  b"3\r\none\r\n0\r\n\r\n"), "read close", None),
        (response(body=b"onetwo"), "read open", b"one"),
        (response() + response(body=b"two"), "read open", b"one"),
    ],
)  # fmt: skip
async def test_broken_response(nursery, sent, end, body, interim, upload_bytes):
    """Guards against a part of a response that a client gets as a complete one."""
    if "pause" in end and not upload_bytes:
        body = b"one"  # An ordinary end: all of the request was sent before.
    received = await exchange_with(nursery, interim + sent, end, upload_bytes)
    assert received == (body and (200, body))


@pytest.mark.parametrize(
    "sent, body",
    [
        (response(OK, b""), None),
        (response(b"HTTP/1.1 204 None", b""), b""),
        (response(b"HTTP/1.1 304 None"), b""),
    ],
    ids=["head", "204", "304"],
)
async def test_body_where_none_is_allowed(nursery, sent, body):
    """Guards against a body that is read as the response to the next request."""
    received = await exchange_with(nursery, sent + b"one", "reset", method=b"HEAD")
    assert (received and received[1]) == body


@pytest.mark.parametrize("end", ["shutdown", "reset"])
@pytest.mark.parametrize("whole_parts", [0, 1, len(BODY) // BODY_PART_BYTES])
async def test_link_that_ends_in_a_reply(nursery, whole_parts, end):
    """Guards against the first parts of a reply that count as all of it."""

    async def handle(request, hold):
        return ForwardReply(0, ANSWERED, 200, [], BODY)

    peers, sent_parts = Peers(handle), 0
    await peers.start(nursery)
    (stream,) = peers.streams
    send = stream.send

    def send_and_end(frame):
        nonlocal sent_parts
        if isinstance(frame, BodyPart):
            sent_parts += 1
            if sent_parts > whole_parts:
                stream._socket.send(encode_frame(frame)[:1000])
                if end == "reset":
                    stream._socket.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, RESET
                    )
                    stream.close()
                else:
                    stream._socket.shutdown(socket.SHUT_RDWR)
        return send(frame)

    stream.send = send_and_end
    reply = await peers.forward(b"")
    assert sent_parts > whole_parts
    assert (reply.outcome, reply.body) == (UNKNOWN, b"")
    await peers.wait_empty()


class ScriptedTarget(TargetStandin):
    """Target that answers each request with ``sent``, and ends the connection."""

    sent, end, requests = response(), "close", 0

    async def _serve(self, address):
        async def serve(stream):
            head = await stream.receive_some()
            self.requests += 1
            request_id = re.search(rb"request-id: (\S+)", head, re.IGNORECASE)[1]
            await stream.send_all(self.sent.replace(b"q1", request_id))
            await trio.sleep(0.02)
            await end_connection(stream, self.end)

        await trio.serve_tcp(serve, address[1], host=address[0])


@pytest.mark.parametrize("retryable", [False, True], ids=["once", "repeated"])
@pytest.mark.parametrize(
    "sent, end, upload_bytes",
    [
        (response(b"HTTP/1.1 600 Odd"), "close", 0),
        (INTERIM + response(framing=b""), "shutdown reset", 900_000),
        (response(OK, b"Content-Length: 900000\r\n", bytes(500_000)), "close", 0),
        (response(OK, CHUNKED, b"7a120\r\n" + bytes(500_000)), "close", 0),
    ],
    ids=["status", "early", "length", "chunked"],
)
async def test_broken_response_through_two_nodes(
    monkeypatch, sent, end, upload_bytes, retryable
):
    """Guards against the same behind a link between nodes, and a missing repeat."""
    if retryable:
        rule = CONFIGURATION["listeners"][0]["ruleSet"][1]
        monkeypatch.setitem(rule, "routeType", "idempotent")
    async with trio.open_nursery() as nursery:
        deployment, statuses = Deployment(nursery), []
        deployment.publish(CONFIGURATION)
        broken = deployment.add("vm-0", "orders", target_class=ScriptedTarget)
        entry = deployment.add("vm-1", "jobs")
        others = [deployment.add("vm-2", "orders")] if retryable else []
        for vm in [broken, entry, *others]:
            vm.start_node()
        target = broken.target

        async def serves():
            status = (await entry.send_request("/orders/1")).status
            return (
                status == 200
                and target.requests
                and len(deployment.runs) >= len(others)
            )

        await deployment.wait_until(serves)
        if retryable:
            # No request is repeated before the node has chosen a subset of the VMs.
            await trio.sleep(2 * MAX_SETTLE_S)
        target.requests = 0
        target.sent, target.end = sent, end

        async def send():
            answer = await entry.send_request(
                "/orders/1", method=b"POST", body=bytes(upload_bytes)
            )
            statuses.append((answer.status, len(answer.body) < 1000))

        with trio.fail_after(10):
            # Several at the same time, so that both targets are chosen.
            while target.requests < 1:
                async with trio.open_nursery() as requests:
                    for _ in range(4):
                        requests.start_soon(send)
                await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
    assert set(statuses) == {(200 if retryable else 502, True)}
