"""Admission to the target under contention, through real sockets."""

import math
import re
from typing import NamedTuple

import pytest
import trio
from raw_http import (
    JOBS,
    OK,
    ScriptedTarget,
    get_header,
    read_response,
    send_request,
    start_scripted,
)

from jujuberudder_standins import Deployment
from jujuberudder_targets import Admission, AdmissionRequest, Limits

SHED_RESPONSE = b"HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"


class BlockingScript:
    """A target script that blocks requests until it is released."""

    def __init__(self, work_s=0.0):
        self.released = trio.Event()
        self.running = 0
        self.max_running = 0
        self.order = []
        self._work_s = work_s

    async def script(self, stream, head):
        """Read a request and respond after the release."""
        remaining_bytes = int(get_header(head, "content-length") or 0)
        while remaining_bytes:
            remaining_bytes -= len(await stream.receive_some(remaining_bytes))
        if b"/jobs/ready " not in head:
            self.order.append(head.split()[1].decode())
            self.running += 1
            self.max_running = max(self.max_running, self.running)
            await self.released.wait()
            await trio.sleep(self._work_s)
            self.running -= 1
        await stream.send_all(OK)
        return True


async def post_from(address, path, responses, source="127.0.0.1", deadline_ms=5000):
    """Send a request from a loopback address and record the response."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port), local_address=source)
    async with stream:
        head = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n"
        head += f"Jujuberudder-Deadline: {deadline_ms}\r\n\r\n"
        await stream.send_all(head.encode())
        responses.append((path, await read_response(stream)))


async def wait_until_queued(member, count):
    """Wait until a number of requests wait for the target of a member."""
    waiting = rf"jujuberudder_queue_waiting\{{.*\}} {count}\.0\n".encode()
    with trio.fail_after(5):
        while True:
            metrics = await send_request(member.addresses.operator, "GET", "/metrics")
            if re.search(waiting, metrics.body):
                return
            await trio.sleep(0.02)


class Contention(NamedTuple):
    """Requests sent first and later, and those that must get the first free slots."""

    first: list
    later: list
    served_first: set


CONTENTION = {
    # One client holds both slots and queues four more requests; another client is last.
    "one client": Contention(
        [(f"/jobs/{n}", "127.0.0.1", 4000) for n in range(6)],
        [("/jobs/other", "127.0.0.2", 5000)],
        {"/jobs/other"},
    ),
    "one hot key": Contention(
        [("/jobs/hot", "127.0.0.1", 4000 + n) for n in range(6)],
        [("/jobs/cold", "127.0.0.1", 5000)],
        {"/jobs/cold"},
    ),
    "deadline": Contention(
        [(f"/jobs/{n}", f"127.0.0.{n + 1}", 5000) for n in range(5)],
        [("/jobs/urgent", "127.0.0.9", 3000)],
        {"/jobs/urgent"},
    ),
}


@pytest.mark.parametrize("name", CONTENTION)
async def test_freed_slots_go_to_the_entitled_request(name):
    """Guards against one client, one key or late deadlines occupying all slots."""
    case = CONTENTION[name]
    blocking, responses = BlockingScript(), []
    section = JOBS + "slots: 2\ncall_slots: 0\nslow_start_ms: 0\n"
    async with trio.open_nursery() as nursery:
        _, addresses, deployment = await start_scripted(
            nursery, blocking.script, section
        )
        await trio.sleep(0.1)
        async with trio.open_nursery() as requests:
            for path, source, deadline in case.first:
                requests.start_soon(
                    post_from, addresses[1], path, responses, source, deadline
                )
                await trio.sleep(0.03)
            for path, source, deadline in case.later:
                requests.start_soon(
                    post_from, addresses[1], path, responses, source, deadline
                )
            owner = deployment.members["jobs-dar-a"]
            await wait_until_queued(owner, len(case.first) + len(case.later) - 2)
            # The target has not yet seen a request that has just left the queue.
            with trio.fail_after(5):
                while blocking.running < 2:
                    await trio.sleep(0.01)
            assert blocking.max_running == 2
            blocking.released.set()
        assert [response.status for _, response in responses] == [200] * len(responses)
        # Both slots become free at the same time.
        assert case.served_first <= set(blocking.order[2:4])
        assert blocking.max_running == 2
        nursery.cancel_scope.cancel()


async def test_request_that_cannot_meet_its_deadline_is_refused():
    """Guards against queueing hopeless requests and refusing without Retry-After."""
    blocking, responses = BlockingScript(work_s=0.2), []
    async with trio.open_nursery() as nursery:
        section = JOBS + "slots: 1\ncall_slots: 0\n"
        target, addresses, _ = await start_scripted(nursery, blocking.script, section)
        blocking.released.set()
        for number in range(20):
            await post_from(addresses[0], f"/jobs/{number}", responses)
        target.heads.clear()
        responses.clear()
        async with trio.open_nursery() as requests:
            for number in range(8):
                requests.start_soon(
                    post_from, addresses[0], f"/jobs/{number}", responses
                )
            await trio.sleep(0.1)
            late = []
            await post_from(addresses[0], "/jobs/late", late, deadline_ms=250)
            assert len(responses) < 8
        response = late[0][1]
        assert (response.status, response.outcome) == (503, "not-run")
        assert int(response.headers["retry-after"]) >= 1
        assert "deadline cannot be met" in response.body.decode()
        assert not [head for head in target.heads if b"/jobs/late" in head]
        assert [item.status for _, item in responses] == [200] * 8
        nursery.cancel_scope.cancel()


async def test_shed_requests_are_refused_with_retry_after():
    """Guards against reporting a shed request as run, or dropping its Retry-After."""
    shedding = trio.Event()

    async def script(stream, head):
        if shedding.is_set() and b"/jobs/ready" not in head:
            await stream.send_all(SHED_RESPONSE)
        else:
            await stream.send_all(OK)
        return True

    async with trio.open_nursery() as nursery:
        _, addresses, deployment = await start_scripted(nursery, script)
        responses = []
        shedding.set()
        for number in range(4):
            await post_from(addresses[0], f"/jobs/{number}", responses)
            await trio.sleep(0.21)
        for _, response in responses:
            assert (response.status, response.outcome) == (503, "not-run")
            assert response.headers["retry-after"] == "3"
        nursery.cancel_scope.cancel()


async def test_capacity_after_cold_start_and_shedding(autojump_clock):
    """Guards against full load on a cold target or one that has just shed load."""
    admission = Admission(lambda: Limits(20, 100), lambda: 0.0)
    assert admission.capacity() == 5
    await trio.sleep(2.5)
    assert 11 <= admission.capacity() <= 13
    await trio.sleep(5)
    assert admission.capacity() == 20
    for _ in range(3):
        admission.shed()
        await trio.sleep(0.3)
    reduced = admission.capacity()
    assert reduced <= 8
    for _ in range(300):
        async with admission.slot(AdmissionRequest(math.inf)) as admitted:
            assert admitted.is_ok()
            await trio.sleep(0.01)
    assert admission.capacity() == 20


async def test_cancelled_waiters_release_their_slots(autojump_clock):
    """Guards against leaking the slots of requests cancelled while queued."""
    admission = Admission(lambda: Limits(1, 10))

    async def hold(seconds):
        async with admission.slot(AdmissionRequest(trio.current_time() + 5)):
            await trio.sleep(seconds)

    for cancel_at in (0.05, 0.1, 0.15):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(hold, 0.1)
            await trio.sleep(0.01)
            for _ in range(5):
                nursery.start_soon(hold, 0.1)
            await trio.sleep(cancel_at)
            nursery.cancel_scope.cancel()
        assert (admission.used, admission.waiting) == (0, 0)


async def test_full_queue_evicts_the_largest_client(autojump_clock):
    """Guards against one client filling the queue."""
    admission = Admission(lambda: Limits(1, 3))
    results = []

    async def request_slot(client):
        async with admission.slot(
            AdmissionRequest(trio.current_time() + 50, client)
        ) as admitted:
            results.append((client, admitted.is_ok()))
            await trio.sleep(1)

    async with trio.open_nursery() as nursery:
        for client in "aaaa":
            nursery.start_soon(request_slot, client)
            await trio.sleep(0.01)
        nursery.start_soon(request_slot, "a")
        await trio.sleep(0.01)
        nursery.start_soon(request_slot, "b")
    assert ("b", True) in results
    assert results.count(("a", True)) == 3
    assert results.count(("a", False)) == 2


SECTION = """\
service: {0}
routes: [{{path_prefix: /{0}/}}]
deadline_ms: 8000
slots: 2
slow_start_ms: 0
"""


@pytest.mark.parametrize("cyclic", [False, True], ids=["there", "there and back"])
async def test_services_that_call_each_other_do_not_deadlock(cyclic):
    """Guards against client requests holding all slots that their own calls need."""
    nodes = {}
    calls = []

    def calls_to(service, max_depth):
        async def script(stream, head):
            remaining_bytes = int(get_header(head, "content-length") or 0)
            while remaining_bytes:
                remaining_bytes -= len(await stream.receive_some(remaining_bytes))
            depth = int(get_header(head, "jujuberudder-call") or 1)
            if depth <= max_depth and b"/ready" not in head:
                request_headers = [("Jujuberudder-Call", str(depth))]
                response = await send_request(
                    nodes[service], "POST", f"/{service}/x", request_headers
                )
                calls.append((depth, response.status, response.outcome))
            await trio.sleep(0.01)
            await stream.send_all(OK)
            return True

        return script

    depth = 3 if cyclic else 1
    async with trio.open_nursery() as nursery:
        deployment = Deployment("casa-pluma", nursery)
        await deployment.start_log()
        for service, other in (("orders", "proofs"), ("proofs", "orders")):
            deployment.publish(service, SECTION.format(service))
            target = ScriptedTarget(calls_to(other, depth))
            address = await nursery.start(target.serve)
            member = await deployment.start_member(
                service, "mnl-a", target_address=address
            )
            nodes[service] = member.addresses.client
        for service, address in nodes.items():
            while (
                await send_request(address, "GET", f"/{service}/ready")
            ).status != 200:
                await trio.sleep(0.05)
        responses = []
        with trio.fail_after(6):
            async with trio.open_nursery() as requests:
                for number in range(6):
                    for service, address in nodes.items():
                        path = f"/{service}/{number}"
                        requests.start_soon(post_from, address, path, responses)
        assert [response.status for _, response in responses] == [200] * 12
        assert [item for item in calls if item[0] == 1 and item[1] == 200]
        # A call at depth 3 is served immediately or refused; it is never queued.
        assert all(item[1] == 200 or item[2] == "not-run" for item in calls)
        nursery.cancel_scope.cancel()


async def test_calls_use_at_most_half_of_the_slots(autojump_clock):
    """Guards against calls between services starving client requests."""
    admission = Admission(lambda: Limits(6, 100, 1))
    results = []

    async def hold(depth):
        admission_request = AdmissionRequest(
            trio.current_time() + 100, str(depth), None, depth
        )
        async with admission.slot(admission_request) as admitted:
            results.append((depth, admitted.is_ok()))
            await trio.sleep(10)

    async with trio.open_nursery() as nursery:
        for _ in range(8):
            nursery.start_soon(hold, 1)
        await trio.sleep(1)
        assert results == [(1, True)] * 3
        for _ in range(8):
            nursery.start_soon(hold, 0)
        await trio.sleep(1)
        assert results.count((0, True)) == 3
        nursery.cancel_scope.cancel()
