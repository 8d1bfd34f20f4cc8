"""The audit detects each kind of violation.

The runs under faults rely on it: an audit that detects nothing passes all of them.
"""

import pytest

from jujuberudder_core import encode_record, records
from jujuberudder_core._records import ShardOwner
from jujuberudder_standins import ClientRecord, Run, Violations, audit, lost_assignments

UNUSED_ADDRESSES = ("127.0.0.1:1",) * 3


def run(target, started, ended, fence=5, request="r", path="/jobs/1"):
    """Return the record of a run of a request at a target."""
    return Run(request, target, "POST", path, fence, started, ended, "hash")


def client_record(
    outcome="completed", response_sha256="hash", response_request="r", idempotent=False
):
    """Return the record of the response that a client received to the request ``r``."""
    return ClientRecord(
        "r", outcome, idempotent, "hash", response_sha256, response_request
    )


ONE_RUN = [run("a", 0, 1)]
CASES = {
    "nothing wrong": (ONE_RUN, [client_record()], None),
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
    "run twice": (
        [run("a", 0, 1), run("a", 2, 3)],
        [client_record()],
        "duplicate_runs",
    ),
    "idempotent twice": (
        [run("a", 0, 1), run("a", 2, 3)],
        [client_record(idempotent=True)],
        None,
    ),
    "altered": (ONE_RUN, [client_record(response_sha256="other")], "altered_bodies"),
    "crossed": (ONE_RUN, [client_record(response_request="s")], "crossed_answers"),
    "untrue not-run": (ONE_RUN, [client_record("not-run", "", "")], "untrue_not_run"),
    "not-run": ([], [client_record("not-run", "", "")], None),
    "never ran": ([], [client_record()], "lost_runs"),
}


@pytest.mark.parametrize("runs, client_records, violation", CASES.values(), ids=CASES)
def test_audit_detects_each_violation(runs, client_records, violation):
    """Guards against an audit that misses a violation or reports a false one."""
    expected = dict.fromkeys(Violations._fields, 0)
    if violation:
        expected[violation] = 1
    assert audit(runs, client_records)._asdict() == expected


def admit(incarnation):
    """Return an admit record with unused addresses."""
    return records.Admit(
        f"r-{incarnation}",
        incarnation,
        incarnation,
        "jobs",
        "dar-a",
        *UNUSED_ADDRESSES,
        (),
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
def test_assignments_that_the_log_lacks_are_lost(reported, lost):
    """Guards against a missed or false report of an assignment that the log lacks."""
    first_owner = ShardOwner("jobs", "", 0, "a")
    next_owner = ShardOwner("jobs", "", 3, "b")
    base = records.Base("a", 1)
    history = [
        admit("a"),
        admit("b"),
        records.Assign("x", "a", (first_owner,)),
        records.Dead("y", "b", (base,), (next_owner,)),
    ]
    stream = [(offset, encode_record(record)) for offset, record in enumerate(history)]
    assert lost_assignments({reported}, stream) == ({reported} if lost else set())
