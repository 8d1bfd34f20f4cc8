"""Output to a descriptor, written by a thread so that its reader stops nothing else."""

import os
import threading
from collections import deque

# Bytes that may wait for the descriptor; further text is rejected. It holds several
# batches of log lines.
MAX_PENDING_BYTES = 1048576


class OutputThread:
    """Thread that writes text to a descriptor.

    A write waits as long as the reader of a pipe does, unless the descriptor does not
    block; but that is a property of the pipe, which other processes may share. The
    thread does not keep the process from ending.

    Parameters
    ----------
    descriptor : int or None
        None if there is no output: all text is lost.
    """

    def __init__(self, descriptor):
        self._descriptor = descriptor
        # Guards all state below.
        self._changed = threading.Condition()
        self._pending = deque()
        self._pending_bytes = 0
        self._lost_lines = 0
        # Whether the last byte written is within a line that could not be completed.
        self._line_broken = False
        self._thread = None

    def write(self, text):
        """Queue whole lines, or drop them if too many bytes wait; never waits.

        Returns
        -------
        lost_lines : int
            Number of lines lost since the last call, those of ``text`` included.
        """
        data = text.encode()
        with self._changed:
            has_room = self._pending_bytes + len(data) <= MAX_PENDING_BYTES
            if self._descriptor is not None and has_room and self._is_running():
                self._pending.append(data)
                self._pending_bytes += len(data)
                self._changed.notify_all()
            else:
                self._lost_lines += data.count(b"\n")
            lost_lines, self._lost_lines = self._lost_lines, 0
        return lost_lines

    def drain(self, timeout_s):
        """Wait up to ``timeout_s`` seconds until all text is written.

        Returns
        -------
        bool
            Whether it is.
        """
        with self._changed:
            return self._changed.wait_for(lambda: not self._pending, timeout_s)

    def _is_running(self):
        """Start the thread if needed, and return whether it runs."""
        if self._thread is None:
            thread = threading.Thread(target=self._run, daemon=True)
            try:
                thread.start()
            except RuntimeError:
                return False  # The system has no room for a thread at present.
            self._thread = thread
        return True

    def _run(self):
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._pending)
                data = self._pending[0]
            unwritten_lines = self._write_all(data)
            with self._changed:
                self._pending.popleft()
                self._pending_bytes -= len(data)
                self._lost_lines += unwritten_lines
                self._changed.notify_all()

    def _write_all(self, data):
        """Write bytes and return the number of lines that were not written."""
        rest = b"\n" + data if self._line_broken else data
        try:
            while rest:
                written_bytes = os.write(self._descriptor, rest)
                self._line_broken = rest[written_bytes - 1 : written_bytes] != b"\n"
                rest = rest[written_bytes:]
        except OSError:
            # The output is the log itself, which reports the lost lines later.
            return min(rest.count(b"\n"), data.count(b"\n"))
        return 0
