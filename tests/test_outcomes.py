"""Outcomes of requests to targets that misbehave, at the owner and over one hop."""

from typing import NamedTuple

import pytest
import trio
from raw_http import OK, header, start_raw, talk

DEADLINE_MS = 400


def sends(*parts, keep=True):
    """Return a script that sends parts and keeps or closes the connection."""

    async def script(stream, head):
        for part in parts:
            await stream.send_all(part)
        return keep

    return script


async def never(stream, head):
    """Read nothing more and never answer."""
    await trio.sleep_forever()


async def reset(stream, head):
    """Reset the connection after the head was read."""
    stream.setsockopt(1, 13, b"\x01\0\0\0\0\0\0\0")  # SO_LINGER on, 0 s
    return False


async def refuses_fence(stream, head):
    """Say that the fence is stale."""
    await stream.send_all(
        b"HTTP/1.1 409 Conflict\r\nJujuberudder-Outcome: not-run\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    return True


async def echoes(stream, head):
    """Answer with the request's own id."""
    given = header(head, "jujuberudder-request-id").encode()
    text = (
        b"HTTP/1.1 200 OK\r\nJujuberudder-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok"
    )
    await stream.send_all(text % given)
    return True


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SIZED = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"
OTHER_ID = (
    b"HTTP/1.1 200 OK\r\nJujuberudder-Request-Id: x\r\nContent-Length: 2\r\n\r\nok"
)
SHEDS = b"HTTP/1.1 503 Busy\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n"


class Case(NamedTuple):
    """What a target does, and what the client must be told of it.

    Parameters
    ----------
    tries : str
        ``"once"``, or ``"more"`` where the request must be repeated.
    """

    script: object
    method: str
    status: int
    outcome: str
    whole: bool = True
    tries: str = "once"


CASES = {
    "completed": Case(sends(OK), "POST", 200, "completed"),
    "echoed id": Case(echoes, "POST", 200, "completed"),
    "closed before an answer": Case(sends(keep=False), "POST", 502, "unknown"),
    "closed before an answer, idempotent": Case(
        sends(keep=False), "GET", 502, "unknown", tries="more"
    ),
    "reset before an answer": Case(reset, "POST", 502, "unknown"),
    "closed within the head": Case(
        sends(b"HTTP/1.1 200 OK\r\nConte", keep=False), "POST", 502, "unknown"
    ),
    "not HTTP": Case(sends(b"SSH-2.0-x\r\n\r\n", keep=False), "POST", 502, "unknown"),
    "no answer by the deadline": Case(never, "POST", 504, "unknown"),
    "no answer by the deadline, idempotent": Case(never, "GET", 504, "unknown"),
    "cut short, sized": Case(
        sends(SIZED, b"half", keep=False), "POST", 200, "completed", whole=False
    ),
    "cut short, chunked": Case(
        sends(CHUNKED, b"4\r\nhalf\r\n", keep=False),
        "POST",
        200,
        "completed",
        whole=False,
    ),
    "cut short, idempotent": Case(
        sends(SIZED, b"half", keep=False), "GET", 200, "completed", whole=False
    ),
    "stalls within the body": Case(
        lambda stream, head: _then_never(stream, SIZED + b"half"),
        "POST",
        200,
        "completed",
        whole=False,
    ),
    "chunk size broken": Case(
        sends(CHUNKED, b"zz\r\nhalf\r\n"), "POST", 200, "completed", whole=False
    ),
    "no length": Case(
        sends(b"HTTP/1.1 200 OK\r\n\r\nall or half", keep=False), "POST", 502, "unknown"
    ),
    "other request id": Case(sends(OTHER_ID), "POST", 502, "unknown"),
    "empty": Case(
        sends(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), "POST", 200, "completed"
    ),
    "empty, chunked": Case(sends(CHUNKED, b"0\r\n\r\n"), "POST", 200, "completed"),
    "204": Case(sends(b"HTTP/1.1 204 No Content\r\n\r\n"), "POST", 204, "completed"),
    "304": Case(sends(b"HTTP/1.1 304 Not Modified\r\n\r\n"), "GET", 304, "completed"),
    "HEAD": Case(sends(SIZED), "HEAD", 200, "completed"),
    "interim answers": Case(
        sends(b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 Hints\r\n\r\n", OK),
        "POST",
        200,
        "completed",
    ),
    "target's own error": Case(
        sends(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"),
        "POST",
        500,
        "completed",
    ),
    "503 without a time": Case(
        sends(b"HTTP/1.1 503 Oops\r\nContent-Length: 0\r\n\r\n"),
        "POST",
        503,
        "completed",
    ),
    "shed": Case(sends(SHEDS), "POST", 503, "not-run"),
    "stale fence": Case(refuses_fence, "POST", 503, "not-run", tries="more"),
}


async def _ask(address, case):
    given = [
        ("Jujuberudder-Request-Id", "asked-1"),
        ("Jujuberudder-Deadline", str(DEADLINE_MS)),
    ]
    body = b"x" if case.method == "POST" else b""
    with trio.fail_after(5):
        return await talk(address, case.method, "/jobs/1", given, body)


async def _then_never(stream, data):
    await stream.send_all(data)
    await trio.sleep_forever()


@pytest.mark.parametrize("name", CASES)
async def test_outcome(name):
    """Guards against untrue outcomes, doubled runs, broken answers ending cleanly."""
    case = CASES[name]
    ready = trio.Event()

    async def script(stream, head):
        if not ready.is_set():
            return await sends(OK)(stream, head)
        await stream.receive_some(100) if case.method == "POST" else None
        return await case.script(stream, head)

    async with trio.open_nursery() as nursery:
        target, addresses, _ = await start_raw(nursery, script)
        ready.set()
        for address in addresses:
            target.heads.clear()
            reply = await _ask(address, case)
            assert (reply.status, reply.outcome) == (case.status, case.outcome)
            assert reply.whole == case.whole
            assert reply.headers["jujuberudder-request-id"] == "asked-1"
            if name == "shed":
                assert reply.headers["retry-after"] == "7"
            assert (len(target.heads) > 1) == (case.tries == "more")
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("over_hop", [0, 1], ids=["owner", "forwarded"])
@pytest.mark.parametrize(
    ("first", "reused"),
    [(OK, True), (OTHER_ID, False), (OK + b"HTTP/1.1 200 OK\r\n", False)],
    ids=["clean", "other id", "more than the answer"],
)
async def test_connections_in_doubt_are_not_reused(first, reused, over_hop):
    """Guards against an answer that is taken for that of a later request."""
    async with trio.open_nursery() as nursery:
        answers = [OK, OK]
        script = lambda stream, head: sends(answers.pop(0) if answers else OK)(
            stream, head
        )
        target, addresses, _ = await start_raw(nursery, script)
        answers[:] = [OK, first]
        for _ in range(2):
            await talk(addresses[over_hop], "POST", "/jobs/1")
        before = target.connections
        reply = await talk(addresses[over_hop], "POST", "/jobs/1")
        assert (reply.status, reply.body) == (200, b"ok")
        assert (target.connections == before) == reused
        nursery.cancel_scope.cancel()


async def test_closed_idle_connection_is_noticed():
    """Guards against requests that fail on a connection the target closed."""
    close = trio.Event()

    async def script(stream, head):
        await stream.send_all(OK)
        await close.wait()
        return False

    async with trio.open_nursery() as nursery:
        close.set()
        target, addresses, _ = await start_raw(nursery, script)
        for _ in range(3):
            reply = await talk(addresses[0], "POST", "/jobs/1")
            assert (reply.status, reply.outcome) == (200, "completed")
            await trio.sleep(0.02)
        assert len(target.heads) == 3
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("over_hop", [0, 1], ids=["owner", "forwarded"])
@pytest.mark.parametrize("keeps_reading", [False, True])
async def test_answer_before_the_whole_body(over_hop, keeps_reading):
    """Guards against a deadlock when a target answers and stops reading."""
    early = b"HTTP/1.1 403 No\r\nContent-Length: 2\r\n\r\nno"

    async def script(stream, head):
        if head.startswith(b"GET"):
            return await sends(OK)(stream, head)
        await stream.send_all(early)
        while keeps_reading and await stream.receive_some(65536):
            pass
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        _, addresses, _ = await start_raw(nursery, script)
        with trio.fail_after(5):
            reply = await talk(
                addresses[over_hop], "POST", "/jobs/1", body=b"x" * 2_000_000
            )
        assert (reply.status, reply.outcome) == (403, "completed")
        assert (reply.body, reply.whole) == (b"no", True)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("method", "status", "outcome"),
    [("POST", 502, "unknown"), ("GET", 200, "completed")],
)
async def test_owner_lost_between_two_hops(method, status, outcome):
    """Guards against a second run, or a lost lookup, when the owner's node dies."""
    reached = trio.Event()

    async def script(stream, head):
        if b"/jobs/1 " in head and len(target.heads) == 1:
            reached.set()
            await trio.sleep_forever()
        return await sends(OK)(stream, head)

    async with trio.open_nursery() as nursery:
        target, addresses, deployment = await start_raw(nursery, script)
        await deployment.start_member("jobs", "dar-c")
        replies = []

        async def ask():
            given = [("Jujuberudder-Deadline", "8000")]
            replies.append(await talk(addresses[1], method, "/jobs/1", given))

        async with trio.open_nursery() as asking:
            asking.start_soon(ask)
            with trio.move_on_after(2):
                await reached.wait()
            deployment.kill("jobs-dar-a")
        reply = replies[0]
        if reached.is_set():
            assert (reply.status, reply.outcome) == (status, outcome)
        assert len(target.heads) <= 1
        nursery.cancel_scope.cancel()


async def test_deadline_is_reduced_at_each_hop():
    """Guards against a sender that gives up before the owner can answer."""
    async with trio.open_nursery() as nursery:
        target, addresses, _ = await start_raw(nursery, sends(OK))
        given = [("Jujuberudder-Deadline", "500")]
        for address in addresses:
            await talk(address, "POST", "/jobs/1", given)
        direct, forwarded = [
            int(header(head, "jujuberudder-deadline")) for head in target.heads
        ]
        assert direct <= 500
        assert forwarded <= 500 - 30
        nursery.cancel_scope.cancel()
