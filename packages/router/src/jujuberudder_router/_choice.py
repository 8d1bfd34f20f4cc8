"""Selection of the VM that runs a request of a service without keys.

It depends only on the load reports of the VMs and on this node's own requests.
"""

from typing import NamedTuple

# Cost in seconds of a request to another availability zone, beside its delay: both ways
# over the network, and the price of the bytes.
ZONE_CROSSING_S = 0.012
# Cost in seconds per byte of a body sent to another availability zone: for the users,
# 60 KB between zones cost about a quarter of the value of an upload in time, and a late
# response costs most of that value.
ZONE_CROSSING_BYTE_S = 4e-6
# Service time, in seconds, that is assumed if no VM has run a request yet.
INITIAL_SERVICE_S = 0.1
# Numbers of VMs in the own availability zone and in others that are compared for one
# request. If all VMs were compared, all nodes would send to the same few VMs until the
# next reports; with a small random sample each VM gets a part (power of two choices).
SAME_ZONE_SAMPLE_SIZE, OTHER_ZONE_SAMPLE_SIZE = 2, 1
# Round trip of a ping, in seconds, on links without a queue: twice the delay between
# availability zones, and late timers.
UNLOADED_ROUND_TRIP_S = 0.02
# Age of a report, in seconds, beyond which this node's own requests replace the
# reported ones if they exceed them. ``cost`` counts the greater of both at any age, so
# the limit does not change its result.
MAX_REPORT_AGE_S = 1.0


class Candidate(NamedTuple):
    """A VM that may run a request, with the load known to this node.

    ``slots`` is below one if a rate limit keeps less than one slot busy.
    ``service_s`` is the mean service time in seconds, or 0 if no request has run there
    yet, ``run_s`` the expected one of the request's route, or 0 if it is not known, and
    ``own_requests`` the number of this node's requests there, ``report_age_s`` the
    age of the load report in seconds, ``failure_share`` the share of requests that
    fail, in [0, 1], ``round_trip_s`` the time of a ping and its pong in seconds, and
    ``byte_s`` the time that a byte takes on the link of this node, or 0 if the VM is
    this node's own. ``cold`` is whether its target states that it is cold.
    """

    vm: str
    same_zone: bool
    running: int
    queued: int
    slots: float
    service_s: float
    own_requests: int
    report_age_s: float
    failure_share: float = 0.0
    round_trip_s: float = 0.0
    byte_s: float = 0.0
    run_s: float = 0.0
    cold: bool = False


def cost(candidate, body_bytes):
    """Return the expected time until the response in seconds, plus zone costs.

    The sum is divided by the share of requests that succeed.
    """
    c = candidate
    reported = c.running + c.queued
    if c.report_age_s > MAX_REPORT_AGE_S:
        reported = max(reported, c.own_requests)
    load = max(reported, c.own_requests)
    slots = c.slots or 1
    wait = max(0, load + 1 - slots) * c.service_s / slots
    # The requests that run before are of all routes, this one is of its own route.
    run_s = c.run_s or c.service_s
    load_cost = 0.1 * run_s * min(1.0, load / slots)
    zone_cost = (
        0.0 if c.same_zone else ZONE_CROSSING_S + ZONE_CROSSING_BYTE_S * body_bytes
    )
    # The request and its response wait behind what fills the links, as a ping did.
    link_wait = max(0.0, c.round_trip_s - UNLOADED_ROUND_TRIP_S)
    link_wait += c.byte_s * body_bytes
    time = wait + link_wait + run_s + load_cost + zone_cost
    return time / max(0.05, 1 - c.failure_share)


def sample(same_zone_vms, other_zone_vms, draw):
    """Return the VMs to compare for one request: all, or a random sample of many.

    Parameters
    ----------
    same_zone_vms, other_zone_vms : list
        VMs of the own availability zone and of the others.
    draw : callable
        ``draw(items, count)`` returns distinct items, as ``random.sample`` does.

    Returns
    -------
    vms : list
    """
    if (
        len(same_zone_vms) + len(other_zone_vms)
        <= SAME_ZONE_SAMPLE_SIZE + OTHER_ZONE_SAMPLE_SIZE
    ):
        return same_zone_vms + other_zone_vms
    same_zone_count = min(len(same_zone_vms), SAME_ZONE_SAMPLE_SIZE)
    other_zone_count = min(
        len(other_zone_vms),
        SAME_ZONE_SAMPLE_SIZE + OTHER_ZONE_SAMPLE_SIZE - same_zone_count,
    )
    return draw(same_zone_vms, same_zone_count) + draw(other_zone_vms, other_zone_count)


def with_assumed_times(candidates):
    """Return candidates with service times.

    A VM that has run no request yet is assumed to be as fast as the fastest one.
    """
    known = [c.service_s for c in candidates if c.service_s > 0]
    assumed = min(known, default=INITIAL_SERVICE_S)
    return [c if c.service_s > 0 else c._replace(service_s=assumed) for c in candidates]


def has_free_slot(candidate):
    """Return whether a VM has a free slot and no queue, as far as is known."""
    c = candidate
    return not c.queued and max(c.running, c.own_requests) + 1 <= c.slots


def has_free_other(candidates, chosen):
    """Return whether a VM other than the chosen one has a free slot and no queue."""
    return any(c.vm != chosen.vm and has_free_slot(c) for c in candidates)


def choose(candidates, body_bytes, jitter):
    """Return the candidate with the lowest cost, or None if there are none.

    Parameters
    ----------
    candidates : list of Candidate
    body_bytes : int
    jitter : callable
        Returns random numbers in [0, 1). They separate candidates of equal cost, so
        that the nodes do not all choose the same VM.

    Returns
    -------
    candidate : Candidate or None
    """
    return min(
        with_assumed_times(candidates),
        key=lambda c: cost(c, body_bytes) * (1 + 0.05 * jitter()),
        default=None,
    )
