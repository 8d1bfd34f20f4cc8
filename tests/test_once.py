"""Idempotency-Key: retries get the first response while the owner caches it."""

from typing import NamedTuple

import pytest
import trio
from raw_http import (
    JOBS,
    OK,
    ScriptedTarget,
    connect,
    get_header,
    send_request,
    start_scripted,
)

from jujuberudder_clients import IdempotencyCache, _idempotency
from jujuberudder_core import Ownership, decode_record, encode_record, new_id, records
from jujuberudder_standins import Deployment


class Booking:
    """A target script that counts its runs and can block, disconnect or refuse."""

    def __init__(self, mode="responds"):
        self.runs = 0
        self.reached = trio.Event()
        self.released = trio.Event()
        self.mode = mode

    async def script(self, stream, head):
        """Count a run and behave according to the mode."""
        remaining_bytes = int(get_header(head, "content-length") or 0)
        while remaining_bytes:
            remaining_bytes -= len(await stream.receive_some(remaining_bytes))
        if b"/jobs/ready " in head:
            await stream.send_all(OK)
            return True
        self.runs += 1
        self.reached.set()
        if self.mode == "blocks":
            await self.released.wait()
        if self.mode == "disconnects":
            return False
        if self.mode == "refuses":
            self.mode = "responds"
            await stream.send_all(
                b"HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
            )
            return True
        text = b"run %d" % self.runs
        response = b"HTTP/1.1 201 Created\r\nX-Run: yes\r\nContent-Length: %d\r\n\r\n%s"
        await stream.send_all(response % (len(text), text))
        return True


def booking_headers(key, request):
    """Return the headers of a booking request."""
    return [("Idempotency-Key", key), ("Jujuberudder-Request-Id", request)]


class RetryCase(NamedTuple):
    """Behaviour of the target and the expected response to the retry."""

    mode: str
    status: int
    outcome: str
    body: bytes | None
    runs: int


RETRY_CASES = {
    "answered": RetryCase("responds", 201, "completed", b"run 1", 1),
    "outcome lost": RetryCase("disconnects", 502, "unknown", None, 1),
    "refused": RetryCase("refuses", 201, "completed", b"run 2", 2),
}


@pytest.mark.parametrize("name", RETRY_CASES)
async def test_retry_gets_the_result_of_the_first_request(name):
    """Guards against a retry that books twice or gets a different response."""
    case = RETRY_CASES[name]
    booking = Booking(case.mode)
    async with trio.open_nursery() as nursery:
        _, addresses, _ = await start_scripted(nursery, booking.script)
        await send_request(
            addresses[0], "POST", "/jobs/1", booking_headers("k", "first"), b"a"
        )
        response = await send_request(
            addresses[1], "POST", "/jobs/1", booking_headers("k", "again"), b"a"
        )
        assert (response.status, response.outcome) == (case.status, case.outcome)
        assert case.body in (None, response.body)
        assert booking.runs == case.runs
        assert response.headers["jujuberudder-request-id"] == "again"
        if name == "answered":
            assert response.headers["x-run"] == "yes"
            assert response.headers["jujuberudder-first-request-id"] == "first"
        nursery.cancel_scope.cancel()


DIFFERENT_REQUESTS = {
    "other body": ("k", "/jobs/1", b"b", 422),
    "other path": ("k", "/jobs/1/x", b"a", 422),
    "other idempotency key": ("l", "/jobs/1", b"a", 201),
    "other key": ("k", "/jobs/2", b"a", 201),
    "body too large": ("k", "/jobs/1", b"a" * 200_000, 413),
}


@pytest.mark.parametrize("name", DIFFERENT_REQUESTS)
async def test_different_requests_get_no_cached_response(name):
    """Guards against replaying the response to a different request."""
    key, path, body, status = DIFFERENT_REQUESTS[name]
    booking = Booking()
    async with trio.open_nursery() as nursery:
        _, addresses, _ = await start_scripted(nursery, booking.script)
        await send_request(
            addresses[0], "POST", "/jobs/1", booking_headers("k", "first"), b"a"
        )
        response = await send_request(
            addresses[1], "POST", path, booking_headers(key, "other"), body
        )
        assert response.status == status
        assert booking.runs == (2 if status == 201 else 1)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("first_disconnects", [False, True])
async def test_concurrent_duplicates_run_once(first_disconnects):
    """Guards against running duplicates while the first request is in progress."""
    booking = Booking("blocks")
    responses = []

    async with trio.open_nursery() as nursery:
        _, addresses, _ = await start_scripted(nursery, booking.script)

        async def send_retry(address, name):
            request_headers = booking_headers("k", name)
            responses.append(
                await send_request(address, "POST", "/jobs/1", request_headers, b"a")
            )

        stream = await connect(addresses[1])
        await stream.send_all(
            b"POST /jobs/1 HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\n"
            b"Content-Length: 1\r\n\r\na"
        )
        await booking.reached.wait()
        if first_disconnects:
            await stream.aclose()
        async with trio.open_nursery() as requests:
            for number in range(4):
                requests.start_soon(send_retry, addresses[number % 2], f"again{number}")
            await trio.sleep(0.2)
            booking.released.set()
        assert [(r.status, r.body) for r in responses] == [(201, b"run 1")] * 4
        assert booking.runs == 1
        nursery.cancel_scope.cancel()


async def test_retry_after_a_change_of_owner_runs_again():
    """Guards against assuming that the cache survives a change of owner."""
    first, second = Booking(), Booking()
    async with trio.open_nursery() as nursery:
        deployment = Deployment("lango", nursery)
        await deployment.start_log()
        version = deployment.publish("jobs", JOBS)
        for zone, booking in (("dar-a", first), ("dar-b", second)):
            address = await nursery.start(ScriptedTarget(booking.script).serve)
            await deployment.start_member("jobs", zone, target_address=address)
            if zone == "dar-a":
                entry = deployment.members["jobs-dar-a"].addresses.client
                while (await send_request(entry, "GET", "/jobs/ready")).status != 200:
                    await trio.sleep(0.02)
        await send_request(
            entry, "POST", "/jobs/1", booking_headers("k", "first"), b"a"
        )
        owner, other = ("dar-a", second) if first.runs else ("dar-b", first)
        deployment.publish("jobs", JOBS + f"drain: [jobs-{owner}]\n", version)
        with trio.fail_after(20):
            while not other.runs:
                request_headers = booking_headers("k", "again")
                response = await send_request(
                    entry, "POST", "/jobs/1", request_headers, b"a"
                )
                assert response.status in (201, 503)
                await trio.sleep(0.1)
        assert (first.runs, second.runs) == (1, 1)
        nursery.cancel_scope.cancel()


def test_cache_is_bounded(monkeypatch):
    """Guards against cached responses filling the memory of a node."""
    monkeypatch.setattr(_idempotency, "MAX_ENTRIES", 100)
    monkeypatch.setattr(_idempotency, "MAX_TOTAL_BYTES", 10_000)
    cache = IdempotencyCache()
    for number in range(1000):
        entry = _idempotency._Entry(b"", None, 1)
        cache.begin(number, entry)
        cache.end(
            number, entry, _idempotency.CachedResponse(200, [], b"x" * (number % 300))
        )
        assert len(cache) <= 100
        assert cache.body_bytes <= 10_000
    assert cache.get(999) is not None
    assert cache.get(0) is None


async def test_retry_after_a_split_gets_the_first_response():
    """Guards against dropping a cached response although its owner stays the same."""
    booking = Booking()
    async with trio.open_nursery() as nursery:
        _, addresses, deployment = await start_scripted(nursery, booking.script)
        await send_request(
            addresses[0], "POST", "/jobs/1", booking_headers("k", "first"), b"a"
        )
        ownership = Ownership()
        for offset, data in deployment.log.stream("lango.ownership"):
            ownership.apply(offset + 1, decode_record(data).ok_value)
        prefix, shard = ownership.locate("jobs", "1")
        split = records.Split(new_id(), "jobs", prefix, shard.epoch)
        deployment.log.put("lango.ownership", encode_record(split))
        operator = deployment.members["jobs-dar-a"].addresses.operator
        with trio.fail_after(10):
            response = await send_request(operator, "GET", "/v1/owners")
            while f'"{prefix}0"' not in response.body.decode():
                response = await send_request(operator, "GET", "/v1/owners")
        response = await send_request(
            addresses[1], "POST", "/jobs/1", booking_headers("k", "again"), b"a"
        )
        assert (response.status, response.body) == (201, b"run 1")
        nursery.cancel_scope.cancel()
