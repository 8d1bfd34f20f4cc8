"""Connections to one peer are limited apart from those to others."""

import httpcore
import trio
import trio.testing

from jujuberudder_standins import serve_app
from jujuberudder_targets import PeerPools


async def test_a_peer_that_hangs_takes_no_connections_from_others():
    """Guards against one pool for all peers, which one slow peer can fill."""

    async def hangs(scope, receive, send):
        await trio.sleep_forever()

    async def answers(scope, receive, send):
        await send({"type": "http.response.start", "status": 204, "headers": []})
        await send({"type": "http.response.body", "body": b""})

    async with trio.open_nursery() as nursery:
        hanging = await nursery.start(serve_app, hangs)
        answering = await nursery.start(serve_app, answers)
        pools = PeerPools(1)

        async def get(address):
            url = f"http://{address}/"
            return await pools.handle_async_request(httpcore.Request("GET", url))

        for _ in range(3):
            nursery.start_soon(get, hanging)
        await trio.testing.wait_all_tasks_blocked()
        with trio.fail_after(30):
            assert (await get(answering)).status == 204
        nursery.cancel_scope.cancel()
