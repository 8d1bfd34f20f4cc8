"""The adapter's calls that grant and release keys at a target."""

import json
from functools import partial

import pytest
import trio
import trio.testing
from result import Err, Ok

from jujuberudder_emulator import free_addresses
from jujuberudder_platform import make_grant_calls
from jujuberudder_router import KeyRange, Limits, Server, find_header, parse_address

RANGE = KeyRange(4096, 8191, 12, "vm-1", "i-1@1", "5c0e")


async def call_target(answer, call):
    """Return the result of ``call(calls)`` at a target, and the messages received."""
    (address,) = free_addresses(1)
    messages = []

    async def handle(message):
        messages.append(message)
        return await answer()

    server = Server(handle, Limits, lambda *args, **fields: None)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, parse_address(address))
        await trio.testing.wait_all_tasks_blocked()
        result = await call(make_grant_calls(address))
        nursery.cancel_scope.cancel()
    return result, messages


def answer_with(status, headers=()):
    """Return a handler that always gives one response."""

    async def answer():
        return status, list(headers), b""

    return answer


async def grant(calls):
    return await calls.grant("i-1", RANGE, trio.current_time() + 2.4)


async def release(calls):
    return await calls.release("i-1", 4096, 8191, 12)


async def test_fields_of_a_grant():
    """Guards against a field of a grant that a target reads as another.

    Its duration ends at the given time, however long the connection took.
    """
    result, (message,) = await call_target(answer_with(200), grant)
    assert result == Ok(True)
    assert (message.method, message.target) == (b"POST", b"/grant")
    body = json.loads(message.body)
    assert 2.0 < body.pop("holdS") <= 2.4
    assert body == {
        "from": 4096, "targetVersion": 8191, "fence": 12, "handover": "5c0e",
    }  # fmt: skip
    assert find_header(message.headers, b"jujuberudder-target-instance") == b"i-1"


async def test_fields_of_a_release():
    """Guards against a lost handover token."""
    answer = answer_with(200, [(b"Jujuberudder-Handover", b"77aa")])
    result, (message,) = await call_target(answer, release)
    assert result == Ok("77aa")
    assert message.target == b"/release"
    assert json.loads(message.body) == {
        "from": 4096, "targetVersion": 8191, "fence": 12,
    }  # fmt: skip


@pytest.mark.parametrize(
    "call, status, expected",
    [
        (grant, 409, Ok(False)),
        (grant, 400, True),
        (grant, 500, True),
        (grant, 421, False),
        (release, 500, True),
        (release, 421, False),
    ],
)
async def test_other_responses(call, status, expected):
    """Guards against a call that counts as done, or as not done, without proof.

    Where an error is expected, its value is whether the call may be applied later.
    """
    result, _ = await call_target(answer_with(status), call)
    if isinstance(expected, Ok):
        assert result == expected
    else:
        assert isinstance(result, Err)
        assert result.err_value.may_have_run == expected


async def test_grant_that_would_have_ended():
    """Guards against a grant whose duration begins after a wait for a connection."""

    async def call(calls):
        return await calls.grant("i-1", RANGE, trio.current_time() + 0.01)

    result, messages = await call_target(answer_with(200), call)
    assert messages == []
    assert not result.err_value.may_have_run


async def test_closed_connection_is_not_replaced_at_once():
    """Guards against a grant to the next process that listens at the address."""
    (address,) = free_addresses(1)

    async def serve_once(stream):
        await stream.receive_some()
        await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    host, port = parse_address(address)
    async with trio.open_nursery() as nursery:
        await nursery.start(partial(trio.serve_tcp, serve_once, port, host=host))
        calls = make_grant_calls(address)
        assert await grant(calls) == Ok(True)
        await trio.sleep(0.05)
        lost = await grant(calls)
        assert not lost.err_value.may_have_run
        assert await grant(calls) == Ok(True)
        nursery.cancel_scope.cancel()
