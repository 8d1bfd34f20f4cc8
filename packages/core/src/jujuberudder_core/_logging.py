"""One line of key=value pairs for each event, through eliot."""

import sys

import eliot

from jujuberudder_base import format_pairs

_HIDDEN = ("task_uuid", "task_level", "message_type", "timestamp")


def format_line(message):
    """Return an eliot message as one line of key=value pairs.

    Parameters
    ----------
    message : dict
        An eliot message.
    """
    pairs = [("time", f"{message['timestamp']:.3f}")]
    pairs.append(("event", message.get("message_type", "")))
    pairs += [(k, v) for k, v in message.items() if k not in _HIDDEN]
    return format_pairs(pairs)


def start_logging(stream=None):
    """Send all events to a stream.

    Parameters
    ----------
    stream : file object, default=None
        Standard error if None.

    Returns
    -------
    stop : callable
        Removes the destination again.
    """
    stream = stream or sys.stderr

    def write(message):
        stream.write(format_line(message) + "\n")

    eliot.add_destinations(write)
    return lambda: eliot.remove_destination(write)


def make_logger(**bound):
    """Return a function ``log(event, **fields)`` that adds the bound fields.

    Parameters
    ----------
    **bound : dict
        Fields of each event, e.g. ``node="jobs-dar-a"``.
    """

    def log(event, **fields):
        eliot.log_message(event, **bound, **fields)

    return log
