"""Compares the targets' records with what the clients were told."""

from collections import Counter, defaultdict
from typing import NamedTuple

from jujuberudder_core import Ownership, decode_record


class ClientRecord(NamedTuple):
    """What a client was told about one request.

    Parameters
    ----------
    outcome : str
        ``"completed"``, ``"not-run"`` or ``"unknown"``.
    idempotent : bool
    sha256_sent : str
    sha256_answered : str
        Hash that the target put into its answer, ``""`` without an answer.
    request_answered : str
        Request that the target named in its answer, ``""`` without an answer.
    """

    request: str
    outcome: str
    idempotent: bool
    sha256_sent: str
    sha256_answered: str
    request_answered: str = ""


class Violations(NamedTuple):
    """Broken promises; all are 0 when all promises hold."""

    double_owned: int
    duplicate_runs: int
    altered_bodies: int
    crossed_answers: int
    untrue_not_run: int
    lost_runs: int


def audit(runs, told):
    """Return the violations in a set of runs and outcomes.

    Parameters
    ----------
    runs : list of Run
        Of all targets.
    told : list of ClientRecord
    """
    counts = Counter(run.request for run in runs)
    return Violations(
        double_owned=double_owned(runs),
        duplicate_runs=sum(
            counts[one.request] > 1 for one in told if not one.idempotent
        ),
        altered_bodies=sum(
            one.sha256_answered not in ("", one.sha256_sent) for one in told
        ),
        crossed_answers=sum(
            one.request_answered not in ("", one.request) for one in told
        ),
        untrue_not_run=sum(
            one.outcome == "not-run" and counts[one.request] > 0 for one in told
        ),
        lost_runs=sum(
            one.outcome == "completed" and counts[one.request] == 0 for one in told
        ),
    )


def double_owned(runs):
    """Return how many runs show that a key had two owners.

    Runs of a key on two targets must not overlap, and no run may start with a fence
    below that of an earlier run of the key. Runs without a fence are of services
    without keys.
    """
    by_key = defaultdict(list)
    for run in runs:
        if run.fence:
            by_key[run.path].append(run)
    return sum(map(_conflicts, by_key.values()))


def _conflicts(runs):
    found = 0
    highest = None
    ends = {}
    for run in sorted(runs, key=lambda run: run.started):
        others = [end for target, end in ends.items() if target != run.target]
        overlap = any(run.started < end for end in others)
        found += overlap or _goes_back(highest, run)
        if highest is None or run.fence > highest.fence:
            highest = run
        ends[run.target] = max(run.ended, ends.get(run.target, run.ended))
    return found


def _goes_back(highest, run):
    """Whether a run's fence was already passed, or is shared by two targets."""
    if highest is None:
        return False
    if run.target == highest.target:
        return run.fence < highest.fence
    return run.fence <= highest.fence


def lost_assignments(reported, stream):
    """Return the assignments that nodes reported and that the log does not hold.

    Parameters
    ----------
    reported : set of (str, str, int, str)
        Service, prefix, epoch and owner, as any node ever reported them.
    stream : list of (int, str)
        Offset and data of all records of the ownership stream.

    Returns
    -------
    lost : set of (str, str, int, str)
    """
    ownership = Ownership()
    held = set()
    for offset, data in stream:
        record = decode_record(data)
        if record.is_ok() and ownership.apply(offset + 1, record.ok_value):
            held |= assignments(ownership)
    return reported - held


def assignments(ownership):
    """Return service, prefix, epoch and owner of all shards with an owner."""
    return {
        (service, prefix, shard.epoch, shard.owner)
        for service in ownership.services()
        for prefix, shard in ownership.shards(service).items()
        if shard.owner
    }
