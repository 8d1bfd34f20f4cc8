"""Idempotency-Key: repeats get the first answer while the owner holds it."""

from typing import NamedTuple

import pytest
import trio
from raw_http import JOBS, OK, RawTarget, connect, header, start_raw, talk

from jujuberudder_clients import IdempotencyCache, _idempotency
from jujuberudder_core import Ownership, decode_record, encode_record, new_id, records
from jujuberudder_standins import Deployment


class Booking:
    """A target script that counts its runs and can be held, cut or made to refuse."""

    def __init__(self, mode="answers"):
        self.runs = 0
        self.reached = trio.Event()
        self.open = trio.Event()
        self.mode = mode

    async def script(self, stream, head):
        """Run a booking."""
        left = int(header(head, "content-length") or 0)
        while left:
            left -= len(await stream.receive_some(left))
        if b"/jobs/ready " in head:
            await stream.send_all(OK)
            return True
        self.runs += 1
        self.reached.set()
        if self.mode == "held":
            await self.open.wait()
        if self.mode == "cuts":
            return False
        if self.mode == "refuses":
            self.mode = "answers"
            await stream.send_all(
                b"HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
            )
            return True
        text = b"run %d" % self.runs
        answer = b"HTTP/1.1 201 Created\r\nX-Run: yes\r\nContent-Length: %d\r\n\r\n%s"
        await stream.send_all(answer % (len(text), text))
        return True


def keyed(key, request):
    """Return the headers of a booking."""
    return [("Idempotency-Key", key), ("Jujuberudder-Request-Id", request)]


class Repeat(NamedTuple):
    """What a target does, and what the repeat is told."""

    mode: str
    status: int
    outcome: str
    body: bytes | None
    runs: int


REPEATS = {
    "answered": Repeat("answers", 201, "completed", b"run 1", 1),
    "outcome lost": Repeat("cuts", 502, "unknown", None, 1),
    "refused": Repeat("refuses", 201, "completed", b"run 2", 2),
}


@pytest.mark.parametrize("name", REPEATS)
async def test_repeat(name):
    """Guards against a repeat that books twice or gets another answer."""
    case = REPEATS[name]
    booking = Booking(case.mode)
    async with trio.open_nursery() as nursery:
        _, addresses, _ = await start_raw(nursery, booking.script)
        await talk(addresses[0], "POST", "/jobs/1", keyed("k", "first"), b"a")
        reply = await talk(addresses[1], "POST", "/jobs/1", keyed("k", "again"), b"a")
        assert (reply.status, reply.outcome) == (case.status, case.outcome)
        assert case.body in (None, reply.body)
        assert booking.runs == case.runs
        assert reply.headers["jujuberudder-request-id"] == "again"
        if name == "answered":
            assert reply.headers["x-run"] == "yes"
            assert reply.headers["jujuberudder-first-request-id"] == "first"
        nursery.cancel_scope.cancel()


OTHERS = {
    "other body": ("k", "/jobs/1", b"b", 422),
    "other path": ("k", "/jobs/1/x", b"a", 422),
    "other idempotency key": ("l", "/jobs/1", b"a", 201),
    "other key": ("k", "/jobs/2", b"a", 201),
    "body too large": ("k", "/jobs/1", b"a" * 200_000, 413),
}


@pytest.mark.parametrize("name", OTHERS)
async def test_requests_that_are_no_repeats(name):
    """Guards against an answer that belongs to another request."""
    key, path, body, status = OTHERS[name]
    booking = Booking()
    async with trio.open_nursery() as nursery:
        _, addresses, _ = await start_raw(nursery, booking.script)
        await talk(addresses[0], "POST", "/jobs/1", keyed("k", "first"), b"a")
        reply = await talk(addresses[1], "POST", path, keyed(key, "other"), body)
        assert reply.status == status
        assert booking.runs == (2 if status == 201 else 1)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("first_leaves", [False, True])
async def test_duplicates_at_the_same_time(first_leaves):
    """Guards against duplicates that run while the first one is under way."""
    booking = Booking("held")
    replies = []

    async with trio.open_nursery() as nursery:
        _, addresses, _ = await start_raw(nursery, booking.script)

        async def ask(address, name):
            given = keyed("k", name)
            replies.append(await talk(address, "POST", "/jobs/1", given, b"a"))

        stream = await connect(addresses[1])
        await stream.send_all(
            b"POST /jobs/1 HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\n"
            b"Content-Length: 1\r\n\r\na"
        )
        await booking.reached.wait()
        if first_leaves:
            await stream.aclose()
        async with trio.open_nursery() as asking:
            for number in range(4):
                asking.start_soon(ask, addresses[number % 2], f"again{number}")
            await trio.sleep(0.2)
            booking.open.set()
        assert [(r.status, r.body) for r in replies] == [(201, b"run 1")] * 4
        assert booking.runs == 1
        nursery.cancel_scope.cancel()


async def test_repeat_after_the_shard_left():
    """Guards against a claim that first answers survive a change of owner."""
    first, second = Booking(), Booking()
    async with trio.open_nursery() as nursery:
        deployment = Deployment("lango", nursery)
        await deployment.start_log()
        version = deployment.publish("jobs", JOBS)
        for zone, booking in (("dar-a", first), ("dar-b", second)):
            address = await nursery.start(RawTarget(booking.script).serve)
            await deployment.start_member("jobs", zone, target_address=address)
            if zone == "dar-a":
                entry = deployment.members["jobs-dar-a"].addresses.client
                while (await talk(entry, "GET", "/jobs/ready")).status != 200:
                    await trio.sleep(0.02)
        await talk(entry, "POST", "/jobs/1", keyed("k", "first"), b"a")
        owner, other = ("dar-a", second) if first.runs else ("dar-b", first)
        deployment.publish("jobs", JOBS + f"drain: [jobs-{owner}]\n", version)
        with trio.fail_after(20):
            while not other.runs:
                given = keyed("k", "again")
                reply = await talk(entry, "POST", "/jobs/1", given, b"a")
                assert reply.status in (201, 503)
                await trio.sleep(0.1)
        assert (first.runs, second.runs) == (1, 1)
        nursery.cancel_scope.cancel()


def test_memory_is_bounded(monkeypatch):
    """Guards against first answers that fill the memory of a node."""
    monkeypatch.setattr(_idempotency, "MAX_ENTRIES", 100)
    monkeypatch.setattr(_idempotency, "MAX_TOTAL_BYTES", 10_000)
    answers = IdempotencyCache()
    for number in range(1000):
        entry = _idempotency._Entry(b"", None, 1)
        answers.begin(number, entry)
        answers.end(
            number, entry, _idempotency.CachedResponse(200, [], b"x" * (number % 300))
        )
        assert len(answers) <= 100
        assert answers.body_bytes <= 10_000
    assert answers.get(999) is not None
    assert answers.get(0) is None


async def test_repeat_after_a_split():
    """Guards against a first answer that is lost though its owner stays."""
    booking = Booking()
    async with trio.open_nursery() as nursery:
        _, addresses, deployment = await start_raw(nursery, booking.script)
        await talk(addresses[0], "POST", "/jobs/1", keyed("k", "first"), b"a")
        ownership = Ownership()
        for offset, data in deployment.log.stream("lango.ownership"):
            ownership.apply(offset + 1, decode_record(data).ok_value)
        prefix, shard = ownership.locate("jobs", "1")
        split = records.Split(new_id(), "jobs", prefix, shard.epoch)
        deployment.log.put("lango.ownership", encode_record(split))
        operator = deployment.members["jobs-dar-a"].addresses.operator
        with trio.fail_after(10):
            reply = await talk(operator, "GET", "/v1/owners")
            while f'"{prefix}0"' not in reply.body.decode():
                reply = await talk(operator, "GET", "/v1/owners")
        reply = await talk(addresses[1], "POST", "/jobs/1", keyed("k", "again"), b"a")
        assert (reply.status, reply.body) == (201, b"run 1")
        nursery.cancel_scope.cancel()
