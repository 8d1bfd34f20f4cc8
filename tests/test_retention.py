"""A reader that missed records hands over nothing."""

import pytest
import trio

from jujuberudder_core import encode_record, make_logger, records
from jujuberudder_logservice import Follower, LogClient
from jujuberudder_standins import LogStandin, serve_app


@pytest.mark.parametrize("kept, whole", [(None, True), (10, True), (9, False)])
async def test_reader_past_retention(kept, whole):
    """Guards against a fold of the later records only, which gave two owners."""
    log = LogStandin(kept)
    for number in range(10):
        log.put("s", encode_record(records.Keep(f"r{number}", "a", number)))
    handled = []
    async with trio.open_nursery() as nursery:
        client = LogClient(await nursery.start(serve_app, log.app))

        def handle(position, record):
            handled.append(position)

        follower = Follower(client, "s", handle, make_logger())
        assert await follower.catch_up() is whole
        assert len(handled) == (10 if whole else 0)
        await client.aclose()
        nursery.cancel_scope.cancel()
