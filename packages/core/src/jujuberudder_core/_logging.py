"""One line of key=value pairs for each event, through eliot."""

import re
import sys

import eliot

_PLAIN = re.compile(r"[\w.:/@+,*%-]+\Z")
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
    return " ".join(f"{key}={_value(value)}" for key, value in pairs)


def _value(value):
    text = f"{value:.4f}" if isinstance(value, float) else str(value)
    if _PLAIN.match(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + "".join(map(_visible, escaped)) + '"'


def _visible(character):
    """Escape what would break the line, the terminal or the encoding of the stream."""
    if character.isprintable():
        return character
    return character.encode("unicode_escape").decode("ascii")


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
