"""Checks immediately before the first byte of a request goes to the target."""

from typing import NamedTuple

import pytest
import trio
from raw_http import JOBS, OK, get_header, send_request, start_scripted

from jujuberudder_core import Ownership, decode_record, encode_record, new_id, records

SECTION = JOBS + "slots: 1\ncall_slots: 0\nslow_start_ms: 0\nretries: 10\n"


def read_ownership(deployment):
    """Return the ownership according to the log."""
    ownership = Ownership()
    for offset, data in deployment.log.stream("lango.ownership"):
        ownership.apply(offset + 1, decode_record(data).ok_value)
    return ownership


async def expire_lease(deployment):
    """Take down the log, without which the two nodes cannot renew their leases."""
    deployment.log.down = True
    operator = deployment.members["jobs-dar-a"].addresses.operator
    while (
        b'"lease_held":true' in (await send_request(operator, "GET", "/v1/status")).body
    ):
        await trio.sleep(0.05)


async def split_shard(deployment):
    """Split the shard of the key and wait until its owner has read the record."""
    prefix, shard = read_ownership(deployment).locate("jobs", "1")
    record = records.Split(new_id(), "jobs", prefix, shard.epoch)
    deployment.log.put("lango.ownership", encode_record(record))
    operator = deployment.members["jobs-dar-a"].addresses.operator
    child = f'"{prefix}0"'.encode()
    while child not in (await send_request(operator, "GET", "/v1/owners")).body:
        await trio.sleep(0.02)


async def no_change(deployment):
    """Change nothing."""


class Case(NamedTuple):
    """A change while a request waits for its slot, and the expected result."""

    change: object
    outcome: str
    runs: int


CASES = {
    "nothing": Case(no_change, "completed", 1),
    "lease lapses": Case(expire_lease, "not-run", 0),
    "shard splits": Case(split_shard, "completed", 1),
}


@pytest.mark.parametrize("forwarded", [0, 1], ids=["owner", "forwarded"])
@pytest.mark.parametrize("name", CASES)
async def test_ownership_is_checked_before_the_first_byte(name, forwarded):
    """Guards against starting a request under an expired lease or an old epoch."""
    case = CASES[name]
    holding, release = trio.Event(), trio.Event()

    async def script(stream, head):
        if b"/jobs/held " in head:
            holding.set()
            await release.wait()
        await stream.send_all(OK)
        return True

    async with trio.open_nursery() as nursery:
        target, addresses, deployment = await start_scripted(nursery, script, SECTION)
        nursery.start_soon(send_request, addresses[0], "POST", "/jobs/held")
        await holding.wait()
        responses = []

        async def send():
            request_headers = [("Jujuberudder-Deadline", "3500")]
            responses.append(
                await send_request(
                    addresses[forwarded], "POST", "/jobs/1", request_headers
                )
            )

        async with trio.open_nursery() as requests:
            requests.start_soon(send)
            await trio.sleep(0.2)
            await case.change(deployment)
            release.set()
        assert responses[0].outcome == case.outcome
        ran = [head for head in target.heads if b"/jobs/1 " in head]
        assert len(ran) == case.runs
        if name == "shard splits":
            _, shard = read_ownership(deployment).locate("jobs", "1")
            assert int(get_header(ran[0], "jujuberudder-fence")) == shard.epoch
        nursery.cancel_scope.cancel()


async def test_retries_are_limited_by_the_budget():
    """Guards against retries multiplying the load of a failing target."""
    failing = trio.Event()

    async def script(stream, head):
        if failing.is_set():
            return False
        await stream.send_all(OK)
        return True

    async with trio.open_nursery() as nursery:
        target, addresses, _ = await start_scripted(nursery, script, SECTION)
        failing.set()
        number = 100
        for _ in range(number):
            request_headers = [("Jujuberudder-Deadline", "1000")]
            response = await send_request(
                addresses[1], "GET", "/jobs/1", request_headers
            )
            assert response.outcome == "unknown"
        # A tenth of the requests, plus the initial tokens of the budget.
        assert number < len(target.heads) <= number + number / 10 + 10
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("forwarded", [0, 1], ids=["owner", "forwarded"])
async def test_expired_lease_cancels_a_running_request(forwarded):
    """Guards against a target that works on a key while the next owner serves it."""
    working, connection_closed = trio.Event(), trio.Event()

    async def script(stream, head):
        if b"/jobs/slow " in head:
            working.set()
            assert await stream.receive_some() == b""
            connection_closed.set()
            return False
        await stream.send_all(OK)
        return True

    async with trio.open_nursery() as nursery:
        _, addresses, deployment = await start_scripted(nursery, script, SECTION)
        responses = []

        async def send():
            responses.append(
                await send_request(addresses[forwarded], "POST", "/jobs/slow")
            )

        async with trio.open_nursery() as requests:
            requests.start_soon(send)
            await working.wait()
            await expire_lease(deployment)
            with trio.fail_after(30):
                await connection_closed.wait()
        assert (responses[0].status, responses[0].outcome) == (502, "unknown")
        nursery.cancel_scope.cancel()
