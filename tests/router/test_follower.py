"""Following a topic: lost answers, other nodes that are ahead, and pauses."""

import pytest
import trio
from result import Ok

from jujuberudder_router import OPERATOR_TOPIC, Page, Record, Store
from jujuberudder_router._follower import BEHIND_S, BEHIND_TRIES, Follower

WAIT_S = 4.0


def following(records, lost_until=0.0, batch_delay_s=None):
    """Return a follower of ``records`` (time, value), what it took, and its reads.

    Reads that are sent before ``lost_until`` get no answer.
    """
    taken, reads = [], []

    def known(now):
        return [
            Record(i, "k", value) for i, (at, value) in enumerate(records) if at <= now
        ]

    async def read(topic, start, wait_s):
        sent = trio.current_time()
        reads.append(sent)
        if sent < lost_until:
            await trio.sleep(wait_s + 0.5)
            return Ok(Page([], start))
        while trio.current_time() < sent + wait_s:
            found = known(trio.current_time())
            if len(found) > start:
                return Ok(Page(found[start:], len(found)))
            await trio.sleep(0.01)
        return Ok(Page([], start))

    async def newest(topic):
        found = known(trio.current_time())
        return Ok(Page(found[-1:], len(found)))

    def take(record):
        taken.append((trio.current_time(), record.value))

    follower = Follower(
        Store(None, read, newest), OPERATOR_TOPIC, lambda: WAIT_S, take,
        lambda *a, **k: None, batch_delay_s,
    )  # fmt: skip
    return follower, taken, reads


@pytest.mark.parametrize(
    "hears, longest_s",
    [([], WAIT_S + 0.6), ([(1.2, 1)], 1.0), ([(0.5, 0), (1.2, 1)], 1.0)],
    ids=["no other node", "heard", "heard of nothing new first"],
)
async def test_lost_answer(hears, longest_s, autojump_clock, nursery):
    """Guards against a configuration that waits for the next poll when others have it.

    A record of 1 s is lost with the answer to the read before it.
    """
    start = trio.current_time()
    follower, taken, _ = following([(start + 1.0, b"v")], lost_until=start + 0.5)
    nursery.start_soon(follower.run)
    for at, end in hears:
        await trio.sleep_until(start + at)
        follower.observe_end(end)
    await trio.sleep_until(start + 9.0)
    assert [value for _, value in taken] == [b"v"]
    assert taken[0][0] - start - 1.0 <= longest_s


async def test_wrong_end(autojump_clock, nursery):
    """Guards against reads without pause after an end that does not exist."""
    follower, _, reads = following([])
    nursery.start_soon(follower.run)
    await trio.sleep(0.1)
    follower.observe_end(99)
    await trio.sleep(10 * WAIT_S)
    assert len(reads) <= BEHIND_TRIES + 12
    assert reads[1] - reads[0] <= 0.1 + BEHIND_S + 0.01


async def test_gather(autojump_clock, nursery):
    """Guards against a call for each record where many come in a row."""
    start = trio.current_time()
    records = [(start + 0.1 * n, b"%d" % n) for n in range(1, 31)]
    follower, taken, reads = following(records, batch_delay_s=lambda: 0.5)
    nursery.start_soon(follower.run)
    await trio.sleep(4.0)
    assert [value for _, value in taken] == [value for _, value in records]
    assert len(reads) <= 9


async def test_hurry(autojump_clock, nursery):
    """Guards against keys that wait for the pause of the VM that gets them."""
    start = trio.current_time()
    records = [(start + 1.0, b"1"), (start + 1.2, b"2")]
    follower, taken, _ = following(records, batch_delay_s=lambda: 1.5)
    nursery.start_soon(follower.run)
    await trio.sleep(1.3)
    follower.read_now()
    await trio.sleep(0.1)
    assert [value for _, value in taken] == [b"1", b"2"]


async def test_slow_reads(autojump_clock, nursery):
    """Guards against reads that are all cut short where the store or node is slow.

    A node that was short of processor stayed 80 records behind for seconds.
    """
    taken = []

    async def read(topic, start, wait_s):
        end = int(trio.current_time() - began)
        await trio.sleep(1.2)
        return Ok(Page([Record(i, "k", b"") for i in range(start, end)], end))

    async def newest(topic):
        return Ok(Page([], 0))

    began = trio.current_time()
    follower = Follower(
        Store(None, read, newest), OPERATOR_TOPIC, lambda: WAIT_S,
        lambda record: taken.append(record.offset), lambda *a, **k: None,
    )  # fmt: skip
    nursery.start_soon(follower.run)
    for end in range(1, 20):
        await trio.sleep(1.0)
        follower.observe_end(end)
    assert len(taken) >= 12
