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


def is_ended(sock):
    """Return whether a connection was closed or reset by either end.

    It tells so also while bytes that arrived before that wait to be read, and leaves an
    error of the socket for its next use.

    Parameters
    ----------
    sock : socket.socket or trio socket
    """
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
