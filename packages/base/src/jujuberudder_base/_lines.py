"""Log lines of key=value pairs, written in batches and bounded under load."""

import re
import time

import trio

_PLAIN = re.compile(r"[\w.:/@+,*%-]+\Z")

# Lines kept between two writes; more are counted and left out. At 0.25 s a write this
# is 4,000 lines/s, above what a node decides at full load.
BATCH_LINES = 1000
# Seconds between two writes of a batch.
WRITE_INTERVAL_S = 0.25


def format_value(value):
    """Return a value as text that cannot break the line."""
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


def format_pairs(pairs):
    """Return an iterable of (key, value) as ``key=value`` pairs."""
    return " ".join([f"{key}={format_value(value)}" for key, value in pairs])


class LineLog:
    """Collects lines and writes them together, so that a request never waits.

    Parameters
    ----------
    write : callable
        Takes text; called with whole lines only.
    **bound : dict
        Fields of each line, e.g. ``vm="vm-1"``.
    """

    def __init__(self, write, **bound):
        self._write = write
        self._bound = format_pairs(bound.items())
        self._lines = []
        self._left_out = 0

    def __call__(self, event, **fields):
        """Add a line; count it instead if the batch is full."""
        if len(self._lines) >= BATCH_LINES:
            self._left_out += 1
            return
        self._lines.append((time.time(), event, fields))

    def flush(self):
        """Write what was collected, with the number of lines left out."""
        lines, self._lines = self._lines, []
        if self._left_out:
            lines.append((time.time(), "log_lines_left_out", {"n": self._left_out}))
            self._left_out = 0
        if not lines:
            return
        text = [self._format(*line) for line in lines]
        self._write("\n".join(text) + "\n")

    def _format(self, when, event, fields):
        pairs = format_pairs(fields.items())
        return f"time={when:.3f} event={event} {self._bound} {pairs}"

    async def run(self):
        """Write batches until cancelled."""
        try:
            while True:
                await trio.sleep(WRITE_INTERVAL_S)
                self.flush()
        finally:
            self.flush()
