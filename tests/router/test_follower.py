"""Follower of a topic: lost responses, nodes that have read further, and pauses."""

import pytest
import trio
from result import Ok

from jujuberudder_router import OPERATOR_TOPIC, Page, Record, Store
from jujuberudder_router._follower import (
    BEHIND_READ_LIMIT_S,
    MAX_CANCELLED_READS,
    Follower,
)

WAIT_S = 4.0


def make_follower(records, lost_until=0.0, batch_delay_s=None):
    """Return a follower of ``records`` (time, value), applied records and read times.

    Reads that are sent before ``lost_until`` get no response.
    """
    applied, reads = [], []

    def records_at(now):
        return [
            Record(i, "k", value) for i, (at, value) in enumerate(records) if at <= now
        ]

    async def read(topic, start, wait_s, on_data=None):
        sent = trio.current_time()
        reads.append(sent)
        if sent < lost_until:
            await trio.sleep(wait_s + 0.5)
            return Ok(Page([], start))
        while trio.current_time() < sent + wait_s:
            available = records_at(trio.current_time())
            if len(available) > start:
                return Ok(Page(available[start:], len(available)))
            await trio.sleep(0.01)
        return Ok(Page([], start))

    async def newest(topic, on_data=None):
        available = records_at(trio.current_time())
        return Ok(Page(available[-1:], len(available)))

    def apply(record):
        applied.append((trio.current_time(), record.value))

    follower = Follower(
        Store(None, read, newest), OPERATOR_TOPIC, lambda: WAIT_S, apply,
        lambda *a, **k: None, batch_delay_s,
    )  # fmt: skip
    return follower, applied, reads


@pytest.mark.parametrize(
    "observed_ends, max_delay_s",
    [([], WAIT_S + 0.6), ([(1.2, 1)], 1.0), ([(0.5, 0), (1.2, 1)], 1.0)],
    ids=["no other node", "end observed", "old end observed first"],
)
async def test_lost_response(observed_ends, max_delay_s, autojump_clock, nursery):
    """Guards against a configuration that arrives only with the next poll.

    The response with a record written at 1 s is lost, while other nodes have read it.
    """
    start = trio.current_time()
    follower, applied, _ = make_follower([(start + 1.0, b"v")], lost_until=start + 0.5)
    nursery.start_soon(follower.run)
    for at, end in observed_ends:
        await trio.sleep_until(start + at)
        follower.observe_end(end)
    await trio.sleep_until(start + 9.0)
    assert [value for _, value in applied] == [b"v"]
    assert applied[0][0] - start - 1.0 <= max_delay_s


async def test_wrong_end_causes_few_reads(autojump_clock, nursery):
    """Guards against continuous reads after an observed end that does not exist."""
    follower, _, reads = make_follower([])
    nursery.start_soon(follower.run)
    await trio.sleep(0.1)
    follower.observe_end(99)
    await trio.sleep(10 * WAIT_S)
    assert len(reads) <= MAX_CANCELLED_READS + 12
    assert reads[1] - reads[0] <= 0.1 + BEHIND_READ_LIMIT_S + 0.01


async def test_batch_delay_limits_reads(autojump_clock, nursery):
    """Guards against one call per record when many records follow each other."""
    start = trio.current_time()
    records = [(start + 0.1 * n, b"%d" % n) for n in range(1, 31)]
    follower, applied, reads = make_follower(records, batch_delay_s=lambda: 0.5)
    nursery.start_soon(follower.run)
    await trio.sleep(4.0)
    assert [value for _, value in applied] == [value for _, value in records]
    assert len(reads) <= 9


async def test_read_now_ends_the_batch_delay(autojump_clock, nursery):
    """Guards against moved keys that wait for the batch delay of the receiving VM."""
    start = trio.current_time()
    records = [(start + 1.0, b"1"), (start + 1.2, b"2")]
    follower, applied, _ = make_follower(records, batch_delay_s=lambda: 1.5)
    nursery.start_soon(follower.run)
    await trio.sleep(1.3)
    follower.read_now()
    await trio.sleep(0.1)
    assert [value for _, value in applied] == [b"1", b"2"]


async def test_slow_reads_complete(autojump_clock, nursery):
    """Guards against reads that are all cancelled when the store or node is slow.

    A node that lacked processor time stayed 80 records behind for seconds.
    """
    applied = []

    async def read(topic, start, wait_s, on_data=None):
        end = int(trio.current_time() - started_at)
        await trio.sleep(1.2)
        return Ok(Page([Record(i, "k", b"") for i in range(start, end)], end))

    async def newest(topic, on_data=None):
        return Ok(Page([], 0))

    started_at = trio.current_time()
    follower = Follower(
        Store(None, read, newest), OPERATOR_TOPIC, lambda: WAIT_S,
        lambda record: applied.append(record.offset), lambda *a, **k: None,
    )  # fmt: skip
    nursery.start_soon(follower.run)
    for end in range(1, 20):
        await trio.sleep(1.0)
        follower.observe_end(end)
    assert len(applied) >= 12
