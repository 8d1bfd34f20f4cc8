"""Admission at the target: which request runs next, and which is refused."""

import pytest
import trio

from jujuberudder_router._admission import (
    AdmissionQueue,
    Refused,
    Waiter,
    expected_wait,
    next_waiter,
    refusal,
)
from jujuberudder_router._frames import ForwardRequest


def waiter(number, priority=1, aim_at=10.0, service_s=0.1, key=None):
    """Return a waiting request; unspecified fields do not matter."""
    return Waiter(priority, aim_at, service_s, key, trio.Event(), number)


@pytest.mark.parametrize(
    "waiters, now, held, expected",
    [
        ([], 0.0, (), None),
        ([waiter(1, 2), waiter(2, 1)], 0.0, (), 2),
        ([waiter(1, aim_at=8.0), waiter(2, aim_at=7.0)], 0.0, (), 2),
        ([waiter(1, 1, aim_at=5.0), waiter(2, 2, aim_at=9.0)], 6.0, (), 2),
        ([waiter(1, key=5), waiter(2, key=6)], 0.0, (6,), 2),
        ([waiter(1, key=5)], 0.0, (), None),
    ],
    ids=[
        "none", "urgent first", "earlier aim first", "late ones after those in time",
        "key not held", "no key held",
    ],
)  # fmt: skip
def test_next(waiters, now, held, expected):
    """Guards against slots spent on requests that are late while others can be met."""
    found = next_waiter(waiters, now, lambda key: key is None or key in held)
    assert (found and found.number) == expected


@pytest.mark.parametrize(
    "wait_s, longest_s, service_s, latency_goal_s, remaining_s, expected",
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
        "meets its aim", "before those that are late", "late, with room to spare",
        "late, without room", "past the deadline", "most", "least",
    ],
)  # fmt: skip
def test_refusal(wait_s, longest_s, service_s, latency_goal_s, remaining_s, expected):
    """Guards against requests that are held although they cannot be served in time."""
    assert (
        refusal(wait_s, longest_s, service_s, latency_goal_s, remaining_s) == expected
    )


@pytest.mark.parametrize(
    "ahead_s, slots, expected", [(0.0, 4, 0.05), (1.4, 4, 0.4), (0.0, 0, 0.2)]
)
def test_expected_wait(ahead_s, slots, expected):
    """Guards against a wait that leaves out what is queued."""
    assert expected_wait(0.2, ahead_s, slots) == pytest.approx(expected)


def ask(key=None, remaining_s=1.0, priority=1):
    """Return a request for the gate."""
    return ForwardRequest(
        0, "r", b"GET", b"/", [], b"", remaining_s, 0.5, priority, key, "s", "s", "r-1"
    )


async def test_slots_are_never_exceeded(autojump_clock):
    """Guards against a target that sheds because more than its slots were sent."""
    admission = AdmissionQueue(lambda key, now: True)
    admission.open(2)
    most = 0

    async def run():
        nonlocal most
        request = ask(remaining_s=5.0)
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


async def test_a_caller_that_leaves_frees_its_place(autojump_clock):
    """Guards against slots that are lost when callers give up while they wait."""
    admission = AdmissionQueue(lambda key, now: True)
    admission.open(1)
    await admission.acquire(ask(), trio.current_time())
    with trio.move_on_after(0.05):
        await admission.acquire(ask(), trio.current_time())
    assert admission.load().queued == 0
    admission.release()
    assert admission.running == 0
    await admission.acquire(ask(), trio.current_time())


async def test_closing_refuses_what_waits(autojump_clock):
    """Guards against requests that are held while the target leaves."""
    admission = AdmissionQueue(lambda key, now: True)
    admission.open(1)
    await admission.acquire(ask(), trio.current_time())
    async with trio.open_nursery() as nursery:

        async def wait():
            with pytest.raises(Refused, match="leaving"):
                await admission.acquire(ask(), trio.current_time())

        nursery.start_soon(wait)
        await trio.testing.wait_all_tasks_blocked()
        admission.close("the target is leaving")


async def test_a_key_that_is_granted_later_waits(autojump_clock):
    """Guards against refusals while a key changes hands."""
    held = set()
    admission = AdmissionQueue(lambda key, now: key in held)
    admission.open(1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(admission.acquire, ask(key=7), trio.current_time())
        await trio.testing.wait_all_tasks_blocked()
        assert admission.running == 0
        held.add(7)
        admission.dispatch()
    assert admission.running == 1


async def test_a_node_that_ends_takes_only_what_it_can_finish(autojump_clock):
    """Guards against requests of other nodes that are cut when this one ends."""
    admission = AdmissionQueue(lambda key, now: True)
    admission.open(2)
    admission.drain_deadline = trio.current_time() + 2.0
    await admission.acquire(ask(), trio.current_time())
    admission.release(ask(), 0.2)
    await trio.sleep(0.5)
    with pytest.raises(Refused, match="ends before"):
        await admission.acquire(ask(), trio.current_time())


async def test_a_node_that_ends_starts_only_what_it_can_finish(autojump_clock):
    """Guards against a request that waits until it can't end before its node.

    A request waited for 1.25 s and was cut 1.2 s after it began.
    """
    admission = AdmissionQueue(lambda key, now: True)
    admission.open(1)
    started = trio.current_time()
    await admission.acquire(ask(), started)
    refused = []

    async def wait():
        try:
            await admission.acquire(ask(), trio.current_time())
        except Refused as error:
            refused.append((str(error), trio.current_time() - started))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait)
        await trio.testing.wait_all_tasks_blocked()
        admission.drain_deadline = started + 1.0
        await trio.sleep(0.8)
        admission.release(ask(), 0.2)
    assert refused and refused[0][0].startswith("the node ends before")
    assert admission.running == 0
