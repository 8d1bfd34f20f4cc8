"""Store calls of the adapter against the emulated store."""

import pytest
import trio
from result import Err, Ok

from jujuberudder_emulator import (
    Faults,
    Partition,
    StoreStandin,
    free_addresses,
    split_records,
)
from jujuberudder_platform import make_store
from jujuberudder_router import (
    MEMBERSHIP_TOPIC,
    OPERATOR_TOPIC,
    Appended,
    Conflict,
    Truncated,
)


class Running:
    """An emulated store, its faults, and the adapter's calls to it."""

    def __init__(self, nursery):
        self.standin, self.faults = StoreStandin(), Faults()
        address = free_addresses(1)[0]
        nursery.start_soon(self.standin.serve, address, self.faults)
        self.store = make_store(address)


@pytest.fixture
async def running(nursery):
    """Return a running store."""
    found = Running(nursery)
    with trio.fail_after(5):
        while isinstance(await found.store.newest(MEMBERSHIP_TOPIC), Err):
            await trio.sleep(0.01)
    return found


async def test_append_and_read(running):
    """Guards against records that are read at other offsets than they were given."""
    store = running.store
    assert await store.append(MEMBERSHIP_TOPIC, "k", b"1", None) == Ok(Appended(0))
    assert await store.append(MEMBERSHIP_TOPIC, "k", b"2", 0) == Ok(Conflict(1))
    assert await store.append(MEMBERSHIP_TOPIC, "k", b"3", 1) == Ok(Appended(1))
    assert await store.append(MEMBERSHIP_TOPIC, "other", b"\x00" * 9, 2) == Ok(
        Appended(2)
    )
    page = (await store.read(MEMBERSHIP_TOPIC, 1, 0.0)).ok_value
    assert [(r.offset, r.key, r.value) for r in page.records] == [
        (1, "k", b"3"), (2, "other", b"\x00" * 9),
    ]  # fmt: skip
    newest = (await store.newest(MEMBERSHIP_TOPIC)).ok_value
    assert {r.key: (r.offset, r.value) for r in newest.records} == {
        "k": (1, b"3"), "other": (2, b"\x00" * 9),
    }  # fmt: skip
    assert newest.end == page.end == 3


async def test_newest_reads_all_pages(running):
    """Guards against keys beyond the first page that are never read."""
    for number in range(1203):
        running.standin.put("keyed.op", f"k{number:05}", b"v")
    page = (await running.store.newest(OPERATOR_TOPIC)).ok_value
    assert len(page.records) == 1203


async def test_a_read_returns_as_soon_as_there_is_a_record(running):
    """Guards against a configuration that is noticed only by the next poll."""
    async with trio.open_nursery() as inner:

        async def append():
            await trio.sleep(0.1)
            running.standin.put("keyed.op", "k", b"v")

        inner.start_soon(append)
        with trio.fail_after(2):
            page = (await running.store.read(OPERATOR_TOPIC, 0, 10.0)).ok_value
    assert [r.value for r in page.records] == [b"v"]


async def test_forgotten_records(running):
    """Guards against a node that never notices that it missed records."""
    for _ in range(3):
        running.standin.put("keyed.op", "k", b"v")
    running.standin.partition("keyed.op").trim(2)
    assert await running.store.read(OPERATOR_TOPIC, 0, 0.0) == Ok(Truncated(2))


@pytest.mark.parametrize("mode", ["busy", "many"])
async def test_refusals(running, mode):
    """Guards against a refusal that is taken for an empty topic."""
    running.faults.mode = mode
    for call in (
        running.store.append(MEMBERSHIP_TOPIC, "k", b"v", None),
        running.store.read(MEMBERSHIP_TOPIC, 0, 0.0),
        running.store.newest(MEMBERSHIP_TOPIC),
    ):
        found = await call
        assert isinstance(found, Err) and "status" in found.err_value.reason
    found = await running.store.append(MEMBERSHIP_TOPIC, "k", b"v", None)
    assert not found.err_value.may_have_run


async def test_a_lost_answer_may_have_taken_effect(running):
    """Guards against an append that is taken to have failed although it is done."""
    running.faults.lost_responses = 1
    found = await running.store.append(MEMBERSHIP_TOPIC, "k", b"v", None)
    assert isinstance(found, Err) and found.err_value.may_have_run
    assert running.standin.partition("keyed.fleet").end == 1


@pytest.mark.parametrize(
    "calls, expected",
    [
        ([("w", 1, 5), ("w", 1, 6)], [200, 200]),
        ([("w", 1, 5), ("w", 1, 5)], [200, 200]),
        ([("w", 1, 5), ("w", 1, 7)], [200, 409]),
        ([("w", 2, 5), ("w", 1, 6)], [200, 409]),
        ([("w", 1, 5), ("w", 2, 9)], [200, 200]),
    ],
    ids=["next", "repeat", "gap", "fenced", "new epoch"],
)
def test_producers(calls, expected):
    """Guards against an emulated store that lets through what the platform refuses."""
    partition = Partition(keyed=False)
    record = b"\x00\x00\x00\x01x"
    found = [
        partition.append(record, None, producer, epoch, sequence)[0]
        for producer, epoch, sequence in calls
    ]
    assert found == expected


def test_records_are_appended_all_or_none():
    """Guards against half of a body in the log."""
    partition = Partition(keyed=False)
    assert partition.append(b"\x00\x00\x00\x01x\x00\x00\x00\x05y")[0] == 400
    assert partition.end == 0
    assert split_records(b"\x00\x00\x00\x02ab\x00\x00\x00\x01c") == [b"ab", b"c"]
