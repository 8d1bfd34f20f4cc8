"""Compares the targets' records with what the clients were told."""

from collections import Counter, defaultdict
from typing import NamedTuple


class Told(NamedTuple):
    """What a client was told about one request.

    Parameters
    ----------
    outcome : str
        ``"completed"``, ``"not-run"`` or ``"unknown"``.
    idempotent : bool
    sha256_sent : str
    sha256_answered : str
        Hash that the target put into its answer, ``""`` without an answer.
    """

    request: str
    outcome: str
    idempotent: bool
    sha256_sent: str
    sha256_answered: str


class Violations(NamedTuple):
    """Broken promises; all are 0 when all promises hold."""

    double_owned: int
    duplicate_runs: int
    altered_bodies: int
    untrue_not_run: int
    lost_runs: int


def audit(runs, told):
    """Return the violations in a set of runs and outcomes.

    Parameters
    ----------
    runs : list of Run
        Of all targets.
    told : list of Told
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
        untrue_not_run=sum(
            one.outcome == "not-run" and counts[one.request] > 0 for one in told
        ),
        lost_runs=sum(
            one.outcome == "completed" and counts[one.request] == 0 for one in told
        ),
    )


def double_owned(runs):
    """Return how many runs show that a key had two owners.

    Runs of a key on two targets must not overlap, and the fence of a later run must not
    be lower than that of an earlier one. Runs without a fence are of services without
    keys.
    """
    by_key = defaultdict(list)
    for run in runs:
        if run.fence:
            by_key[run.path].append(run)
    return sum(map(_conflicts, by_key.values()))


def _conflicts(runs):
    runs = sorted(runs, key=lambda run: run.started)
    found = 0
    for earlier, later in zip(runs, runs[1:]):
        if earlier.target == later.target:
            continue
        overlap = later.started < earlier.ended
        found += overlap or later.fence <= earlier.fence
    return found
