"""Choice of a target for requests without a key, through real sockets."""

from collections import Counter
from typing import NamedTuple

import pytest
import trio
from raw_http import OK, RawTarget, talk

from jujuberudder_clients import TargetSelector
from jujuberudder_standins import Deployment

SECTION = """\
service: dispatch
routes: [{path_prefix: /dispatch/}]
idempotent_methods: [GET]
deadline_ms: 5000
"""
ZONES = ("dar-a", "dar-b", "dar-c")
ERROR = b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
REQUESTS = 60


class Case(NamedTuple):
    """What the target of dar-a does, and the most requests that it may get."""

    work_s: float
    answer: bytes | None
    concurrent: int
    most: int


CASES = {
    "fails fast": Case(0.0, ERROR, 4, REQUESTS // 4),
    "breaks connections": Case(0.0, None, 4, REQUESTS // 4),
    "slow": Case(0.3, OK, 4, REQUESTS // 4),
}


@pytest.mark.parametrize("name", CASES)
async def test_choice(name):
    """Guards against traffic that goes to a failing or slow target."""
    case = CASES[name]
    counts, ready = Counter(), trio.Event()

    def script_of(zone):
        async def script(stream, head):
            if not ready.is_set():
                await stream.send_all(OK)
                return True
            counts[zone] += 1
            bad = zone == "dar-a"
            await trio.sleep(case.work_s if bad else 0.005)
            if bad and case.answer is None:
                return False
            await stream.send_all(case.answer if bad else OK)
            return True

        return script

    async with trio.open_nursery() as nursery:
        deployment = Deployment("lango", nursery)
        await deployment.start_log()
        deployment.publish("dispatch", SECTION)
        await deployment.start_member("jobs", "dar-a")
        for zone in ZONES:
            address = await nursery.start(RawTarget(script_of(zone)).serve)
            await deployment.start_member("dispatch", zone, target_address=address)
        members = deployment.members
        entry = members["jobs-dar-a"].addresses.client
        for member in members.values():
            ask = (member.addresses.client, "GET", "/dispatch/1")
            while (await talk(*ask)).status != 200:
                await trio.sleep(0.02)
        ready.set()
        left = [REQUESTS]

        async def worker():
            while left[0]:
                left[0] -= 1
                await talk(entry, "GET", "/dispatch/1")

        async with trio.open_nursery() as asking:
            for _ in range(case.concurrent):
                asking.start_soon(worker)
        assert counts["dar-a"] <= case.most
        nursery.cancel_scope.cancel()


async def run_requests(choice, candidates, number, failing=()):
    """Run requests one after the other; return how many each target got."""
    counts = Counter()
    for _ in range(number):
        chosen, _ = choice.choose(candidates, 6)
        counts[chosen] += 1
        with choice.track(chosen) as flight:
            await trio.sleep(0.01)
            flight.failed = chosen in failing
    return counts


async def test_zones_are_not_crossed_without_need(autojump_clock):
    """Guards against the price and delay of crossing zones for nothing."""
    choice = TargetSelector(lambda: "", lambda: 0)
    candidates = {"near": True, "far": False, "further": False}
    assert (await run_requests(choice, candidates, 50))["near"] == 50


async def test_recovered_target_is_tried_again(autojump_clock):
    """Guards against a target that failed once and never gets requests again."""
    choice = TargetSelector(lambda: "", lambda: 0)
    candidates = {"near": True, "far": False}
    counts = await run_requests(choice, candidates, 100, ("near",))
    assert counts["near"] <= 5
    await trio.sleep(30)
    assert (await run_requests(choice, candidates, 50))["near"] >= 45
