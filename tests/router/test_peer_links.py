"""Pings on peer links, and the length of frames."""

import pytest
import trio

from jujuberudder_router import VM
from jujuberudder_router._frames import (
    MAX_FRAME_BYTES,
    FrameBuffer,
    FrameError,
    ReadProgress,
)
from jujuberudder_router._peer_links import (
    PONG_TIMEOUT_S,
    RECEIVE_TIMEOUT_INTERVALS,
    RECEIVE_TIMEOUT_S,
    UP_INTERVALS,
    FrameWriter,
    PeerLink,
    ping_interval,
)


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


async def test_link_without_a_pong_gets_no_requests(autojump_clock, nursery):
    """Guards against requests held for their whole time on a link that is cut."""
    vm = VM("b", "1", "127.0.0.1:1", "z", "s")
    link = PeerLink(vm, log_nothing, lambda: 87, ReadProgress, log_nothing)
    link._writer = writer = FrameWriter(None)
    link._record_receipt()
    nursery.start_soon(link._ping, writer)
    await trio.sleep(PONG_TIMEOUT_S - 0.1)
    assert link.up
    await trio.sleep(0.2)
    assert not link.up and not link.lost
    link._record_receipt()
    assert link.up
    await trio.sleep(UP_INTERVALS * ping_interval(87) + 0.1)
    assert link.lost


def test_frame_longer_than_the_limit_is_refused():
    """Guards against a peer at a reused address whose bytes are no frames."""
    frames = FrameBuffer()
    with pytest.raises(FrameError, match=str(MAX_FRAME_BYTES)):
        frames.feed(b"HTTP/1.1 400 Bad Request\r\n\r\n")
