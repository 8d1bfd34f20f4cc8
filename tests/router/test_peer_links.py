"""Interval of the pings on peer links, and the length of frames."""

import pytest

from jujuberudder_router._frames import MAX_FRAME_BYTES, FrameBuffer, FrameError
from jujuberudder_router._peer_links import (
    RECEIVE_TIMEOUT_INTERVALS,
    RECEIVE_TIMEOUT_S,
    ping_interval,
)


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


def test_frame_longer_than_the_limit_is_refused():
    """Guards against a peer at a reused address whose bytes are no frames."""
    frames = FrameBuffer()
    with pytest.raises(FrameError, match=str(MAX_FRAME_BYTES)):
        frames.feed(b"HTTP/1.1 400 Bad Request\r\n\r\n")
