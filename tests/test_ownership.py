"""Rules of the ownership fold, as a table of histories and their effect."""

import pytest

from jujuberudder_core import Ownership, decode_record, encode_record, records
from jujuberudder_core._records import Base, ShardOwner

DUMMY_ADDRESSES = ("127.0.0.1:1",) * 3


def admit(incarnation, node=None, witnesses=()):
    """Return an admit record with dummy addresses."""
    node = node or incarnation
    return records.Admit(
        f"r-{incarnation}",
        incarnation,
        node,
        "jobs",
        "dar-a",
        *DUMMY_ADDRESSES,
        witnesses,
    )


def assign(owner, epoch=0, prefix=""):
    """Return an assign record for one shard."""
    shard = ShardOwner("jobs", prefix, epoch, owner)
    return records.Assign("x", "p", (shard,))


def move(epoch, destination):
    """Return a move record for the only shard of the service."""
    return records.Move("x", "p", (ShardOwner("jobs", "", epoch, destination),))


def dead(incarnation, version, owner="", epoch=3):
    """Return a dead record for one incarnation and at most one shard."""
    shards = (ShardOwner("jobs", "", epoch, owner),) if owner else ()
    return records.Dead("x", "c", (Base(incarnation, version),), shards)


START = [admit("a"), admit("b"), assign("a")]

CASES = {
    "second live incarnation of a node": ([admit("a"), admit("a2", "a")], False),
    "new incarnation after a death": (
        [admit("a"), dead("a", 1), admit("a2", "a")],
        True,
    ),
    "keep with too long a lease": (
        [admit("a"), records.Keep("x", "a", 1, 9.0)],
        False,
    ),
    "keep without a lease": ([admit("a"), records.Keep("x", "a", 1, 0.0)], False),
    "keep on an old version": (
        [admit("a"), records.Keep("x", "a", 1), records.Keep("y", "a", 1)],
        False,
    ),
    "dead on an old version": (
        [admit("a"), records.Keep("x", "a", 1), dead("a", 1)],
        False,
    ),
    "assign of an owned shard": (START + [assign("b", 3)], False),
    "assign after death": (START + [dead("a", 1), assign("b", 4)], True),
    "move on an old epoch": (START + [move(2, "b")], False),
    "move to a dead incarnation": (START + [dead("b", 2), move(3, "b")], False),
    "second move": (START + [move(3, "b"), move(3, "b")], False),
    "release without move": (START + [records.Release("x", "jobs", "", 3)], False),
    "cancel after release": (
        START
        + [
            move(3, "b"),
            records.Release("x", "jobs", "", 3),
            records.Cancel("y", "jobs", "", 3, 4),
        ],
        False,
    ),
    "late cancel of an earlier move": (
        START
        + [
            move(3, "b"),
            records.Cancel("x", "jobs", "", 3, 4),
            move(3, "b"),
            records.Cancel("y", "jobs", "", 3, 4),
        ],
        False,
    ),
    "move to a leaving incarnation": (
        START + [records.Withdraw("x", "b", 2, ()), move(3, "b")],
        False,
    ),
    "unknown witness": ([admit("a", witnesses=("z",))], False),
    "incarnation as its own witness": (
        START + [records.Witnesses("x", "a", 1, ("a",))],
        False,
    ),
    "merge of siblings with one owner": (
        START
        + [
            records.Split("x", "jobs", "", 3),
            records.Merge("y", "jobs", "", (4, 4)),
        ],
        True,
    ),
    "dead witness": (
        START + [dead("b", 2), records.Witnesses("x", "a", 1, ("b",))],
        False,
    ),
    "confirm without witnesses": (START + [records.Confirm("x", "a", 1)], False),
}


@pytest.mark.parametrize("history, effect", CASES.values(), ids=CASES)
def test_effect_of_last_record(history, effect):
    """Guards against invalid or superseded records that take effect."""
    ownership = Ownership()
    results = [ownership.apply(n, record) for n, record in enumerate(history, 1)]
    assert results[-1] is effect


def test_takeover_keeps_the_destination_of_a_move():
    """Guards against a takeover that assigns a moving shard to a third incarnation."""
    ownership = Ownership()
    history = START + [admit("c"), move(3, "b"), dead("a", 1, owner="c")]
    for position, record in enumerate(history, 1):
        ownership.apply(position, record)
    assert ownership.shards("jobs")[""].owner == "b"


@pytest.mark.parametrize("record", START + [move(3, "b"), dead("a", 1, "b")])
def test_codec_round_trip(record):
    """Guards against fields that are lost when a record is encoded and decoded."""
    assert decode_record(encode_record(record)).ok_value == record


@pytest.mark.parametrize("data", ["", "[]", "{}", '["nope"]', '["keep", 1]', "[1]"])
def test_undecodable_records_are_errors(data):
    """Guards against an undecodable record that ends the reader."""
    assert decode_record(data).is_err()
