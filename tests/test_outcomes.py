"""Outcomes of requests to misbehaving targets, at the owner and forwarded once."""

from typing import NamedTuple

import pytest
import trio
from raw_http import OK, get_header, send_request, start_scripted

DEADLINE_MS = 400


def respond_with(*parts, keep=True):
    """Return a script that sends ``parts`` and keeps or closes the connection."""

    async def script(stream, head):
        for part in parts:
            await stream.send_all(part)
        return keep

    return script


async def never_respond(stream, head):
    """Read nothing more and never respond."""
    await trio.sleep_forever()


async def reset_connection(stream, head):
    """Reset the connection after reading the head."""
    stream.setsockopt(1, 13, b"\x01\0\0\0\0\0\0\0")  # SO_LINGER on, 0 s
    return False


async def report_stale_fence(stream, head):
    """Refuse the request because of a stale fence."""
    await stream.send_all(
        b"HTTP/1.1 409 Conflict\r\nJujuberudder-Outcome: not-run\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    return True


async def echo_request_id(stream, head):
    """Respond with the id of the request."""
    request_id = get_header(head, "jujuberudder-request-id").encode()
    text = (
        b"HTTP/1.1 200 OK\r\nJujuberudder-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok"
    )
    await stream.send_all(text % request_id)
    return True


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SIZED_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"
WRONG_ID_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nJujuberudder-Request-Id: x\r\nContent-Length: 2\r\n\r\nok"
)
SHED_RESPONSE = b"HTTP/1.1 503 Busy\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n"


class Case(NamedTuple):
    """Behaviour of a target and the expected response.

    Parameters
    ----------
    script : async callable
    method : str
    status : int
    outcome : str
    complete : bool
    attempts : str
        ``"once"``, or ``"more"`` if the request must be retried.
    """

    script: object
    method: str
    status: int
    outcome: str
    complete: bool = True
    attempts: str = "once"


CASES = {
    "completed": Case(respond_with(OK), "POST", 200, "completed"),
    "echoed id": Case(echo_request_id, "POST", 200, "completed"),
    "closed before an answer": Case(respond_with(keep=False), "POST", 502, "unknown"),
    "closed before an answer, idempotent": Case(
        respond_with(keep=False), "GET", 502, "unknown", attempts="more"
    ),
    "reset before an answer": Case(reset_connection, "POST", 502, "unknown"),
    "closed within the head": Case(
        respond_with(b"HTTP/1.1 200 OK\r\nConte", keep=False), "POST", 502, "unknown"
    ),
    "not HTTP": Case(
        respond_with(b"SSH-2.0-x\r\n\r\n", keep=False), "POST", 502, "unknown"
    ),
    "no answer by the deadline": Case(never_respond, "POST", 504, "unknown"),
    "no answer by the deadline, idempotent": Case(never_respond, "GET", 504, "unknown"),
    "cut short, sized": Case(
        respond_with(SIZED_HEAD, b"half", keep=False),
        "POST",
        200,
        "completed",
        complete=False,
    ),
    "cut short, chunked": Case(
        respond_with(CHUNKED_HEAD, b"4\r\nhalf\r\n", keep=False),
        "POST",
        200,
        "completed",
        complete=False,
    ),
    "cut short, idempotent": Case(
        respond_with(SIZED_HEAD, b"half", keep=False),
        "GET",
        200,
        "completed",
        complete=False,
    ),
    "stalls within the body": Case(
        lambda stream, head: _send_then_hang(stream, SIZED_HEAD + b"half"),
        "POST",
        200,
        "completed",
        complete=False,
    ),
    "chunk size broken": Case(
        respond_with(CHUNKED_HEAD, b"zz\r\nhalf\r\n"),
        "POST",
        200,
        "completed",
        complete=False,
    ),
    "no length": Case(
        respond_with(b"HTTP/1.1 200 OK\r\n\r\nall or half", keep=False),
        "POST",
        502,
        "unknown",
    ),
    "other request id": Case(respond_with(WRONG_ID_RESPONSE), "POST", 502, "unknown"),
    "empty": Case(
        respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
        "POST",
        200,
        "completed",
    ),
    "empty, chunked": Case(
        respond_with(CHUNKED_HEAD, b"0\r\n\r\n"), "POST", 200, "completed"
    ),
    "204": Case(
        respond_with(b"HTTP/1.1 204 No Content\r\n\r\n"), "POST", 204, "completed"
    ),
    "304": Case(
        respond_with(b"HTTP/1.1 304 Not Modified\r\n\r\n"), "GET", 304, "completed"
    ),
    "HEAD": Case(respond_with(SIZED_HEAD), "HEAD", 200, "completed"),
    "interim answers": Case(
        respond_with(
            b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 Hints\r\n\r\n", OK
        ),
        "POST",
        200,
        "completed",
    ),
    "target's own error": Case(
        respond_with(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"),
        "POST",
        500,
        "completed",
    ),
    "503 without a time": Case(
        respond_with(b"HTTP/1.1 503 Oops\r\nContent-Length: 0\r\n\r\n"),
        "POST",
        503,
        "completed",
    ),
    "shed": Case(respond_with(SHED_RESPONSE), "POST", 503, "not-run"),
    "stale fence": Case(report_stale_fence, "POST", 503, "not-run", attempts="more"),
}


async def _send_case(address, case):
    request_headers = [
        ("Jujuberudder-Request-Id", "asked-1"),
        ("Jujuberudder-Deadline", str(DEADLINE_MS)),
    ]
    body = b"x" if case.method == "POST" else b""
    with trio.fail_after(5):
        return await send_request(
            address, case.method, "/jobs/1", request_headers, body
        )


async def _send_then_hang(stream, data):
    await stream.send_all(data)
    await trio.sleep_forever()


@pytest.mark.parametrize("name", CASES)
async def test_outcome_of_a_misbehaving_target(name):
    """Guards against wrong outcomes, double runs and undetected truncation."""
    case = CASES[name]
    ready = trio.Event()

    async def script(stream, head):
        if not ready.is_set():
            return await respond_with(OK)(stream, head)
        await stream.receive_some(100) if case.method == "POST" else None
        return await case.script(stream, head)

    async with trio.open_nursery() as nursery:
        target, addresses, _ = await start_scripted(nursery, script)
        ready.set()
        for address in addresses:
            target.heads.clear()
            response = await _send_case(address, case)
            assert (response.status, response.outcome) == (case.status, case.outcome)
            assert response.complete == case.complete
            assert response.headers["jujuberudder-request-id"] == "asked-1"
            if name == "shed":
                assert response.headers["retry-after"] == "7"
            assert (len(target.heads) > 1) == (case.attempts == "more")
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("forwarded", [0, 1], ids=["owner", "forwarded"])
@pytest.mark.parametrize(
    ("first", "reused"),
    [(OK, True), (WRONG_ID_RESPONSE, False), (OK + b"HTTP/1.1 200 OK\r\n", False)],
    ids=["clean", "other id", "more than the answer"],
)
async def test_uncertain_connections_are_not_reused(first, reused, forwarded):
    """Guards against parsing leftover data as the response to a later request."""
    async with trio.open_nursery() as nursery:
        scripted_responses = [OK, OK]
        script = lambda stream, head: respond_with(
            scripted_responses.pop(0) if scripted_responses else OK
        )(stream, head)
        target, addresses, _ = await start_scripted(nursery, script)
        scripted_responses[:] = [OK, first]
        for _ in range(2):
            await send_request(addresses[forwarded], "POST", "/jobs/1")
        before = target.connections
        response = await send_request(addresses[forwarded], "POST", "/jobs/1")
        assert (response.status, response.body) == (200, b"ok")
        assert (target.connections == before) == reused
        nursery.cancel_scope.cancel()


async def test_closed_idle_connection_is_detected():
    """Guards against requests failing on a connection that the target has closed."""
    close = trio.Event()

    async def script(stream, head):
        await stream.send_all(OK)
        await close.wait()
        return False

    async with trio.open_nursery() as nursery:
        close.set()
        target, addresses, _ = await start_scripted(nursery, script)
        for _ in range(3):
            response = await send_request(addresses[0], "POST", "/jobs/1")
            assert (response.status, response.outcome) == (200, "completed")
            await trio.sleep(0.02)
        assert len(target.heads) == 3
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("forwarded", [0, 1], ids=["owner", "forwarded"])
@pytest.mark.parametrize("keeps_reading", [False, True])
async def test_response_before_the_end_of_the_body(forwarded, keeps_reading):
    """Guards against a deadlock when a target responds and stops reading."""
    early_response = b"HTTP/1.1 403 No\r\nContent-Length: 2\r\n\r\nno"

    async def script(stream, head):
        if head.startswith(b"GET"):
            return await respond_with(OK)(stream, head)
        await stream.send_all(early_response)
        while keeps_reading and await stream.receive_some(65536):
            pass
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        _, addresses, _ = await start_scripted(nursery, script)
        with trio.fail_after(5):
            response = await send_request(
                addresses[forwarded], "POST", "/jobs/1", body=b"x" * 2_000_000
            )
        assert (response.status, response.outcome) == (403, "completed")
        assert (response.body, response.complete) == (b"no", True)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("method", "status", "outcome"),
    [("POST", 502, "unknown"), ("GET", 200, "completed")],
)
async def test_owner_fails_during_a_forwarded_request(method, status, outcome):
    """Guards against a second run or a missing retry when the owner of a key fails."""
    reached = trio.Event()

    async def script(stream, head):
        if b"/jobs/1 " in head and len(target.heads) == 1:
            reached.set()
            await trio.sleep_forever()
        return await respond_with(OK)(stream, head)

    async with trio.open_nursery() as nursery:
        target, addresses, deployment = await start_scripted(nursery, script)
        await deployment.start_member("jobs", "dar-c")
        responses = []

        async def send():
            request_headers = [("Jujuberudder-Deadline", "8000")]
            responses.append(
                await send_request(addresses[1], method, "/jobs/1", request_headers)
            )

        async with trio.open_nursery() as requests:
            requests.start_soon(send)
            with trio.move_on_after(2):
                await reached.wait()
            deployment.kill("jobs-dar-a")
        response = responses[0]
        if reached.is_set():
            assert (response.status, response.outcome) == (status, outcome)
        assert len(target.heads) <= 1
        nursery.cancel_scope.cancel()


async def test_deadline_is_reduced_at_each_hop():
    """Guards against a sender timing out before the owner can respond."""
    async with trio.open_nursery() as nursery:
        target, addresses, _ = await start_scripted(nursery, respond_with(OK))
        request_headers = [("Jujuberudder-Deadline", "500")]
        for address in addresses:
            await send_request(address, "POST", "/jobs/1", request_headers)
        direct, forwarded = [
            int(get_header(head, "jujuberudder-deadline")) for head in target.heads
        ]
        assert direct <= 500
        assert forwarded <= 500 - 30
        nursery.cancel_scope.cancel()
