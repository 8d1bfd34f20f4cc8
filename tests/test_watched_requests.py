"""Watching a connection for a response while its request is sent."""

import trio

from jujuberudder_targets._network import INTERIM_POLL_S, InFlightRequest

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Stream:
    """Connection of which only the socket is used."""

    def __init__(self, sock):
        self._sock = sock

    def get_extra_info(self, info):
        """Return the socket."""
        assert info == "socket"
        return self._sock


async def test_connection_closed_between_polls_ends_the_watch():
    """Guards against an internal error if sending fails after ``100 Continue``."""
    sock, peer = trio.socket.socketpair()
    with peer:
        await peer.send(CONTINUE)
        in_flight = InFlightRequest(body_allowed=False)
        in_flight.start(Stream(sock))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(in_flight.watch)
            while not in_flight.body_allowed:
                await trio.sleep(0)
            sock.close()
            with trio.fail_after(100 * INTERIM_POLL_S):
                while nursery.child_tasks:
                    await trio.sleep(INTERIM_POLL_S)
