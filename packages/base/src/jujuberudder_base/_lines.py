"""Log lines of key=value pairs, written in batches of limited size."""

import re
import time

import trio

_UNQUOTED = re.compile(r"[\w.:/@+,*%-]+\Z")

# Maximum characters of a value. A reason may quote a message of any length.
MAX_VALUE_CHARS = 500
# Lines buffered between two writes; further lines are dropped and counted. With a write
# every 0.25 s this allows 4,000 lines/s, more than a node logs at full load.
MAX_BATCH_LINES = 1000
WRITE_INTERVAL_S = 0.25
# Delay of a write above which the process is reported as paused.
PAUSE_S = 0.5


def format_value(value):
    """Return a value as text on one line, cut, quoted and escaped where needed."""
    try:
        text = f"{value:.4f}" if isinstance(value, float) else str(value)
    except ValueError as error:
        text = f"{type(value).__name__}: {error}"  # An integer of over 4,300 digits.
    if len(text) > MAX_VALUE_CHARS:
        text = f"{text[:MAX_VALUE_CHARS]}... ({len(text)} characters)"
    if _UNQUOTED.match(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + "".join(map(_escape_unprintable, escaped)) + '"'


def _escape_unprintable(character):
    """Escape a character that could break the line, the terminal or the encoding."""
    if character.isprintable():
        return character
    return character.encode("unicode_escape").decode("ascii")


def format_pairs(pairs):
    """Return an iterable of ``(key, value)`` as space-separated ``key=value`` pairs."""
    return " ".join([f"{key}={format_value(value)}" for key, value in pairs])


class LineLog:
    """Buffer of log lines, written in batches so that requests do not wait for writes.

    Parameters
    ----------
    write : callable
        ``write(text) -> int or None``; the text consists of whole lines. Returns the
        number of lines lost since the last call, if that is known. It must not wait.
    **bound : dict
        Fields added to each line, e.g. ``vm="vm-1"``.

    Attributes
    ----------
    lost_lines : int
        Number of lines that were dropped or could not be written so far.
    """

    def __init__(self, write, **bound):
        self._write = write
        self._bound = format_pairs(bound.items())
        self._lines = []
        # Lost lines that no line has reported yet.
        self._unreported = 0
        self.lost_lines = 0

    def __call__(self, event, **fields):
        """Add a line, or drop and count it if the batch is full."""
        if len(self._lines) >= MAX_BATCH_LINES:
            self._count_lost(1)
            return
        self._lines.append((time.time(), event, fields))

    def flush(self):
        """Write the buffered lines and the number of dropped lines."""
        lines, self._lines = self._lines, []
        if self._unreported:
            lines.append((time.time(), "log_lines_left_out", {"n": self._unreported}))
            self._unreported = 0
        if not lines:
            return
        text = [self._format(*line) for line in lines]
        self._count_lost(self._write("\n".join(text) + "\n") or 0)

    def _count_lost(self, count):
        self._unreported += count
        self.lost_lines += count

    def _format(self, timestamp, event, fields):
        pairs = format_pairs(fields.items())
        return f"time={timestamp:.3f} event={event} {self._bound} {pairs}"

    async def run(self):
        """Write batches until cancelled, and report pauses of the process."""
        woken_at = trio.current_time()
        try:
            while True:
                await trio.sleep(WRITE_INTERVAL_S)
                now = trio.current_time()
                if now - woken_at >= WRITE_INTERVAL_S + PAUSE_S:
                    self("process_paused", late_s=now - woken_at - WRITE_INTERVAL_S)
                woken_at = now
                self.flush()
        finally:
            self.flush()
