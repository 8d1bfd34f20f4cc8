"""Connections to one peer do not depend on those to others."""

import trio
import trio.testing
from result import Ok

from jujuberudder_standins import serve_app
from jujuberudder_targets import ConnectionPool, TargetRequest, exchange


async def no_body():
    """Yield nothing."""
    return
    yield


def outgoing(address):
    """Return a GET without a body."""
    return TargetRequest(
        address, b"GET", b"/", no_body(), lambda: Ok([(b"host", b"peer")]), True, False
    )


async def test_a_peer_that_hangs_takes_no_connections_from_others():
    """Guards against one pool for all peers, which one slow peer can fill."""

    async def hangs(scope, receive, send):
        if scope["type"] != "http":
            raise ValueError("only HTTP is served")
        await trio.sleep_forever()

    async def answers(scope, receive, send):
        if scope["type"] != "http":
            raise ValueError("only HTTP is served")
        await send({"type": "http.response.start", "status": 204, "headers": []})
        await send({"type": "http.response.body", "body": b""})

    async with trio.open_nursery() as nursery:
        hanging = await nursery.start(serve_app, hangs)
        answering = await nursery.start(serve_app, answers)
        pool = ConnectionPool()

        async def get(address):
            async with exchange(pool, outgoing(address), "forward") as answer:
                return answer.ok_value.status

        for _ in range(600):
            nursery.start_soon(get, hanging)
        await trio.testing.wait_all_tasks_blocked()
        with trio.fail_after(30):
            assert await get(answering) == 204
        nursery.cancel_scope.cancel()
