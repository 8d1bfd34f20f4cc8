"""Rules of the ownership fold, each as a table of records and their effect."""

import pytest

from jujuberudder_core import Ownership, decode_record, encode_record, records
from jujuberudder_core._records import Base, ShardOwner

NOBODY = ("127.0.0.1:1",) * 3


def admit(incarnation, node=None, witnesses=()):
    """Return an admission with dummy addresses."""
    node = node or incarnation
    return records.Admit(
        f"r-{incarnation}", incarnation, node, "jobs", "dar-a", *NOBODY, witnesses
    )


def assign(owner, epoch=0, prefix=""):
    """Return an assignment of one shard."""
    shard = ShardOwner("jobs", prefix, epoch, owner)
    return records.Assign("x", "p", (shard,))


def move(epoch, destination):
    """Return a move of the whole service."""
    return records.Move("x", "p", (ShardOwner("jobs", "", epoch, destination),))


def dead(incarnation, version, owner="", epoch=3):
    """Return a takeover of one incarnation with one shard."""
    shards = (ShardOwner("jobs", "", epoch, owner),) if owner else ()
    return records.Dead("x", "c", (Base(incarnation, version),), shards)


START = [admit("a"), admit("b"), assign("a")]

CASES = {
    "same node twice": ([admit("a"), admit("a2", "a")], False),
    "node again after death": ([admit("a"), dead("a", 1), admit("a2", "a")], True),
    "keep with a lease that is too long": (
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
    "own witness": (START + [records.Witnesses("x", "a", 1, ("a",))], False),
    "merge of one owner's siblings": (
        START
        + [
            records.Split("x", "jobs", "", 3),
            records.Merge("y", "jobs", "", (4, 4)),
        ],
        True,
    ),
    "witness that is dead": (
        START + [dead("b", 2), records.Witnesses("x", "a", 1, ("b",))],
        False,
    ),
    "confirm without witnesses": (START + [records.Confirm("x", "a", 1)], False),
}


@pytest.mark.parametrize("history, effect", CASES.values(), ids=CASES)
def test_effect_of_last_record(history, effect):
    """Guards against records that take effect on a superseded base."""
    ownership = Ownership()
    results = [ownership.apply(n, record) for n, record in enumerate(history, 1)]
    assert results[-1] is effect


def test_takeover_keeps_the_destination_of_a_move():
    """Guards against a takeover that gives a moving shard to a third incarnation."""
    ownership = Ownership()
    history = START + [admit("c"), move(3, "b"), dead("a", 1, owner="c")]
    for offset, record in enumerate(history, 1):
        ownership.apply(offset, record)
    assert ownership.shards("jobs")[""].owner == "b"


@pytest.mark.parametrize("record", START + [move(3, "b"), dead("a", 1, "b")])
def test_codec_round_trip(record):
    """Guards against fields that are lost on the way through the log."""
    assert decode_record(encode_record(record)).ok_value == record


@pytest.mark.parametrize("data", ["", "[]", "{}", '["nope"]', '["keep", 1]', "[1]"])
def test_undecodable_records_are_errors(data):
    """Guards against a bad record that ends the reader."""
    assert decode_record(data).is_err()
