"""Plays a load on the gate on a fake clock and returns what its callers get."""

import random
from typing import NamedTuple

import trio
import trio.testing

from jujuberudder_router._admission import AdmissionQueue, Refused
from jujuberudder_router._frames import ForwardRequest


class Kind(NamedTuple):
    """A kind of request; times in seconds, ``share`` of the arrivals."""

    share: float
    service_s: float
    latency_goal_s: float
    remaining_s: float
    priority: int
    worth: float
    late_worth: float


class Found(NamedTuple):
    """What callers got, as shares of the requests or of the worth."""

    credit: float
    served: float
    held: float
    by_kind: tuple


# Casa Pluma: six slots, lookups with calls, and the same with bookings beside checks.
LOOKUPS = (Kind(1.0, 0.1, 0.2, 0.5, 2, 1.0, 0.3),)
BOOKINGS = (
    Kind(0.35, 0.08, 0.25, 0.6, 1, 2.0, 0.6),
    Kind(0.65, 0.02, 0.08, 0.2, 1, 1.0, 0.3),
)
# Lango Gatefix: 18 slots, uploads beside long histories.
MEDIA = (
    Kind(0.3, 0.19, 0.6, 2.5, 1, 2.0, 0.2),
    Kind(0.4, 0.64, 2.0, 4.0, 2, 1.0, 0.1),
    Kind(0.3, 0.04, 0.2, 0.5, 1, 1.0, 0.3),
)


def play(kinds, slots, load, duration_s=40.0, seed=1):
    """Play a load.

    Parameters
    ----------
    kinds : sequence of Kind
    slots : int
    load : float
        Offered work over what the slots can do.
    duration_s : float
    seed : int

    Returns
    -------
    found : Found
    """
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(_play, kinds, slots, load, duration_s, seed, clock=clock)


async def _play(kinds, slots, load, duration_s, seed):
    rng = random.Random(seed)
    admission = AdmissionQueue(lambda key, now: True)
    admission.open(slots)
    mean_s = sum(k.share * k.service_s for k in kinds)
    rate = load * slots / mean_s
    results = [[] for _ in kinds]

    async def request(index, kind):
        started = trio.current_time()
        for last in (False, True):
            sent = trio.current_time()
            left = started + kind.remaining_s - sent
            ask = ForwardRequest(
                0, "r", b"GET", b"/", [], b"", left, kind.latency_goal_s, kind.priority,
                None, "s", "s", str(index),
            )  # fmt: skip
            try:
                await admission.acquire(ask, sent)
            except Refused as refused:
                held = trio.current_time() - sent
                if last or refused.retry_after_s > left / 3:
                    results[index].append((None, held))
                    return
                await trio.sleep(refused.retry_after_s)
                continue
            service = kind.service_s * rng.lognormvariate(-0.18, 0.6)
            await trio.sleep(
                min(service, started + kind.remaining_s - trio.current_time())
            )
            admission.release(ask, service)
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
    earned = owed = served = held = 0.0
    by_kind = []
    for kind, found in zip(kinds, results):
        credit = [
            0
            if t is None
            else kind.worth
            if t <= kind.latency_goal_s
            else kind.late_worth
            for t, _ in found
        ]
        earned += sum(credit)
        owed += kind.worth * len(found)
        served += sum(1 for t, _ in found if t is not None)
        held += sum(
            kind.worth for t, h in found if t is None and h > kind.latency_goal_s / 8
        )
        by_kind.append(sum(credit) / (kind.worth * max(1, len(found))))
    total = sum(len(found) for found in results)
    return Found(earned / owed, served / total, held / owed, tuple(by_kind))
