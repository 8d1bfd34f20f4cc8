"""Admission to the target: which request runs next, and which is refused."""

import msgspec
import pytest
import trio

from jujuberudder_router import TargetLoad
from jujuberudder_router._admission import (
    AdmissionQueue,
    Refused,
    Waiter,
    expected_wait,
    late_after,
    may_outlast,
    next_waiter,
    refusal,
)
from jujuberudder_router._frames import ForwardRequest


def waiter(
    number, priority=1, latency_goal_at=10.0, service_s=0.1, key=None, late_at=None
):
    """Return a waiting request; unspecified fields do not matter."""
    late_at = latency_goal_at if late_at is None else late_at
    return Waiter(
        priority, latency_goal_at, late_at, service_s, key, trio.Event(), number
    )


@pytest.mark.parametrize(
    "waiters, now, granted, expected",
    [
        ([], 0.0, (), None),
        ([waiter(1, 2), waiter(2, 1)], 0.0, (), 2),
        ([waiter(1, latency_goal_at=8.0), waiter(2, latency_goal_at=7.0)], 0.0, (), 2),
        (
            [waiter(1, 1, latency_goal_at=5.0), waiter(2, 2, latency_goal_at=9.0)],
            6.0,
            (),
            2,
        ),
        (
            [
                waiter(1, 1, latency_goal_at=5.0, late_at=7.0),
                waiter(2, 2, latency_goal_at=9.0),
            ],
            6.0,
            (),
            1,
        ),
        ([waiter(1, key=5), waiter(2, key=6)], 0.0, (6,), 2),
        ([waiter(1, key=5)], 0.0, (), None),
    ],
    ids=[
        "none", "most urgent first", "earlier latency goal first",
        "late ones after those in time", "a short one is not late",
        "one key not granted", "no key granted",
    ],
)  # fmt: skip
def test_next_waiter(waiters, now, granted, expected):
    """Guards against slots used by late requests while others can meet their goal."""
    selected = next_waiter(waiters, now, lambda key: key is None or key in granted)
    assert (selected and selected.number) == expected


@pytest.mark.parametrize(
    "wait_s, full_queue_wait_s, service_s, latency_goal_s, remaining_s, expected",
    [
        (0.1, 0.1, 0.1, 0.4, 1.0, None),
        (0.1, 0.9, 0.1, 0.4, 1.0, None),
        (0.4, 0.3, 0.1, 0.4, 1.0, None),
        (0.4, 0.5, 0.1, 0.4, 1.0, 0.5),
        (0.1, 0.3, 0.3, 0.4, 0.3, 0.3),
        (9.0, 9.0, 0.1, 0.4, 1.0, 2.0),
        (0.5, 0.05, 0.9, 0.4, 0.5, 0.1),
    ],
    ids=[
        "meets its latency goal", "runs before late ones", "late, with a reserve",
        "late, without a reserve", "past the deadline", "longest retry delay",
        "shortest retry delay",
    ],
)  # fmt: skip
def test_refusal(
    wait_s, full_queue_wait_s, service_s, latency_goal_s, remaining_s, expected
):
    """Guards against queued requests that cannot be served in time."""
    assert (
        refusal(wait_s, full_queue_wait_s, service_s, latency_goal_s, remaining_s)
        == expected
    )


@pytest.mark.parametrize("service_s, expected", [(0.2, 0.4), (0.1, 0.4), (0.09, 1.0)])
def test_late_after(service_s, expected):
    """Guards against short calls that wait behind long requests until they fail."""
    assert late_after(service_s, 0.2, 0.4, 1.0) == expected


@pytest.mark.parametrize(
    "ahead_s, slots, expected", [(0.0, 4, 0.05), (1.4, 4, 0.4), (0.0, 0, 0.2)]
)
def test_expected_wait(ahead_s, slots, expected):
    """Guards against an expected wait that ignores queued requests."""
    assert expected_wait(0.2, ahead_s, slots) == pytest.approx(expected)


def forward_request(key=None, remaining_s=1.0, priority=1, no_other_vm=False):
    """Return a forwarded request."""
    return ForwardRequest(
        0, "r", b"GET", b"/", [], b"", remaining_s, 0.5, priority, key, "s", "s", "r-1",
        no_other_vm=no_other_vm,
    )  # fmt: skip


async def test_running_requests_never_exceed_slots(autojump_clock):
    """Guards against a target that sheds because it got more requests than slots."""
    admission = AdmissionQueue(lambda key, now: True)
    admission.open(2)
    most = 0

    async def run():
        nonlocal most
        request = forward_request(remaining_s=5.0)
        try:
            await admission.acquire(request, trio.current_time())
        except Refused:
            return
        most = max(most, admission.running)
        await trio.sleep(0.1)
        admission.release(request, 0.1)

    async with trio.open_nursery() as nursery:
        for _ in range(9):
            nursery.start_soon(run)
    assert (most, admission.running) == (2, 0)


@pytest.mark.parametrize(
    "load, usable",
    [
        (None, 3),
        (TargetLoad(4, 2, 4), 3),
        (TargetLoad(3, 1, 4), 3),
        (TargetLoad(1, 0, 4), 4),
    ],
    ids=["not stated", "full", "just full", "free slots"],
)
async def test_refusals_of_a_target_with_free_slots(load, usable, autojump_clock):
    """Guards against a target that refuses a share of all requests, also when idle.

    Each refusal took a slot out of use for 0.3 s, so that one slot of six was left and
    most requests were refused in its queue.
    """
    queue = AdmissionQueue(lambda key, now: True)
    queue.open(4)
    queue.record_target_shed(trio.current_time(), load)
    assert queue._capacity(trio.current_time()) == usable


async def test_cancelled_waiter_leaves_the_queue(autojump_clock):
    """Guards against slots that leak when clients disconnect while they wait."""
    admission = AdmissionQueue(lambda key, now: True)
    admission.open(1)
    await admission.acquire(forward_request(), trio.current_time())
    with trio.move_on_after(0.05):
        await admission.acquire(forward_request(), trio.current_time())
    assert admission.load().queued == 0
    admission.release()
    assert admission.running == 0
    await admission.acquire(forward_request(), trio.current_time())


async def test_close_refuses_waiting_requests(autojump_clock):
    """Guards against requests that stay queued while the target leaves."""
    admission = AdmissionQueue(lambda key, now: True)
    admission.open(1)
    await admission.acquire(forward_request(), trio.current_time())
    async with trio.open_nursery() as nursery:

        async def wait():
            with pytest.raises(Refused, match="leaving"):
                await admission.acquire(forward_request(), trio.current_time())

        nursery.start_soon(wait)
        await trio.testing.wait_all_tasks_blocked()
        admission.close("the target is leaving")


async def test_request_waits_for_the_grant_of_its_key(autojump_clock):
    """Guards against refusals while a key moves to another owner."""
    granted = set()
    admission = AdmissionQueue(lambda key, now: key in granted)
    admission.open(1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            admission.acquire, forward_request(key=7), trio.current_time()
        )
        await trio.testing.wait_all_tasks_blocked()
        assert admission.running == 0
        granted.add(7)
        admission.dispatch()
    assert admission.running == 1


def use_route(admission, times_s):
    """Let requests of a route take these times in turn."""
    for took_s in times_s:
        admission._start(trio.current_time())
        admission.release(forward_request(), took_s)


@pytest.mark.parametrize("no_other_vm", [False, True])
async def test_draining_node_refuses_requests_that_may_outlast_it(
    no_other_vm, autojump_clock
):
    """Guards against forwarded requests that are aborted when this node ends."""
    admission = AdmissionQueue(lambda key, now: True)
    admission.open(2)
    use_route(admission, [0.2] * 5)
    admission.drain_deadline = trio.current_time() + 2.0
    request = forward_request(remaining_s=4.0, no_other_vm=no_other_vm)
    await admission.acquire(request, trio.current_time())
    admission.release(request, 0.2)
    await trio.sleep(0.5)
    with pytest.raises(Refused, match="ends before") as refused:
        await admission.acquire(request, trio.current_time())
    assert refused.value.node_s == pytest.approx(1.5)


@pytest.mark.parametrize(
    "times_s, no_other_vm, key, taken",
    [
        ([0.1] * 20 + [2.5] + [0.1] * 20, False, None, False),
        ([0.1] * 20 + [2.5] + [0.1] * 20, True, None, True),
        ([0.1] * 20 + [2.5] + [0.1] * 20, False, 7, True),
        ([0.1] * 20 + [1.5] + [0.1] * 20, False, None, True),
        ([2.5] + [0.1] * 100, False, None, True),
        ([], False, None, False),
        ([], True, None, True),
        ([0.1] * 4, False, None, False),
    ],
    ids=[
        "a long run", "no other VM", "a key", "the longest run fits",
        "a long run long ago", "an unknown route", "an unknown route and no other VM",
        "a route with few runs",
    ],
)  # fmt: skip
async def test_draining_node_leaves_long_work_to_other_vms(
    times_s, no_other_vm, key, taken, autojump_clock
):
    """Guards against work that is broken off though another VM could have done it.

    A route may lead to short and long work, and the mean of both is short.
    """
    admission = AdmissionQueue(lambda key, now: True)
    admission.open(2)
    use_route(admission, times_s)
    now = trio.current_time()
    admission.drain_deadline = admission.keyed_drain_deadline = now + 2.0
    request = forward_request(key, remaining_s=4.0, no_other_vm=no_other_vm)
    if taken:
        await admission.acquire(request, now)
    else:
        with pytest.raises(Refused, match="ends before"):
            await admission.acquire(request, now)


async def test_draining_node_refuses_waiters_that_may_outlast_it(autojump_clock):
    """Guards against a start so late that the node ends before the request.

    A request waited for 1.25 s and was aborted 1.2 s after its start.
    """
    admission = AdmissionQueue(lambda key, now: True)
    admission.open(1)
    started = trio.current_time()
    await admission.acquire(forward_request(remaining_s=4.0), started)
    refused = []

    async def wait():
        try:
            await admission.acquire(
                forward_request(remaining_s=4.0), trio.current_time()
            )
        except Refused as error:
            refused.append((str(error), trio.current_time() - started))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait)
        await trio.testing.wait_all_tasks_blocked()
        admission.drain_deadline = started + 1.0
        await trio.sleep(0.8)
        admission.release(forward_request(), 0.2)
    assert refused and refused[0][0].startswith("the node ends before")
    assert admission.running == 0


@pytest.mark.parametrize(
    "run_s, remaining_s, node_s, expected",
    [
        (1.0, 4.0, 2.0, False), (3.0, 4.0, 2.0, True), (3.0, 1.5, 2.0, False),
        (0.1, 4.0, -0.5, True), (3.0, 2.0, 2.0, False),
    ],
    ids=["short", "long", "deadline before the end", "ended", "deadline at the end"],
)  # fmt: skip
def test_may_outlast(run_s, remaining_s, node_s, expected):
    """Guards against requests broken off at the end of a node, or refused in vain."""
    assert may_outlast(run_s, remaining_s, node_s) == expected


@pytest.mark.parametrize("key", [None, 7])
async def test_draining_node_takes_requests_whose_deadline_is_before_its_end(
    key, autojump_clock
):
    """Guards against refused requests that could be served until their deadline."""
    admission = AdmissionQueue(lambda key, now: True)
    admission.open(2)
    admission.drain_deadline = admission.keyed_drain_deadline = (
        trio.current_time() + 1.5
    )
    request = forward_request(key)
    await admission.acquire(request, trio.current_time())
    admission.release(request, 0.9)
    await admission.acquire(request, trio.current_time())
    assert admission.running == 1


async def test_request_whose_key_moved_is_refused_at_once(autojump_clock):
    """Guards against requests that wait at the previous owner of their key."""
    admission = AdmissionQueue(lambda key, now: key != 7)
    admission.open(1)
    refused_at = {}

    async def wait(key):
        try:
            await admission.acquire(
                forward_request(key=key, remaining_s=4.0), trio.current_time()
            )
        except Refused as refused:
            refused_at[key] = (trio.current_time() - started, refused.retry_after_s)

    async with trio.open_nursery() as nursery:
        started = trio.current_time()
        await admission.acquire(forward_request(key=1), started)
        for key in (7, 8):
            nursery.start_soon(wait, key)
        await trio.sleep(0.1)
        admission.refuse_moved(lambda key: key != 7)
        await trio.sleep(0.1)
        admission.release(forward_request(key=1), 0.1)
    assert refused_at == {7: (pytest.approx(0.1), 0.0)}
    assert admission.running == 1 and admission.load().queued == 0


async def test_moved_request_that_got_a_slot_leaves_no_trace(autojump_clock):
    """Guards against numbers of requests that are kept for ever."""
    admission = AdmissionQueue(lambda key, now: True)
    admission.open(1)
    await admission.acquire(forward_request(key=1), trio.current_time())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            admission.acquire, forward_request(key=7), trio.current_time()
        )
        await trio.sleep(0.1)
        admission.refuse_moved(lambda key: False)
        admission.release(forward_request(key=1), 0.1)
    assert admission.running == 1
    assert admission._moved == set()


async def test_demand_includes_refused_requests(autojump_clock):
    """Guards against an overloaded VM whose demand looks like its capacity."""
    admission = AdmissionQueue(lambda key, now: True)
    admission.open(1)
    refused = 0
    async with trio.open_nursery() as nursery:

        async def run():
            nonlocal refused
            request = forward_request(key=7)
            try:
                await admission.acquire(request, trio.current_time())
            except Refused:
                refused += 1
                return
            await trio.sleep(0.15)
            admission.release(request, 0.15)

        for _ in range(100):
            nursery.start_soon(run)
            await trio.sleep(0.02)
        # 100 requests of 0.15 s in 2 s for one slot.
        assert admission.demand() == {7: pytest.approx(7.5, rel=0.1)}
        await trio.sleep(3.0)
        admission.sample_usage(trio.current_time())
        assert admission.demand() == {}
    assert refused > 50


async def test_short_requests_after_long_ones(autojump_clock):
    """Guards against a route that is refused for ever because it has never run.

    A target that has just started has run only long requests of another route.
    """
    admission = AdmissionQueue(lambda key, now: True)
    admission.open(6)
    long = forward_request(remaining_s=3.0)
    short = msgspec.structs.replace(
        long, route="call", latency_goal_s=0.2, remaining_s=0.6
    )
    for _ in range(30):
        await admission.acquire(long, trio.current_time())
        admission.release(long, 0.55)
    for _ in range(6):
        await admission.acquire(long, trio.current_time())
    started = False

    async def run():
        nonlocal started
        await admission.acquire(short, trio.current_time())
        started = True

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run)
        await trio.sleep(0.05)
        admission.release(long, 0.55)
    assert started
