"""Calls of the adapter's store client to the emulated store."""

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
from jujuberudder_platform._store import HEDGE_AFTER_S, MAX_IDLE_S
from jujuberudder_router import (
    MEMBERSHIP_TOPIC,
    OPERATOR_TOPIC,
    Appended,
    Conflict,
    Page,
    Truncated,
)


class StoreSetup:
    """An emulated store, its faults, and a client of it."""

    def __init__(self, nursery):
        self.standin, self.faults = StoreStandin(), Faults()
        address = free_addresses(1)[0]
        nursery.start_soon(self.standin.serve, address, self.faults)
        self.events = []
        self.client = make_store(
            address, lambda event, **fields: self.events.append(event)
        )


@pytest.fixture
async def store_setup(nursery):
    """Return a store that responds to calls."""
    result = StoreSetup(nursery)
    with trio.fail_after(5):
        while isinstance(await result.client.newest(MEMBERSHIP_TOPIC), Err):
            await trio.sleep(0.01)
    return result


async def test_append_and_read(store_setup):
    """Guards against records that are read at other offsets than those of the append.

    An append with an outdated end of the partition is a conflict.
    """
    client = store_setup.client
    assert await client.append(MEMBERSHIP_TOPIC, "k", b"1", None) == Ok(Appended(0))
    assert await client.append(MEMBERSHIP_TOPIC, "k", b"2", 0) == Ok(Conflict(1))
    assert await client.append(MEMBERSHIP_TOPIC, "k", b"3", 1) == Ok(Appended(1))
    assert await client.append(MEMBERSHIP_TOPIC, "other", b"\x00" * 9, 2) == Ok(
        Appended(2)
    )
    page = (await client.read(MEMBERSHIP_TOPIC, 1, 0.0)).ok_value
    assert [(r.offset, r.key, r.value) for r in page.records] == [
        (1, "k", b"3"), (2, "other", b"\x00" * 9),
    ]  # fmt: skip
    newest = (await client.newest(MEMBERSHIP_TOPIC)).ok_value
    assert {r.key: (r.offset, r.value) for r in newest.records} == {
        "k": (1, b"3"), "other": (2, b"\x00" * 9),
    }  # fmt: skip
    assert newest.end == page.end == 3


async def test_newest_reads_all_pages(store_setup):
    """Guards against keys beyond the first page that are not read."""
    for number in range(1203):
        store_setup.standin.put("keyed.op", f"k{number:05}", b"v")
    page = (await store_setup.client.newest(OPERATOR_TOPIC)).ok_value
    assert len(page.records) == 1203


async def test_waiting_read_returns_at_the_first_record(store_setup):
    """Guards against a configuration that is read only at the end of the wait."""
    async with trio.open_nursery() as inner:

        async def append():
            await trio.sleep(0.1)
            store_setup.standin.put("keyed.op", "k", b"v")

        inner.start_soon(append)
        with trio.fail_after(2):
            page = (await store_setup.client.read(OPERATOR_TOPIC, 0, 10.0)).ok_value
    assert [r.value for r in page.records] == [b"v"]


async def test_read_of_trimmed_records(store_setup):
    """Guards against a node that does not notice that it missed trimmed records."""
    for _ in range(3):
        store_setup.standin.put("keyed.op", "k", b"v")
    store_setup.standin.partition("keyed.op").trim(2)
    assert await store_setup.client.read(OPERATOR_TOPIC, 0, 0.0) == Ok(Truncated(2))


@pytest.mark.parametrize("idle_s", [0.0, 0.5])
@pytest.mark.parametrize(
    "call", ["waiting read", "read", "newest"], ids=lambda call: call
)
async def test_read_on_a_silent_connection(store_setup, call, idle_s):
    """Guards against a read that waits for its time-out on a silent connection.

    A waiting read was sent before the connection became silent; other calls use an idle
    connection, or a new one.
    """
    client, standin = store_setup.client, store_setup.standin
    wait_s = 1.0 if call == "waiting read" else 0.0
    pages = []

    async def read():
        if call == "newest":
            result = await client.newest(OPERATOR_TOPIC)
        else:
            result = await client.read(OPERATOR_TOPIC, 0, wait_s)
        pages.append((result, trio.current_time()))

    await trio.sleep(idle_s)
    started = trio.current_time()
    async with trio.open_nursery() as inner:
        if call == "waiting read":
            inner.start_soon(read)
            await trio.sleep(0.2)
        store_setup.faults.silence_connections()
        standin.put("keyed.op", "k", b"v")
        if call != "waiting read":
            inner.start_soon(read)
    [(result, ended)] = pages
    assert [record.value for record in result.ok_value.records] == [b"v"]
    assert ended - started < wait_s + HEDGE_AFTER_S + 0.2


async def test_read_without_a_record_on_a_silent_connection(store_setup):
    """Guards against a second read that waits beyond the time-out for a record."""
    wait_s = 2.0
    results = []

    async def read():
        results.append(await store_setup.client.read(OPERATOR_TOPIC, 0, wait_s))

    started = trio.current_time()
    async with trio.open_nursery() as inner:
        inner.start_soon(read)
        await trio.sleep(0.2)
        store_setup.faults.silence_connections()
    assert results == [Ok(Page([], 0))]
    assert trio.current_time() - started < wait_s + HEDGE_AFTER_S + 0.2


async def test_connection_that_was_idle_is_not_reused(store_setup):
    """Guards against an append on a connection that went silent while it was idle."""
    client = store_setup.client
    await client.read(MEMBERSHIP_TOPIC, 0, 0.0)
    await trio.sleep(MAX_IDLE_S + 0.1)
    store_setup.faults.silence_connections()
    result = await client.append(MEMBERSHIP_TOPIC, "k", b"v", None)
    assert result == Ok(Appended(0))


async def test_silent_store_gets_at_most_two_calls_a_read(store_setup):
    """Guards against a read that is repeated again and again while a store is down."""
    store_setup.faults.mode = "silent"
    store_setup.standin.calls.clear()
    assert isinstance(await store_setup.client.read(OPERATOR_TOPIC, 0, 0.5), Err)
    assert store_setup.standin.calls["/log-read"] == 2
    assert store_setup.events == ["store_call_hedged"]


@pytest.mark.parametrize("mode", ["busy", "many"])
async def test_refused_calls_are_failures(store_setup, mode):
    """Guards against a refused call that looks like an empty topic.

    A refused append did not run.
    """
    store_setup.faults.mode = mode
    for call in (
        store_setup.client.append(MEMBERSHIP_TOPIC, "k", b"v", None),
        store_setup.client.read(MEMBERSHIP_TOPIC, 0, 0.0),
        store_setup.client.newest(MEMBERSHIP_TOPIC),
    ):
        result = await call
        assert isinstance(result, Err) and "status" in result.err_value.reason
    result = await store_setup.client.append(MEMBERSHIP_TOPIC, "k", b"v", None)
    assert not result.err_value.may_have_run


async def test_append_with_lost_response_may_have_run(store_setup):
    """Guards against an append that is reported as not run although it took effect.

    The store appends the record, but its response is lost.
    """
    store_setup.faults.lost_responses = 1
    result = await store_setup.client.append(MEMBERSHIP_TOPIC, "k", b"v", None)
    assert isinstance(result, Err) and result.err_value.may_have_run
    assert store_setup.standin.partition("keyed.fleet").end == 1


@pytest.mark.parametrize(
    "calls, statuses",
    [
        ([("w", 1, 5), ("w", 1, 6)], [200, 200]),
        ([("w", 1, 5), ("w", 1, 5)], [200, 200]),
        ([("w", 1, 5), ("w", 1, 7)], [200, 409]),
        ([("w", 2, 5), ("w", 1, 6)], [200, 409]),
        ([("w", 1, 5), ("w", 2, 9)], [200, 200]),
    ],
    ids=["next", "retry", "gap", "fenced", "new epoch"],
)
def test_emulated_store_fences_producers(calls, statuses):
    """Guards against an emulated store that accepts appends the platform refuses."""
    partition = Partition(keyed=False)
    record = b"\x00\x00\x00\x01x"
    result = [
        partition.append(record, None, producer, epoch, sequence)[0]
        for producer, epoch, sequence in calls
    ]
    assert result == statuses


def test_emulated_store_appends_all_records_or_none():
    """Guards against a truncated body of which the first records are appended."""
    partition = Partition(keyed=False)
    assert partition.append(b"\x00\x00\x00\x01x\x00\x00\x00\x05y")[0] == 400
    assert partition.end == 0
    assert split_records(b"\x00\x00\x00\x02ab\x00\x00\x00\x01c") == [b"ab", b"c"]
