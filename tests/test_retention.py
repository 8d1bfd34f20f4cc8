"""Reader of a stream whose unread records retention has removed."""

import pytest
import trio

from jujuberudder_core import encode_record, make_logger, records
from jujuberudder_logservice import Follower, LogClient
from jujuberudder_standins import LogStandin, serve_app


@pytest.mark.parametrize("retention, complete", [(None, True), (10, True), (9, False)])
async def test_reader_passes_on_no_records_after_a_gap(retention, complete):
    """Guards against two owners of a key, caused by applying only the later records."""
    log = LogStandin(retention)
    for number in range(10):
        log.put("s", encode_record(records.Keep(f"r{number}", "a", number)))
    handled = []
    async with trio.open_nursery() as nursery:
        client = LogClient(await nursery.start(serve_app, log.app))

        def handle(position, record):
            handled.append(position)

        follower = Follower(client, "s", handle, make_logger())
        assert await follower.catch_up() is complete
        assert len(handled) == (10 if complete else 0)
        await client.aclose()
        nursery.cancel_scope.cancel()
