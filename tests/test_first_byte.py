"""What is checked again right before the first byte goes to the target."""

from typing import NamedTuple

import pytest
import trio
from raw_http import JOBS, OK, header, start_raw, talk

from jujuberudder_core import Ownership, decode_record, encode_record, new_id, records

SECTION = JOBS + "slots: 1\ncall_slots: 0\nslow_start_ms: 0\nretries: 10\n"


def fold(deployment):
    """Return the ownership as the log has it."""
    ownership = Ownership()
    for offset, data in deployment.log.stream("lango.ownership"):
        ownership.apply(offset + 1, decode_record(data).ok_value)
    return ownership


async def lapse(deployment):
    """Cut the log off, without which two nodes cannot keep their leases."""
    deployment.log.down = True
    operator = deployment.members["jobs-dar-a"].addresses.operator
    while b'"lease_held":true' in (await talk(operator, "GET", "/v1/status")).body:
        await trio.sleep(0.05)


async def split(deployment):
    """Split the shard of the key, and wait until its owner knows."""
    prefix, shard = fold(deployment).locate("jobs", "1")
    record = records.Split(new_id(), "jobs", prefix, shard.epoch)
    deployment.log.put("lango.ownership", encode_record(record))
    operator = deployment.members["jobs-dar-a"].addresses.operator
    child = f'"{prefix}0"'.encode()
    while child not in (await talk(operator, "GET", "/v1/owners")).body:
        await trio.sleep(0.02)


async def nothing(deployment):
    """Change nothing."""


class Case(NamedTuple):
    """What happens while a request waits for its slot."""

    change: object
    outcome: str
    runs: int


CASES = {
    "nothing": Case(nothing, "completed", 1),
    "lease lapses": Case(lapse, "not-run", 0),
    "shard splits": Case(split, "completed", 1),
}


@pytest.mark.parametrize("over_hop", [0, 1], ids=["owner", "forwarded"])
@pytest.mark.parametrize("name", CASES)
async def test_change_while_waiting(name, over_hop):
    """Guards against a request that starts under a lease or epoch that has ended."""
    case = CASES[name]
    holding, release = trio.Event(), trio.Event()

    async def script(stream, head):
        if b"/jobs/held " in head:
            holding.set()
            await release.wait()
        await stream.send_all(OK)
        return True

    async with trio.open_nursery() as nursery:
        target, addresses, deployment = await start_raw(nursery, script, SECTION)
        nursery.start_soon(talk, addresses[0], "POST", "/jobs/held")
        await holding.wait()
        replies = []

        async def ask():
            given = [("Jujuberudder-Deadline", "3500")]
            replies.append(await talk(addresses[over_hop], "POST", "/jobs/1", given))

        async with trio.open_nursery() as asking:
            asking.start_soon(ask)
            await trio.sleep(0.2)
            await case.change(deployment)
            release.set()
        assert replies[0].outcome == case.outcome
        ran = [head for head in target.heads if b"/jobs/1 " in head]
        assert len(ran) == case.runs
        if name == "shard splits":
            _, shard = fold(deployment).locate("jobs", "1")
            assert int(header(ran[0], "jujuberudder-fence")) == shard.epoch
        nursery.cancel_scope.cancel()


async def test_retry_budget():
    """Guards against repeats that multiply the load of a target that fails."""
    failing = trio.Event()

    async def script(stream, head):
        if failing.is_set():
            return False
        await stream.send_all(OK)
        return True

    async with trio.open_nursery() as nursery:
        target, addresses, _ = await start_raw(nursery, script, SECTION)
        failing.set()
        number = 100
        for _ in range(number):
            given = [("Jujuberudder-Deadline", "1000")]
            reply = await talk(addresses[1], "GET", "/jobs/1", given)
            assert reply.outcome == "unknown"
        # A tenth of the requests, and what was saved before.
        assert number < len(target.heads) <= number + number / 10 + 10
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("over_hop", [0, 1], ids=["owner", "forwarded"])
async def test_lease_lapses_while_the_target_works(over_hop):
    """Guards against work for a key that overlaps with that of its next owner."""
    working, broken_off = trio.Event(), trio.Event()

    async def script(stream, head):
        if b"/jobs/slow " in head:
            working.set()
            assert await stream.receive_some() == b""
            broken_off.set()
            return False
        await stream.send_all(OK)
        return True

    async with trio.open_nursery() as nursery:
        _, addresses, deployment = await start_raw(nursery, script, SECTION)
        replies = []

        async def ask():
            replies.append(await talk(addresses[over_hop], "POST", "/jobs/slow"))

        async with trio.open_nursery() as asking:
            asking.start_soon(ask)
            await working.wait()
            await lapse(deployment)
            with trio.fail_after(30):
                await broken_off.wait()
        assert (replies[0].status, replies[0].outcome) == (502, "unknown")
        nursery.cancel_scope.cancel()
