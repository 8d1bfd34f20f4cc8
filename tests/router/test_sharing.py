"""Records that nodes pass on, and when a node reads the store by itself."""

from types import SimpleNamespace

import pytest
import trio
from result import Ok

from jujuberudder_emulator import run_deployment
from jujuberudder_router import MEMBERSHIP_TOPIC, OPERATOR_TOPIC, Page, Record, Store
from jujuberudder_router._follower import Follower
from jujuberudder_router._frames import ReadProgress, Subscribe
from jujuberudder_router._node import CONFIG_WAIT_S, MEMBERSHIP_WAIT_S
from jujuberudder_router._reading import (
    ALONE_S,
    BEHIND_S,
    FIRST_ALONE_S,
    LEASE_READ_AGE_S,
    Situation,
    read_delay,
)
from jujuberudder_router._sharing import RecordSharing

CALM = Situation(True, False, 0.0, True, False, 0.0, None, 9.0)


@pytest.mark.parametrize(
    "changes, expected",
    [
        ({}, float("inf")),
        ({"started": False}, 0.0),
        ({"reads_for_others": True}, 0.0),
        ({"alone_s": ALONE_S / 2}, ALONE_S / 2),
        ({"alone_s": 9.0}, 0.0),
        ({"alone_s": 1.0, "had_source": False}, FIRST_ALONE_S - 1.0),
        ({"behind_s": BEHIND_S / 2}, BEHIND_S / 2),
        ({"behind_s": 9.0}, 0.0),
        ({"sources_failing": True, "since_read_s": 0.5}, 3.0),
        ({"sources_failing": True, "since_read_s": 9.0}, 0.0),
        ({"sources_failing": True, "alone_s": 9.0}, 0.0),
        ({"lease_age_s": 1.0}, LEASE_READ_AGE_S - 1.0),
        ({"lease_age_s": 4.0, "since_read_s": 0.25}, 0.75),
        ({"lease_age_s": 4.0}, 0.0),
        ({"lease_age_s": 4.0, "sources_failing": True, "since_read_s": 0.5}, 3.0),
    ],
    ids=str,
)
def test_read_delay(changes, expected):
    """Guards against nodes that all read the store, and against overdue records.

    While the store is down for all, few reads are tried, also where a lease runs out.
    """
    assert read_delay(CALM._replace(**changes), 0.5) == pytest.approx(expected)


class Log:
    """A topic in memory that counts its reads."""

    def __init__(self):
        self.records = []
        self.reads = 0

    def append(self, key, value):
        self.records.append(Record(len(self.records), key, value))

    def follower(self, topic=MEMBERSHIP_TOPIC, applied=None, **options):
        """Return a follower that reads this topic."""

        async def read(topic, start, wait_s, on_data=None):
            self.reads += 1
            with trio.move_on_after(wait_s):
                while len(self.records) <= start:
                    await trio.sleep(0.01)
            return Ok(Page(self.records[start:], len(self.records)))

        async def newest(topic, on_data=None):
            newest = {record.key: record for record in self.records}
            return Ok(Page(list(newest.values()), len(self.records)))

        applied = [] if applied is None else applied
        return Follower(
            Store(None, read, newest), topic, lambda: 0.5, applied.append,
            lambda *a, **k: None, **options,
        )  # fmt: skip


@pytest.mark.parametrize(
    "end, since, new_end, offsets, merged, applied, end_after",
    [
        (2, 2, 4, (2, 3), True, [2, 3], 4),
        (3, 2, 4, (2, 3), True, [3], 4),
        (2, 0, 9, (1, 8), True, [8], 9),
        (2, 3, 4, (3,), False, [], 2),
        (5, 2, 4, (2, 3), True, [], 5),
    ],
    ids=["next", "overlapping", "newest only", "gap", "known"],
)
async def test_merge(
    end, since, new_end, offsets, merged, applied, end_after, autojump_clock
):
    """Guards against records that are skipped, applied twice, or applied backwards."""
    log, seen = Log(), []
    follower = log.follower(applied=seen)
    assert follower.merge(0, end, [(n, f"k{n}", b"old") for n in range(end)])
    seen.clear()
    records = [(offset, f"k{offset}", b"new") for offset in offsets]
    assert follower.merge(since, new_end, records) == merged
    assert [record.offset for record in seen] == applied
    assert follower.end == end_after


async def test_own_append_is_applied_without_a_read(autojump_clock):
    """Guards against a read of the store after each append."""
    seen = []
    follower = Log().follower(applied=seen)
    follower.merge(0, 3, [])
    follower.observe_append(3, "k", b"v")
    assert (follower.end, [r.value for r in seen]) == (4, [b"v"])
    follower.observe_append(9, "k", b"w")
    assert follower.end == 4 and follower.behind_s == 0.0
    await trio.sleep(0.2)
    assert follower.behind_s > 0


class Sharing:
    """A node's ``RecordSharing`` with links that deliver frames at once."""

    def __init__(self, log):
        self.links, self.applied = {}, []
        self.follower = log.follower(
            applied=self.applied,
            read_delay_s=lambda follower: 0.0 if self.sharing.reads_for_others else 9.0,
            on_change=lambda: self.sharing.publish(MEMBERSHIP_TOPIC),
        )
        self.sharing = RecordSharing(
            Log().follower(OPERATOR_TOPIC), self.follower, lambda: self.links
        )
        self.sent = []

    def link_to(self, name, other):
        """Connect to another node."""

        def send(frame):
            self.sent.append((name, frame))
            other.sharing.on_subscribe(id(self), frame, self.sharing.on_update)

        self.links[name] = SimpleNamespace(up=True, send=send)


async def test_one_source_passes_records_on_and_another_takes_its_place(
    autojump_clock, nursery
):
    """Guards against records that arrive twice, and against nodes without any."""
    log = Log()
    first, second, node = Sharing(log), Sharing(log), Sharing(log)
    for source in (first, second):
        source.sharing.set_sources([])
        nursery.start_soon(source.follower.run)
    node.link_to("first", first)
    node.link_to("second", second)
    assert not node.sharing.reads_for_others
    node.sharing.set_sources(["first", "second"])
    log.append("a", b"1")
    await trio.sleep(0.1)
    log.append("b", b"2")
    await trio.sleep(0.1)
    assert [r.value for r in node.applied] == [b"1", b"2"]
    assert node.sent == [("first", Subscribe(0, 0))]
    node.links["first"].up = False
    node.sharing.check_active()
    log.append("c", b"3")
    await trio.sleep(0.1)
    assert [r.value for r in node.applied] == [b"1", b"2", b"3"]
    assert node.sent[-1] == ("second", Subscribe(0, 2))
    assert node.sharing.alone_s(trio.current_time()) == 0.0
    node.links["second"].up = False
    await trio.sleep(2.0)
    assert node.sharing.alone_s(trio.current_time()) > 1.9


async def test_sources_that_cannot_read(autojump_clock):
    """Guards against an outage of the store at which all nodes try it at once."""
    log = Log()
    node, other = Sharing(log), Sharing(log)
    for name in ("first", "second"):
        node.link_to(name, other)
    node.sharing.set_sources(["first", "second"])
    assert not node.sharing.sources_failing
    node.sharing.on_progress("first", ReadProgress(store_failing=True))
    assert not node.sharing.sources_failing
    node.sharing.on_progress("second", ReadProgress(store_failing=True))
    assert node.sharing.sources_failing
    node.sharing.on_progress("second", ReadProgress())
    assert not node.sharing.sources_failing


async def test_few_nodes_read_the_store():
    """Guards against calls to the store that grow with the number of VMs."""
    async with run_deployment(*["jobs", "orders"] * 5) as deployment:
        await deployment.wait_until(deployment.serves_keys)
        await trio.sleep(2.0)
        calls, started = deployment.store.calls, trio.current_time()
        before = sum(calls.values())
        await trio.sleep(3.0)
        assert await deployment.serves_keys()
        elapsed_s = trio.current_time() - started
        # Three readers with two reads that wait at least so long, and no other calls.
        reads_per_s = 1 / MEMBERSHIP_WAIT_S[0] + 1 / CONFIG_WAIT_S[0]
        assert sum(calls.values()) - before <= 3 * elapsed_s * reads_per_s + 3


async def test_records_arrive_while_a_reader_is_cut_off():
    """Guards against nodes that wait for records of a reader that gets none."""
    async with run_deployment(*["jobs", "orders"] * 3) as deployment:
        await deployment.wait_until(deployment.serves_keys)
        await trio.sleep(2.0)
        for number in (0, 1, 2):
            deployment.vms[f"vm-{number}"].faults.mode = "silent"
        await trio.sleep(0.5)
        leaving = deployment.vms["vm-2"].target
        leaving.state = "draining"
        with trio.fail_after(6):
            while leaving.granted_ranges(trio.current_time()):
                await trio.sleep(0.05)
        await deployment.wait_until(deployment.serves_keys, limit_s=6)
        assert deployment.double_owners() == []
