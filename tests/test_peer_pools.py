"""Independence of the connections to different peers."""

import trio
import trio.testing
from result import Ok

from jujuberudder_standins import serve_app
from jujuberudder_targets import ConnectionPool, TargetRequest, exchange


async def empty_body():
    """Yield nothing."""
    return
    yield


def make_request(address):
    """Return a GET without a body."""
    return TargetRequest(
        address,
        b"GET",
        b"/",
        empty_body(),
        lambda: Ok([(b"host", b"peer")]),
        True,
        False,
    )


async def test_hanging_peer_does_not_block_other_peers():
    """Guards against a shared pool that one hanging peer can exhaust."""

    async def hang(scope, receive, send):
        if scope["type"] != "http":
            raise ValueError("only HTTP is served")
        await trio.sleep_forever()

    async def respond(scope, receive, send):
        if scope["type"] != "http":
            raise ValueError("only HTTP is served")
        await send({"type": "http.response.start", "status": 204, "headers": []})
        await send({"type": "http.response.body", "body": b""})

    async with trio.open_nursery() as nursery:
        hanging_address = await nursery.start(serve_app, hang)
        responding_address = await nursery.start(serve_app, respond)
        pool = ConnectionPool()

        async def get(address):
            async with exchange(pool, make_request(address), "forward") as response:
                return response.ok_value.status

        for _ in range(600):
            nursery.start_soon(get, hanging_address)
        await trio.testing.wait_all_tasks_blocked()
        with trio.fail_after(30):
            assert await get(responding_address) == 204
        nursery.cancel_scope.cancel()
