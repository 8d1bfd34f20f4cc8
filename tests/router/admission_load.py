"""Simulates a load on the admission queue and returns the goodput of its clients."""

import random
from typing import NamedTuple

import trio
import trio.testing

from jujuberudder_router._admission import AdmissionQueue, Refused
from jujuberudder_router._frames import ForwardRequest


class Kind(NamedTuple):
    """A kind of request.

    Times are in seconds. ``share`` is its part of the arrivals, ``value`` is the worth
    of a response within the latency goal and ``late_value`` that of a later one.
    ``retries`` is how often a refused request is sent again.
    """

    share: float
    service_s: float
    latency_goal_s: float
    remaining_s: float
    priority: int
    value: float
    late_value: float
    retries: int = 1


class Outcome(NamedTuple):
    """Results of the clients.

    ``credit`` is the value of the responses and ``refused_late`` the value of requests
    refused after an eighth of their latency goal, both as shares of the value of all
    requests. ``served`` is the share of requests with a response. ``by_kind`` is the
    credit of each kind as a share of the value of its requests, ``served_by_kind`` the
    share of its requests with a response.
    """

    credit: float
    served: float
    refused_late: float
    by_kind: tuple
    served_by_kind: tuple


# Casa Pluma, with six slots: lookups with calls, and bookings together with checks.
LOOKUPS = (Kind(1.0, 0.1, 0.2, 0.5, 2, 1.0, 0.3),)
BOOKINGS = (
    Kind(0.35, 0.08, 0.25, 0.6, 1, 2.0, 0.6),
    Kind(0.65, 0.02, 0.08, 0.2, 1, 1.0, 0.3),
)
# Lango Gatefix, with 18 slots: uploads together with long histories.
MEDIA = (
    Kind(0.3, 0.19, 0.6, 2.5, 1, 2.0, 0.2),
    Kind(0.4, 0.64, 2.0, 4.0, 2, 1.0, 0.1),
    Kind(0.3, 0.04, 0.2, 0.5, 1, 1.0, 0.3),
)
# Meteor Count Sheet Mesh, with six slots: long fetches, and calls that running requests
# wait for. A late call is as good for its caller as one in time.
ARCHIVE = (
    Kind(0.58, 0.55, 1.5, 3.0, 2, 1.0, 0.1),
    Kind(0.42, 0.055, 0.2, 0.6, 1, 1.0, 1.0, 0),
)


def simulate(kinds, slots, load, duration_s=40.0, seed=1):
    """Simulate a load on a clock that skips idle time.

    Parameters
    ----------
    kinds : sequence of Kind
    slots : int
    load : float
        Offered work divided by the capacity of the slots.
    duration_s : float
        Time during which requests arrive, in seconds.
    seed : int

    Returns
    -------
    outcome : Outcome
    """
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(_simulate, kinds, slots, load, duration_s, seed, clock=clock)


async def _simulate(kinds, slots, load, duration_s, seed):
    rng = random.Random(seed)
    admission = AdmissionQueue(lambda key, now: True)
    admission.open(slots)
    mean_s = sum(k.share * k.service_s for k in kinds)
    rate = load * slots / mean_s
    results = [[] for _ in kinds]

    async def request(index, kind):
        started = trio.current_time()
        for sends in range(kind.retries + 1):
            sent = trio.current_time()
            remaining_s = started + kind.remaining_s - sent
            forward_request = ForwardRequest(
                0, "r", b"GET", b"/", [], b"", remaining_s, kind.latency_goal_s,
                kind.priority, None, "s", "s", str(index),
            )  # fmt: skip
            try:
                await admission.acquire(forward_request, sent)
            except Refused as refused:
                waited_s = trio.current_time() - sent
                if sends == kind.retries or refused.retry_after_s > remaining_s / 3:
                    results[index].append((None, waited_s))
                    return
                await trio.sleep(refused.retry_after_s)
                continue
            service = kind.service_s * rng.lognormvariate(-0.18, 0.6)
            await trio.sleep(
                min(service, started + kind.remaining_s - trio.current_time())
            )
            admission.release(forward_request, service)
            took = trio.current_time() - started
            results[index].append((took if took < kind.remaining_s else None, 0.0))
            return

    async with trio.open_nursery() as nursery:

        async def sample():
            while True:
                await trio.sleep(0.1)
                admission.sample_usage(trio.current_time())

        nursery.start_soon(sample)
        end = trio.current_time() + duration_s
        while trio.current_time() < end:
            await trio.sleep(rng.expovariate(rate))
            index = rng.choices(range(len(kinds)), [k.share for k in kinds])[0]
            nursery.start_soon(request, index, kinds[index])
        await trio.sleep(max(k.remaining_s for k in kinds))
        nursery.cancel_scope.cancel()
    return _summary(kinds, results)


def _summary(kinds, results):
    earned = owed = refused_late = 0.0
    by_kind, served_by_kind = [], []
    for kind, outcomes in zip(kinds, results):
        credit = [
            0
            if took_s is None
            else kind.value
            if took_s <= kind.latency_goal_s
            else kind.late_value
            for took_s, _ in outcomes
        ]
        earned += sum(credit)
        owed += kind.value * len(outcomes)
        served_by_kind.append(sum(1 for took_s, _ in outcomes if took_s is not None))
        refused_late += sum(
            kind.value
            for took_s, waited_s in outcomes
            if took_s is None and waited_s > kind.latency_goal_s / 8
        )
        by_kind.append(sum(credit) / (kind.value * max(1, len(outcomes))))
    counts = [len(outcomes) for outcomes in results]
    return Outcome(
        earned / owed,
        sum(served_by_kind) / sum(counts),
        refused_late / owed,
        tuple(by_kind),
        tuple(served / max(1, count) for served, count in zip(served_by_kind, counts)),
    )
