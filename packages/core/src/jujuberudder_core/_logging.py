"""Logging through eliot, with one line of key=value pairs per event."""

import sys

import eliot

from jujuberudder_base import format_pairs

_ELIOT_FIELDS = ("task_uuid", "task_level", "message_type", "timestamp")


def format_line(message):
    """Format an eliot message as one line of key=value pairs.

    Parameters
    ----------
    message : dict
    """
    pairs = [("time", f"{message['timestamp']:.3f}")]
    pairs.append(("event", message.get("message_type", "")))
    pairs += [(k, v) for k, v in message.items() if k not in _ELIOT_FIELDS]
    return format_pairs(pairs)


def start_logging(stream=None):
    """Write all events to a stream.

    Parameters
    ----------
    stream : file object, default=None
        Standard error if None.

    Returns
    -------
    stop : callable
        Stops writing to the stream.
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
        Fields added to each event, e.g. ``node="jobs-dar-a"``.
    """

    def log(event, **fields):
        eliot.log_message(event, **bound, **fields)

    return log
