"""Follower of a topic: lost responses, nodes that have read further, and pauses."""

import pytest
import trio
from result import Err, Ok

from jujuberudder_base import Failure
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


class SharedLink:
    """Store of one key behind a link that other traffic leaves little room on.

    A response that is cancelled still takes its time on the link. ``records`` are
    (time, value); ``available_at`` is the time from which the store answers.
    """

    def __init__(self, records, bytes_per_s, available_at):
        self._records = records
        self._bytes_per_s = bytes_per_s
        self._available_at = available_at
        self._free_at = 0.0

    def written(self):
        """Return the records written so far."""
        now = trio.current_time()
        return [
            Record(i, "k", value)
            for i, (at, value) in enumerate(self._records)
            if at <= now
        ]

    async def read(self, topic, start, wait_s, on_data=None):
        """Return all records from ``start`` on, once there is one."""
        if trio.current_time() < self._available_at:
            return Err(Failure("read", "store", "busy"))
        end = trio.current_time() + wait_s
        while len(self.written()) <= start and trio.current_time() < end:
            await trio.sleep(0.005)
        written = self.written()
        return await self._respond(Page(written[start:], len(written)), on_data)

    async def newest(self, topic, on_data=None):
        """Return the newest record."""
        written = self.written()
        return await self._respond(Page(written[-1:], len(written)), on_data)

    async def _respond(self, page, on_data):
        size = sum(len(record.value) for record in page.records)
        started = max(trio.current_time(), self._free_at)
        self._free_at = started + size / self._bytes_per_s
        for part in range(1, 11):
            await trio.sleep_until(started + part / 10 * (self._free_at - started))
            on_data(size // 10)
        return Ok(page)


@pytest.mark.parametrize(
    "interval_s, bytes_per_s",
    [(0.08, 300_000), (0.08, 150_000), (0.2, 100_000)],
)
async def test_configurations_in_quick_succession_after_an_outage_are_in_force_in_time(
    interval_s, bytes_per_s, autojump_clock, nursery
):
    """Guards against reads that are cancelled while the configuration arrives.

    The store answers again after 8 s; 25 versions are written during and after it.
    """
    start = trio.current_time()
    records = [
        (start + 7.0 + interval_s * n, b"%026000d" % n)  # 26 KB: 150 routes.
        for n in range(25)
    ]
    link = SharedLink([(start, b"0"), *records], bytes_per_s, start + 8.0)
    in_force = []

    def apply(record):
        in_force.append((trio.current_time(), record.offset))

    follower = Follower(
        Store(None, link.read, link.newest), OPERATOR_TOPIC, lambda: WAIT_S, apply,
        lambda *a, **k: None,
    )  # fmt: skip
    nursery.start_soon(follower.run)
    # The users' bound for a configuration to be in force, and the time after an outage
    # from which it holds.
    apply_s, recovery_s = 2.5, 3.0
    while trio.current_time() < start + 20.0:
        await trio.sleep(0.1)
        now = trio.current_time()
        follower.observe_end(len(link.written()))
        if now < start + 8.0 + recovery_s:
            continue
        due = max(i for i, (at, _) in enumerate(link._records) if at <= now - apply_s)
        assert in_force[-1][1] >= due, f"at {now - start:.1f} s"


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
