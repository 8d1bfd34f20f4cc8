"""Compares the requests that targets ran with the outcomes that clients recorded."""

from collections import Counter, defaultdict
from typing import NamedTuple

from jujuberudder_core import Ownership, decode_record


class ClientRecord(NamedTuple):
    """Outcome of one request as the client recorded it.

    Parameters
    ----------
    request : str
        Request id.
    outcome : str
        ``"completed"``, ``"not-run"`` or ``"unknown"``.
    idempotent : bool
    request_sha256 : str
        Hash of the body that the client sent.
    response_sha256 : str
        Hash of the body in the target's response, ``""`` without a response.
    response_request : str
        Request id in the target's response, ``""`` without a response.
    """

    request: str
    outcome: str
    idempotent: bool
    request_sha256: str
    response_sha256: str
    response_request: str = ""


class Violations(NamedTuple):
    """Number of violations of each guarantee; 0 if there are none.

    Parameters
    ----------
    double_owned : int
        Runs that show that a key had two owners.
    duplicate_runs : int
        Requests that are not idempotent and ran more than once.
    altered_bodies : int
        Requests whose body reached the target changed.
    crossed_answers : int
        Requests that received the response to another request.
    untrue_not_run : int
        Requests that ran although the client recorded ``"not-run"``.
    lost_runs : int
        Requests that no target ran although the client recorded ``"completed"``.
    """

    double_owned: int
    duplicate_runs: int
    altered_bodies: int
    crossed_answers: int
    untrue_not_run: int
    lost_runs: int


def audit(runs, records):
    """Return the violations in the requests run and the outcomes recorded.

    Parameters
    ----------
    runs : list of Run
        Requests that the targets ran.
    records : list of ClientRecord
        Outcomes that the clients recorded.
    """
    counts = Counter(run.request for run in runs)
    return Violations(
        double_owned=double_owned(runs),
        duplicate_runs=sum(
            counts[record.request] > 1 for record in records if not record.idempotent
        ),
        altered_bodies=sum(
            record.response_sha256 not in ("", record.request_sha256)
            for record in records
        ),
        crossed_answers=sum(
            record.response_request not in ("", record.request) for record in records
        ),
        untrue_not_run=sum(
            record.outcome == "not-run" and counts[record.request] > 0
            for record in records
        ),
        lost_runs=sum(
            record.outcome == "completed" and counts[record.request] == 0
            for record in records
        ),
    )


def double_owned(runs):
    """Return the number of runs that show that a key had two owners.

    Runs of a key on two targets must not overlap, and no run may start with a fence
    below that of an earlier run of the key. Runs without a fence belong to services
    without keys.
    """
    by_key = defaultdict(list)
    for run in runs:
        if run.fence:
            by_key[run.path].append(run)
    return sum(map(_count_conflicts, by_key.values()))


def _count_conflicts(runs):
    conflicts = 0
    highest_run = None
    ends = {}
    for run in sorted(runs, key=lambda run: run.started):
        others = [end for target, end in ends.items() if target != run.target]
        overlap = any(run.started < end for end in others)
        conflicts += overlap or _fence_regresses(highest_run, run)
        if highest_run is None or run.fence > highest_run.fence:
            highest_run = run
        ends[run.target] = max(run.ended, ends.get(run.target, run.ended))
    return conflicts


def _fence_regresses(highest_run, run):
    """Return whether a run's fence was superseded or was used by another target."""
    if highest_run is None:
        return False
    if run.target == highest_run.target:
        return run.fence < highest_run.fence
    return run.fence <= highest_run.fence


def lost_assignments(reported, history):
    """Return the assignments that nodes reported but that the log does not contain.

    Parameters
    ----------
    reported : set of (str, str, int, str)
        Service, prefix, epoch and owner of each assignment that any node reported.
    history : list of (int, str)
        Offset and data of all records of the ownership stream.

    Returns
    -------
    lost : set of (str, str, int, str)
        Service, prefix, epoch and owner.
    """
    ownership = Ownership()
    assigned = set()
    for offset, data in history:
        record = decode_record(data)
        if record.is_ok() and ownership.apply(offset + 1, record.ok_value):
            assigned |= assignments(ownership)
    return reported - assigned


def assignments(ownership):
    """Return service, prefix, epoch and owner of each shard that has an owner."""
    return {
        (service, prefix, shard.epoch, shard.owner)
        for service in ownership.services()
        for prefix, shard in ownership.shards(service).items()
        if shard.owner
    }
