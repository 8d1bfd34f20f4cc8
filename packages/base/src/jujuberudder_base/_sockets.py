"""State of sockets, without waiting."""

import select


def is_readable(sock):
    """Return whether a read or an accept on a socket would not wait.

    True also if the peer closed the connection or it is broken.

    Parameters
    ----------
    sock : socket.socket or trio socket
    """
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
