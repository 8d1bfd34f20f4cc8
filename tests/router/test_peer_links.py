"""Pings on peer links, and the length of frames."""

from collections import Counter

import pytest
import trio
import trio.testing

from jujuberudder_router import VM
from jujuberudder_router._frame_stream import FrameStream
from jujuberudder_router._frames import (
    ANSWERED,
    MAX_FRAME_BYTES,
    ForwardReply,
    FrameBuffer,
    FrameError,
    Hello,
    ReadProgress,
)
from jujuberudder_router._peer_links import (
    PING_TICK_S,
    PONG_TIMEOUT_S,
    RECEIVE_TIMEOUT_INTERVALS,
    RECEIVE_TIMEOUT_S,
    UP_INTERVALS,
    PeerLink,
    ping_interval,
    ping_links,
)

HELLO = Hello("a", "1", "b")


def log_nothing(*values, **fields):
    """Ignore a log event."""


@pytest.mark.parametrize(
    "links, expected", [(0, 0.5), (8, 0.5), (33, 0.5), (72, 1.08), (300, 1.5)]
)
def test_ping_interval(links, expected):
    """Guards against pings that use most of a processor in a deployment of many VMs."""
    assert ping_interval(links) == pytest.approx(expected)
    assert links * 2 / ping_interval(links) <= 400
    assert (
        max(RECEIVE_TIMEOUT_S, RECEIVE_TIMEOUT_INTERVALS * ping_interval(links)) < 4.5
    )


class SilentStream:
    """Connection to a peer that sends nothing."""

    def __init__(self):
        self.sent = []

    def send(self, frame):
        """Record a frame."""
        self.sent.append(frame)


def connect_silent_link():
    """Return a link of 87 that has just connected to a silent peer, and its stream."""
    vm = VM("b", "1", "127.0.0.1:1", "z", "s")
    link = PeerLink(vm, HELLO, log_nothing, lambda: 87, ReadProgress, log_nothing)
    link._stream, link._connection_scope = SilentStream(), trio.CancelScope()
    link._record_receipt()
    link.ping()
    return link


def add_other_links(link):
    """Return the links of a node with 87 links, all but one without a connection."""
    links = {
        str(n): PeerLink(
            link.vm, HELLO, log_nothing, lambda: 87, ReadProgress, log_nothing
        )
        for n in range(86)
    }
    return links | {"b": link}


async def test_link_without_a_pong_gets_no_requests(autojump_clock, nursery):
    """Guards against requests held for their whole time on a link that is cut."""
    link = connect_silent_link()
    nursery.start_soon(ping_links, add_other_links(link))
    await trio.sleep(PONG_TIMEOUT_S - 0.1)
    assert link.up
    await trio.sleep(0.2)
    assert not link.up and not link.lost
    link._record_receipt()
    assert link.up
    await trio.sleep(UP_INTERVALS * ping_interval(87) + 0.1)
    assert link.lost


async def test_links_are_pinged_once_per_interval(autojump_clock, nursery):
    """Guards against pings that stop, bunch up, or come more often than intended."""
    links = {str(n): connect_silent_link() for n in range(87)}
    nursery.start_soon(ping_links, links)
    for _ in range(20):
        await trio.sleep(ping_interval(87))
        for link in links.values():
            link._record_receipt()
    await trio.sleep(PING_TICK_S)
    for link in links.values():
        sent = [ping.sent_at for ping in link._stream.sent]
        assert 19 <= len(sent) <= 21
        gaps = [after - before for before, after in zip(sent[1:], sent[2:])]
        assert max(gaps) <= ping_interval(87) + 2 * PING_TICK_S
        assert min(gaps) >= ping_interval(87) - 0.001
    ticks = Counter(
        ping.sent_at for link in links.values() for ping in link._stream.sent[1:]
    )
    assert max(ticks.values()) <= 11


async def test_silent_link_is_closed_but_not_after_a_pause(mock_clock, nursery):
    """Guards against links that a node closes because it was itself paused."""
    link = connect_silent_link()
    nursery.start_soon(ping_links, {"b": link})
    await trio.testing.wait_all_tasks_blocked()
    mock_clock.jump(RECEIVE_TIMEOUT_S + 1.0)
    await trio.testing.wait_all_tasks_blocked()
    assert not link._connection_scope.cancel_called
    mock_clock.jump(PING_TICK_S)
    await trio.testing.wait_all_tasks_blocked()
    assert link._connection_scope.cancel_called


@pytest.fixture
async def streams():
    """Return two connected streams."""
    first, second = trio.socket.socketpair()
    yield [FrameStream(trio.SocketStream(sock)) for sock in (first, second)]


def make_reply(number, size):
    """Return a frame with a body."""
    return ForwardReply(number, ANSWERED, 200, body=bytes([number]) * size)


async def test_frames_arrive_whole_and_in_order(streams, nursery):
    """Guards against frames that overtake or cut a body that fills the buffers."""
    sender, receiver = streams
    nursery.start_soon(sender.run_writer)
    sizes = [10, 4_000_000, 0, 300_000, 5]
    for number, size in enumerate(sizes):
        sender.send(make_reply(number, size))
    received = []
    with trio.fail_after(30):
        while len(received) < len(sizes):
            received += await receiver.receive()
    assert received == [make_reply(n, size) for n, size in enumerate(sizes)]
    sender.close()
    assert await receiver.receive() is None


async def test_broken_connection_ends_both_tasks(streams):
    """Guards against a link that stays open after a frame could not be sent."""
    sender, receiver = streams
    receiver.close()
    sender.send(make_reply(1, 10))
    for step in (sender.run_writer, sender.receive):
        with trio.fail_after(5), pytest.raises(trio.BrokenResourceError):
            await step()


def test_frame_longer_than_the_limit_is_refused():
    """Guards against a peer at a reused address whose bytes are no frames."""
    frames = FrameBuffer()
    with pytest.raises(FrameError, match=str(MAX_FRAME_BYTES)):
        frames.feed(b"HTTP/1.1 400 Bad Request\r\n\r\n")
