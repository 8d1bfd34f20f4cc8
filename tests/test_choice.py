"""Target selection for requests without a key."""

from collections import Counter
from typing import NamedTuple

import pytest
import trio
from raw_http import OK, ScriptedTarget, send_request

from jujuberudder_clients import TargetSelector
from jujuberudder_standins import Deployment

SECTION = """\
service: dispatch
routes: [{path_prefix: /dispatch/}]
idempotent_methods: [GET]
deadline_ms: 5000
"""
ZONES = ("dar-a", "dar-b", "dar-c")
ERROR_RESPONSE = b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
REQUESTS = 60


class Case(NamedTuple):
    """Behaviour of the target in dar-a and the most requests that it may get."""

    work_s: float
    response: bytes | None
    concurrent: int
    max_requests: int


CASES = {
    "fails fast": Case(0.0, ERROR_RESPONSE, 4, REQUESTS // 4),
    "breaks connections": Case(0.0, None, 4, REQUESTS // 4),
    "slow": Case(0.3, OK, 4, REQUESTS // 4),
}


@pytest.mark.parametrize("name", CASES)
async def test_impaired_target_gets_few_requests(name):
    """Guards against sending traffic to a failing or slow target."""
    case = CASES[name]
    counts, ready = Counter(), trio.Event()

    def script_of(zone):
        async def script(stream, head):
            if not ready.is_set():
                await stream.send_all(OK)
                return True
            counts[zone] += 1
            impaired = zone == "dar-a"
            await trio.sleep(case.work_s if impaired else 0.005)
            if impaired and case.response is None:
                return False
            await stream.send_all(case.response if impaired else OK)
            return True

        return script

    async with trio.open_nursery() as nursery:
        deployment = Deployment("lango", nursery)
        await deployment.start_log()
        deployment.publish("dispatch", SECTION)
        await deployment.start_member("jobs", "dar-a")
        for zone in ZONES:
            address = await nursery.start(ScriptedTarget(script_of(zone)).serve)
            await deployment.start_member("dispatch", zone, target_address=address)
        members = deployment.members
        entry = members["jobs-dar-a"].addresses.client
        for member in members.values():
            probe = (member.addresses.client, "GET", "/dispatch/1")
            while (await send_request(*probe)).status != 200:
                await trio.sleep(0.02)
        ready.set()
        remaining = [REQUESTS]

        async def worker():
            while remaining[0]:
                remaining[0] -= 1
                await send_request(entry, "GET", "/dispatch/1")

        async with trio.open_nursery() as requests:
            for _ in range(case.concurrent):
                requests.start_soon(worker)
        assert counts["dar-a"] <= case.max_requests
        nursery.cancel_scope.cancel()


async def run_requests(selector, candidates, number, failing=()):
    """Run requests sequentially and return the number that each target got."""
    counts = Counter()
    for _ in range(number):
        chosen, _ = selector.choose(candidates, 6)
        counts[chosen] += 1
        with selector.track(chosen) as tracked:
            await trio.sleep(0.01)
            tracked.failed = chosen in failing
    return counts


async def test_idle_local_zone_is_preferred(autojump_clock):
    """Guards against needless cost and delay of crossing availability zones."""
    selector = TargetSelector(lambda: "", lambda: 0)
    candidates = {"near": True, "far": False, "further": False}
    assert (await run_requests(selector, candidates, 50))["near"] == 50


async def test_recovered_target_is_tried_again(autojump_clock):
    """Guards against avoiding a target forever after it has failed."""
    selector = TargetSelector(lambda: "", lambda: 0)
    candidates = {"near": True, "far": False}
    counts = await run_requests(selector, candidates, 100, ("near",))
    assert counts["near"] <= 5
    await trio.sleep(30)
    assert (await run_requests(selector, candidates, 50))["near"] >= 45
