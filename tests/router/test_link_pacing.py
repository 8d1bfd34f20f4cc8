"""Long bodies on a slow network link, beside short frames."""

import select
import socket

import pytest
import trio
import trio.testing

from jujuberudder_router._frame_stream import FrameStream
from jujuberudder_router._frames import BodyPart, Pong
from jujuberudder_router._link_pacing import (
    MAX_PART_BYTES,
    PART_S,
    LinkPacer,
    link_refusal,
)


@pytest.mark.parametrize("bodies", [1, 8])
async def test_short_frames_do_not_wait_behind_bodies(bodies, autojump_clock):
    """Guards against calls that wait behind the bodies of other requests.

    Eight bodies of 90 KB on a link of 10 Mbit/s take 0.6 s. What was handed to the
    system at any time, and is not sent yet, is what a short frame waits for.
    """
    bytes_per_s = 1.25e6
    pacer = LinkPacer(bytes_per_s)
    handed_over, ends = [], []

    async def send_body():
        parts = 90_000 // pacer.part_bytes
        with pacer.begin(parts * pacer.part_bytes) as body:
            for _ in range(parts):
                await body.wait(pacer.part_bytes)
                handed_over.append((trio.current_time(), pacer.part_bytes))
        ends.append(trio.current_time() - started)

    started = trio.current_time()
    async with trio.open_nursery() as nursery:
        for _ in range(bodies):
            nursery.start_soon(send_body)
    link_free_at = started
    for at, size in handed_over:
        assert max(0.0, link_free_at - at) <= 2 * PART_S
        link_free_at = max(link_free_at, at) + size / bytes_per_s
    # One body after the other: together they would all take as long as the last one.
    assert len(ends) == bodies and pacer.unsent_bytes == 0
    for number, end_s in enumerate(ends):
        assert end_s <= (number + 1) * 90_000 / bytes_per_s / 0.85


@pytest.mark.parametrize("mbps, paced", [(5, True), (10, True), (100, False)])
async def test_only_slow_links_are_paced(mbps, paced, autojump_clock):
    """Guards against a further round trip for bodies that a fast link sends at once."""
    pacer = LinkPacer(mbps * 1e6 / 8)
    assert (pacer.inline_limit(262144) < 262144) is paced
    assert pacer.part_bytes <= MAX_PART_BYTES
    started = trio.current_time()
    with pacer.begin(20 * pacer.part_bytes) as body:
        for _ in range(20):
            await body.wait(pacer.part_bytes)
    assert (trio.current_time() > started) is paced


async def test_short_frame_overtakes_a_body():
    """Guards against a short frame that waits for the end of a body on its link."""
    pair = socket.socketpair()
    for sock in pair:
        sock.setblocking(False)
    sender, receiver = [
        FrameStream(trio.SocketStream(trio.socket.from_stdlib_socket(sock)), None, p)
        for sock, p in zip(pair, (LinkPacer(625_000), None))
    ]
    frames = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sender.run_writer)
        nursery.start_soon(sender.send_body, 1, bytes(90_000), lambda: True)
        await trio.testing.wait_all_tasks_blocked()
        sender.send(Pong(1.0))
        with trio.fail_after(5):
            while sum(isinstance(f, BodyPart) for f in frames) < 11:
                frames += await receiver.receive()
        nursery.cancel_scope.cancel()
    kinds = [type(frame) for frame in frames]
    assert kinds.index(Pong) <= 2 and kinds.count(BodyPart) == 11
    sender.close()
    receiver.close()


async def test_body_that_is_not_received_does_not_count(autojump_clock):
    """Guards against refusals for the link because one node does not read.

    The link is idle meanwhile.
    """
    sender, receiver = socket.socketpair()
    for sock in (sender, receiver):
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 20_000)
    pacer = LinkPacer(625_000)
    stream = FrameStream(
        trio.SocketStream(trio.socket.from_stdlib_socket(sender)), None, pacer
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stream.run_writer)
        nursery.start_soon(stream.send_body, 1, bytes(5_000_000), lambda: True)
        await trio.sleep(0.9)
        assert pacer.body_wait_s(trio.current_time()) > 5.0
        await trio.sleep(1.5)
        assert pacer.body_wait_s(trio.current_time()) == 0.0
        while receiver in select.select([receiver], [], [], 0)[0]:
            receiver.recv(1_000_000)
            await trio.testing.wait_all_tasks_blocked(0.01)
            if pacer.unsent_bytes:
                break
        assert pacer.body_wait_s(trio.current_time()) > 5.0
        nursery.cancel_scope.cancel()
    assert pacer.unsent_bytes == 0
    stream.close()
    receiver.close()


@pytest.mark.parametrize(
    "run_s, wait_s, send_s, goal_s, remaining_s, retry_after_s",
    [
        (0.1, 0.0, 0.15, 1.1, 4.0, None),
        (0.1, 0.9, 0.15, 1.1, 4.0, None),
        (0.1, 1.2, 0.15, 1.1, 4.0, 0.25),
        (0.1, 9.0, 0.15, 1.1, 4.0, 2.0),
        # A response that is longer than its goal may wait up to its deadline.
        (0.1, 1.0, 1.5, 1.1, 4.0, None),
        (0.1, 2.5, 1.5, 1.1, 4.0, 0.6),
        # Without others before it, a response is at least tried.
        (0.1, 0.0, 5.0, 1.1, 4.0, None),
        (0.1, 0.004, 5.0, 1.1, 4.0, None),
        (0.1, 0.3, 0.15, 1.1, 0.4, 0.11),
    ],
)
def test_response_without_room_on_the_link_is_refused(
    run_s, wait_s, send_s, goal_s, remaining_s, retry_after_s
):
    """Guards against responses that all arrive late on a link that is full."""
    delay_s = link_refusal(run_s, wait_s, send_s, goal_s, remaining_s)
    assert delay_s == (None if retry_after_s is None else pytest.approx(retry_after_s))


async def test_accepted_responses_are_sent_in_time(autojump_clock):
    """Guards against a full link that makes all responses late.

    Requests for 90 KB arrive at 1.5 times the rate that a link of 5 Mbit/s sends.
    """
    goal_s, size, run_s = 1.1, 90_000, 0.08
    pacer, took, refused = LinkPacer(625_000), [], []

    async def respond():
        started = trio.current_time()
        wait_s, send_s = pacer.body_wait_s(started), pacer.send_s(size)
        if link_refusal(run_s, wait_s, send_s, goal_s, 4.0) is not None:
            refused.append(started)
            return
        with pacer.expect(size):
            await trio.sleep(run_s)
        with pacer.begin(size) as body:
            for start in range(0, size, pacer.part_bytes):
                await body.wait(min(pacer.part_bytes, size - start))
        took.append(trio.current_time() - started)

    async with trio.open_nursery() as nursery:
        for _ in range(300):
            nursery.start_soon(respond)
            await trio.sleep(size / 625_000 / 1.5)
    assert max(took) <= goal_s + 0.1
    assert 0.5 <= len(took) / 300 <= 0.75 and len(took) + len(refused) == 300
