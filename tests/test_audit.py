"""The audit finds each kind of violation; a blind audit would pass every run."""

import pytest

from jujuberudder_core import encode_record, records
from jujuberudder_core._records import ShardOwner
from jujuberudder_standins import ClientRecord, Run, Violations, audit, lost_assignments

NOBODY = ("127.0.0.1:1",) * 3


def run(target, started, ended, fence=5, request="r", path="/jobs/1"):
    """Return a run of a request."""
    return Run(request, target, "POST", path, fence, started, ended, "hash")


def told(outcome="completed", answered="hash", named="r", idempotent=False):
    """Return what a client was told of the request ``r``."""
    return ClientRecord("r", outcome, idempotent, "hash", answered, named)


ONE = [run("a", 0, 1)]
CASES = {
    "nothing wrong": (ONE, [told()], None),
    "later owner": ([run("a", 0, 1), run("b", 2, 3, 6, "s")], [], None),
    "overlap": ([run("a", 0, 2), run("b", 1, 3, 6, "s")], [], "double_owned"),
    "overlap past a third run": (
        [run("a", 0, 9), run("a", 1, 2, 5, "s"), run("b", 3, 4, 6, "t")],
        [],
        "double_owned",
    ),
    "same fence on two targets": (
        [run("a", 0, 1), run("b", 2, 3, 5, "s")],
        [],
        "double_owned",
    ),
    "fence goes back": (
        [run("a", 0, 1, 7), run("a", 2, 3, 6, "s")],
        [],
        "double_owned",
    ),
    "fence goes back past a third run": (
        [run("a", 0, 1, 7), run("a", 2, 3, 7, "s"), run("b", 4, 5, 6, "t")],
        [],
        "double_owned",
    ),
    "unkeyed overlap": ([run("a", 0, 2, 0), run("b", 1, 3, 0, "s")], [], None),
    "run twice": ([run("a", 0, 1), run("a", 2, 3)], [told()], "duplicate_runs"),
    "idempotent twice": (
        [run("a", 0, 1), run("a", 2, 3)],
        [told(idempotent=True)],
        None,
    ),
    "altered": (ONE, [told(answered="other")], "altered_bodies"),
    "crossed": (ONE, [told(named="s")], "crossed_answers"),
    "untrue not-run": (ONE, [told("not-run", "", "")], "untrue_not_run"),
    "not-run": ([], [told("not-run", "", "")], None),
    "never ran": ([], [told()], "lost_runs"),
}


@pytest.mark.parametrize("runs, tellings, found", CASES.values(), ids=CASES)
def test_audit_finds(runs, tellings, found):
    """Guards against an audit that misses a violation or reports a false one."""
    expected = dict.fromkeys(Violations._fields, 0)
    if found:
        expected[found] = 1
    assert audit(runs, tellings)._asdict() == expected


def admit(incarnation):
    """Return an admission with dummy addresses."""
    return records.Admit(
        f"r-{incarnation}", incarnation, incarnation, "jobs", "dar-a", *NOBODY, ()
    )


@pytest.mark.parametrize(
    "reported, lost",
    [
        (("jobs", "", 3, "a"), False),
        (("jobs", "", 4, "b"), False),
        (("jobs", "", 3, "b"), True),
        (("jobs", "0", 3, "a"), True),
        (("jobs", "", 9, "a"), True),
    ],
)
def test_lost_assignments(reported, lost):
    """Guards against assignments that a node reported and the log never held."""
    given = ShardOwner("jobs", "", 0, "a")
    taken = ShardOwner("jobs", "", 3, "b")
    base = records.Base("a", 1)
    history = [
        admit("a"),
        admit("b"),
        records.Assign("x", "a", (given,)),
        records.Dead("y", "b", (base,), (taken,)),
    ]
    stream = [(offset, encode_record(record)) for offset, record in enumerate(history)]
    assert lost_assignments({reported}, stream) == ({reported} if lost else set())
