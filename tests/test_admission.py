"""Admission under contention, through real sockets."""

import math
from typing import NamedTuple

import pytest
import trio
from raw_http import JOBS, OK, RawTarget, header, read_reply, start_raw, talk

from jujuberudder_standins import Deployment
from jujuberudder_targets import Admission, AdmissionRequest, Limits

SHEDS = b"HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"


class Gate:
    """A target script that holds requests until it is opened."""

    def __init__(self, work_s=0.0):
        self.open = trio.Event()
        self.running = 0
        self.most = 0
        self.order = []
        self._work_s = work_s

    async def script(self, stream, head):
        """Hold a request."""
        left = int(header(head, "content-length") or 0)
        while left:
            left -= len(await stream.receive_some(left))
        if b"/jobs/ready " not in head:
            self.order.append(head.split()[1].decode())
            self.running += 1
            self.most = max(self.most, self.running)
            await self.open.wait()
            await trio.sleep(self._work_s)
            self.running -= 1
        await stream.send_all(OK)
        return True


async def ask(address, path, replies, source="127.0.0.1", deadline_ms=5000):
    """Send one request from a loopback address and note its reply."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port), local_address=source)
    async with stream:
        head = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n"
        head += f"Jujuberudder-Deadline: {deadline_ms}\r\n\r\n"
        await stream.send_all(head.encode())
        replies.append((path, await read_reply(stream)))


class Contention(NamedTuple):
    """Who asks before and after, and who must get the first slots that come free."""

    first: list
    then: list
    served_first: set


CONTENTION = {
    # One client holds both slots and waits with four more; another one comes last.
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
async def test_contention(name):
    """Guards against a client, a key or a late deadline that takes all slots."""
    case = CONTENTION[name]
    gate, replies = Gate(), []
    section = JOBS + "slots: 2\ncall_slots: 0\nslow_start_ms: 0\n"
    async with trio.open_nursery() as nursery:
        _, addresses, _ = await start_raw(nursery, gate.script, section)
        await trio.sleep(0.1)
        async with trio.open_nursery() as asking:
            for path, source, deadline in case.first:
                asking.start_soon(ask, addresses[1], path, replies, source, deadline)
                await trio.sleep(0.03)
            for path, source, deadline in case.then:
                asking.start_soon(ask, addresses[1], path, replies, source, deadline)
            await trio.sleep(0.1)
            assert gate.most == 2
            gate.open.set()
        assert [reply.status for _, reply in replies] == [200] * len(replies)
        # Both slots come free together.
        assert case.served_first <= set(gate.order[2:4])
        assert gate.most == 2
        nursery.cancel_scope.cancel()


async def test_deadline_that_cannot_be_met():
    """Guards against requests that queue in vain, and refusals without a time."""
    gate, replies = Gate(work_s=0.2), []
    async with trio.open_nursery() as nursery:
        section = JOBS + "slots: 1\ncall_slots: 0\n"
        target, addresses, _ = await start_raw(nursery, gate.script, section)
        gate.open.set()
        for number in range(20):
            await ask(addresses[0], f"/jobs/{number}", replies)
        target.heads.clear()
        replies.clear()
        async with trio.open_nursery() as asking:
            for number in range(8):
                asking.start_soon(ask, addresses[0], f"/jobs/{number}", replies)
            await trio.sleep(0.1)
            late = []
            await ask(addresses[0], "/jobs/late", late, deadline_ms=250)
            assert len(replies) < 8
        reply = late[0][1]
        assert (reply.status, reply.outcome) == (503, "not-run")
        assert int(reply.headers["retry-after"]) >= 1
        assert "deadline cannot be met" in reply.body.decode()
        assert not [head for head in target.heads if b"/jobs/late" in head]
        assert [one.status for _, one in replies] == [200] * 8
        nursery.cancel_scope.cancel()


async def test_shedding_target_gets_less():
    """Guards against a node that keeps sending what its target sheds."""
    sheds = trio.Event()

    async def script(stream, head):
        if sheds.is_set() and b"/jobs/ready" not in head:
            await stream.send_all(SHEDS)
        else:
            await stream.send_all(OK)
        return True

    async with trio.open_nursery() as nursery:
        _, addresses, deployment = await start_raw(nursery, script)
        replies = []
        sheds.set()
        for number in range(4):
            await ask(addresses[0], f"/jobs/{number}", replies)
            await trio.sleep(0.21)
        for _, reply in replies:
            assert (reply.status, reply.outcome) == (503, "not-run")
            assert reply.headers["retry-after"] == "3"
        nursery.cancel_scope.cancel()


async def test_shed_share_and_slow_start(autojump_clock):
    """Guards against full load on a target that is cold or has just shed load."""
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


async def test_cancelled_waiters_keep_no_slot(autojump_clock):
    """Guards against slots lost to requests that were cancelled while waiting."""
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


async def test_full_queue_keeps_room_for_others(autojump_clock):
    """Guards against one client that fills the queue."""
    admission = Admission(lambda: Limits(1, 3))
    results = []

    async def claim(client):
        async with admission.slot(
            AdmissionRequest(trio.current_time() + 50, client)
        ) as admitted:
            results.append((client, admitted.is_ok()))
            await trio.sleep(1)

    async with trio.open_nursery() as nursery:
        for client in "aaaa":
            nursery.start_soon(claim, client)
            await trio.sleep(0.01)
        nursery.start_soon(claim, "a")
        await trio.sleep(0.01)
        nursery.start_soon(claim, "b")
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


@pytest.mark.parametrize("circle", [False, True], ids=["there", "there and back"])
async def test_services_that_call_each_other(circle):
    """Guards against client requests that hold all slots which their calls need."""
    nodes = {}
    calls = []

    def calls_to(service, then):
        async def script(stream, head):
            left = int(header(head, "content-length") or 0)
            while left:
                left -= len(await stream.receive_some(left))
            depth = int(header(head, "jujuberudder-call") or 1)
            if depth <= then and b"/ready" not in head:
                given = [("Jujuberudder-Call", str(depth))]
                reply = await talk(nodes[service], "POST", f"/{service}/x", given)
                calls.append((depth, reply.status, reply.outcome))
            await trio.sleep(0.01)
            await stream.send_all(OK)
            return True

        return script

    depth = 3 if circle else 1
    async with trio.open_nursery() as nursery:
        deployment = Deployment("casa-pluma", nursery)
        await deployment.start_log()
        for service, other in (("orders", "proofs"), ("proofs", "orders")):
            deployment.publish(service, SECTION.format(service))
            target = RawTarget(calls_to(other, depth))
            address = await nursery.start(target.serve)
            member = await deployment.start_member(
                service, "mnl-a", target_address=address
            )
            nodes[service] = member.addresses.client
        for service, address in nodes.items():
            while (await talk(address, "GET", f"/{service}/ready")).status != 200:
                await trio.sleep(0.05)
        replies = []
        with trio.fail_after(6):
            async with trio.open_nursery() as asking:
                for number in range(6):
                    for service, address in nodes.items():
                        path = f"/{service}/{number}"
                        asking.start_soon(ask, address, path, replies)
        assert [reply.status for _, reply in replies] == [200] * 12
        assert [one for one in calls if one[0] == 1 and one[1] == 200]
        # A call three deep is served at once or refused, it never waits.
        assert all(one[1] == 200 or one[2] == "not-run" for one in calls)
        nursery.cancel_scope.cancel()


async def test_calls_leave_half_of_the_slots(autojump_clock):
    """Guards against calls between services that starve clients."""
    admission = Admission(lambda: Limits(6, 100, 1))
    held = []

    async def hold(depth):
        claim = AdmissionRequest(trio.current_time() + 100, str(depth), None, depth)
        async with admission.slot(claim) as admitted:
            held.append((depth, admitted.is_ok()))
            await trio.sleep(10)

    async with trio.open_nursery() as nursery:
        for _ in range(8):
            nursery.start_soon(hold, 1)
        await trio.sleep(1)
        assert held == [(1, True)] * 3
        for _ in range(8):
            nursery.start_soon(hold, 0)
        await trio.sleep(1)
        assert held.count((0, True)) == 3
        nursery.cancel_scope.cancel()
