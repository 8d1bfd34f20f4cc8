"""Recovery of state after retention: snapshots, gaps and late readers."""

import pytest
import trio
from fakes import Checker, Cluster, seeded, simulate

from jujuberudder_core import (
    LogReplay,
    Ownership,
    Sections,
    decode_record,
    encode_record,
    records,
    split_snapshot,
)
from jujuberudder_core import _ownership as ownership_module

SECTION = "{service: jobs, routes: [{path_prefix: /}]}"
ZONES = ("a", "b", "c") * 2


def admit(name, sections=0):
    """Return an admit record for an incarnation."""
    addresses = (f"{name}:1", f"{name}:2", f"{name}:3")
    return records.Admit(
        f"r{name}", name, f"node-{name}", "jobs", "a", *addresses, (), sections
    )


def shard(owner, epoch=0, prefix=""):
    """Return an entry of an assign, move or dead record."""
    return records.ShardOwner("jobs", prefix, epoch, owner)


HISTORY = [
    admit("a"),
    admit("b", sections=7),
    records.Assign("x", "a", (shard("a"),)),
    records.Claim("x", "jobs", 0, "a"),
    records.Move("x", "a", (shard("b", 3),)),
    records.Witnesses("x", "a", 1, ("b",)),
    records.Withdraw("x", "b", 2, ()),
    records.Dead("x", "b", (records.Base("a", 6),), ()),
]


def fold(history):
    """Return the ownership after the records of a history."""
    ownership = Ownership()
    for position, record in enumerate(history, 1):
        ownership.apply(position, record)
    return ownership


@pytest.mark.parametrize("length", range(1, len(HISTORY) + 1))
def test_state_survives_a_snapshot(length):
    """Guards against a snapshot that loses or changes state."""
    before = fold(HISTORY[:length])
    parts = [
        decode_record(encode_record(part)).ok_value
        for part in split_snapshot("s", 0, before.position, before.dump())
    ]
    after = Ownership()
    replay = LogReplay(after, after.apply)
    replay.note_gap(before.position)
    for number, part in enumerate(parts):
        replay.process(before.position + 1 + number, part)
    assert replay.complete
    assert after.dump() == before.dump()
    for incarnation in before.incarnations:
        assert after.owned(incarnation) == before.owned(incarnation)


CHUNKS = [records.Snapshot(f"r{n}", "s", 0, 5, n, 2, []) for n in range(2)]
OLD = [records.Snapshot("r", "o", 0, 3, 0, 1, [])]
READS = {
    "complete snapshot": (CHUNKS, True),
    "reordered and repeated chunks": ([CHUNKS[1], CHUNKS[1], CHUNKS[0]], True),
    "missing chunk": (CHUNKS[1:], False),
    "snapshot older than the removed records": (OLD, False),
    "no snapshot": ([HISTORY[0]], False),
}


@pytest.mark.parametrize("read, complete", READS.values(), ids=READS)
def test_reader_waits_for_a_complete_snapshot(read, complete):
    """Guards against state with a gap after retention removed unread records."""
    ownership = Ownership()
    replay = LogReplay(ownership, ownership.apply)
    replay.note_gap(4)
    for position, record in enumerate(read, 6):
        replay.process(position, record)
    assert replay.complete is complete


def test_buffered_records_are_applied_once():
    """Guards against records skipped or applied twice while a snapshot is read."""
    before = fold(HISTORY[:3])
    (part,) = split_snapshot("s", 0, 3, before.dump())
    handled = []
    replay = LogReplay(Ownership(), lambda *args: handled.append(args[0]))
    replay.note_gap(2)
    for position, record in ((3, HISTORY[2]), (4, HISTORY[3]), (5, part)):
        replay.process(position, record)
    replay.process(6, HISTORY[4])
    assert handled == [4, 6]


def test_second_snapshot_on_one_base_has_no_effect():
    """Guards against two complete snapshots on one base from concurrent writers."""
    ownership = fold(HISTORY)
    replay = LogReplay(ownership, ownership.apply)
    (first,) = split_snapshot("s", 0, 8, ownership.dump())
    (second,) = split_snapshot("t", 0, 8, ownership.dump())
    assert [replay.process(9, first), replay.process(10, second)] == [True, False]


def test_section_versions_survive_a_snapshot():
    """Guards against a section that reverts or changes its version in a snapshot."""
    before, after = Sections(), Sections()
    before.apply(5, records.Section("x", "jobs", 0, SECTION))
    after.load(before.position, before.dump())
    assert after.all == before.all


def test_sections_skip_other_records():
    """Guards against a fold that fails on a snapshot chunk."""
    sections = Sections()
    assert sections.apply(1, OLD[0]).ok_value is False


def test_dead_incarnations_are_pruned(monkeypatch):
    """Guards against state that grows with each death, and against removed witnesses.

    A dead witness of a live incarnation is kept, because a takeover may count it as
    sealed.
    """
    monkeypatch.setattr(ownership_module, "MAX_DEAD_INCARNATIONS", 2)
    history = [admit(str(n)) for n in range(6)]
    history.append(records.Witnesses("x", "5", 6, ("0",)))
    for n in range(5):
        history.append(records.Dead("x", "5", (records.Base(str(n), n + 1),), ()))
    assert list(fold(history).incarnations) == ["5", "0", "3", "4"]


@seeded
def test_nodes_append_snapshots_after_retention(_):
    """Guards against state that retention removes, and against unlimited snapshots."""

    async def main():
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery, ZONES)
            checker = Checker(cluster)
            cluster.start(checker.run)
            await trio.sleep(3)
            before = cluster.newest().ownership.shards("jobs")
            for stream in list(cluster.log.streams):
                cluster.log.expire(stream)
            await trio.sleep(30)
            appended = cluster.log.appends
            await trio.sleep(30)
            assert cluster.log.appends == appended
            cluster.start(cluster.add("n9", "b").run)
            await trio.sleep(5)
            new_node = cluster.hosts["n9"].core
            assert new_node.complete()
            assert new_node.sections.get("jobs").version == 1
            assert set(new_node.ownership.shards("jobs")) == set(before)
            assert checker.served()
            kinds = [type(record) for record in cluster.records()]
            assert 1 <= kinds.count(records.Snapshot) <= 3
            nursery.cancel_scope.cancel()

    simulate(main)
