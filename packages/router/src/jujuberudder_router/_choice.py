"""Which VM of a service without keys runs a request: a function of what was heard."""

from typing import NamedTuple

# Seconds that a crossing between availability zones costs a request beside its delay:
# both ways on the links, and the price of the bytes.
CROSSING_S = 0.012
# Seconds per byte of a body that crosses: for the users, 60 KB between zones cost about
# a quarter of what an upload in time is worth, and being late most of it.
CROSSING_BYTE_S = 4e-6
# Time that a request is taken to run where no VM has run one, in seconds.
UNKNOWN_SERVICE_S = 0.1
# VMs of the own zone and of the others that one request compares. Where there are more,
# all nodes would send to the same few VMs until the next reports; out of a random
# handful, each VM gets part (power of two choices).
NEAR_SAMPLE, FAR_SAMPLE = 2, 1
# Age of a report, in seconds, beyond which the requests sent since count more than it.
REPORT_OLD_S = 1.0


class Candidate(NamedTuple):
    """A VM that may run a request, as this node sees it.

    ``own`` counts this node's requests there, ``service_s`` is 0 where none ran yet,
    and ``failures`` is a share in [0, 1].
    """

    vm: str
    same_zone: bool
    running: int
    queued: int
    slots: int
    service_s: float
    own: int
    age_s: float
    failures: float = 0.0


def cost(candidate, body_bytes):
    """Return the expected seconds until the answer, with the price of a crossing."""
    c = candidate
    seen = c.running + c.queued
    if c.age_s > REPORT_OLD_S:
        seen = max(seen, c.own)
    load = max(seen, c.own)
    slots = max(1, c.slots)
    wait = max(0, load + 1 - slots) * c.service_s / slots
    crowding = 0.1 * c.service_s * min(1.0, load / slots)
    crossing = 0.0 if c.same_zone else CROSSING_S + CROSSING_BYTE_S * body_bytes
    return (wait + c.service_s + crowding + crossing) / max(0.05, 1 - c.failures)


def sample(near, far, draw):
    """Return the VMs that one request compares: all of few, a handful of many.

    Parameters
    ----------
    near, far : list
        VMs of the own availability zone and of the others.
    draw : callable
        ``draw(items, count)`` returns different items, as ``random.sample``.
    """
    if len(near) + len(far) <= NEAR_SAMPLE + FAR_SAMPLE:
        return near + far
    near_count = min(len(near), NEAR_SAMPLE)
    far_count = min(len(far), NEAR_SAMPLE + FAR_SAMPLE - near_count)
    return draw(near, near_count) + draw(far, far_count)


def choose(candidates, body_bytes, jitter):
    """Return the candidate of least cost, or None.

    Parameters
    ----------
    candidates : list of Candidate
    body_bytes : int
    jitter : callable
        Returns numbers in [0, 1); parts equals so that nodes do not all pick one VM.
    """
    known = [c.service_s for c in candidates if c.service_s > 0]
    # A VM that has run nothing yet is taken to be as fast as the best.
    assumed = min(known, default=UNKNOWN_SERVICE_S)
    candidates = [
        c if c.service_s > 0 else c._replace(service_s=assumed) for c in candidates
    ]
    return min(
        candidates,
        key=lambda c: cost(c, body_bytes) * (1 + 0.05 * jitter()),
        default=None,
    )
