"""Output to a descriptor whose reader is slow or gone."""

import os
import threading

import pytest

from jujuberudder_base import LineLog, OutputThread, format_value
from jujuberudder_base._output import MAX_PENDING_BYTES

LINE = "x" * 999 + "\n"


def test_lines_beyond_the_buffer_are_dropped_and_counted():
    """Guards against a writer that waits for the reader, or needs endless memory."""
    reader, writer = os.pipe()
    output = OutputThread(writer)
    count = 2 * MAX_PENDING_BYTES // len(LINE)
    lost = sum(output.write(LINE) for _ in range(count))
    assert not output.drain(0.05)
    with os.fdopen(reader, "rb") as pipe:
        received = [pipe.read(len(LINE)) for _ in range(count - lost)]
        assert output.drain(5.0)
        assert MAX_PENDING_BYTES / len(LINE) - 1 <= len(received) < count
        assert set(received) == {LINE.encode()}
        assert output.write(LINE) == 0
        assert pipe.read(len(LINE)) == LINE.encode()
        os.close(writer)


@pytest.mark.parametrize("path", ["/dev/full", None], ids=["no space", "no output"])
def test_lines_that_cannot_be_written_are_counted(path):
    """Guards against an output that fails without a trace."""
    descriptor = os.open(path, os.O_WRONLY) if path else None
    output = OutputThread(descriptor)
    lost_lines = output.write(LINE * 3)
    assert output.drain(5.0)
    assert lost_lines + output.write("") == 3
    if descriptor is not None:
        os.close(descriptor)


def test_log_reports_the_lines_that_its_output_lost():
    """Guards against a log with gaps that it does not mention."""
    written, losses = [], [2, 0, None]

    def write(text):
        written.append(text)
        return losses.pop(0)

    log = LineLog(write, vm="a")
    for _ in range(3):
        log("event")
        log.flush()
    assert [text.count("\n") for text in written] == [1, 2, 1]
    assert "event=log_lines_left_out vm=a n=2" in written[1]
    assert log.lost_lines == 2


@pytest.mark.parametrize("character", ["x", " ", "\n"], ids=ascii)
def test_long_value_is_cut(character):
    """Guards against log lines as long as the message that they quote."""
    text = format_value(character * 1_000_000)
    assert len(text) < 1100
    assert text.endswith('... (1000000 characters)"')


def test_value_that_python_refuses_to_print_is_logged():
    """Guards against a number of a message that ends the task that writes the log."""
    assert format_value(10**5000).startswith('"int: ')


def test_output_without_a_thread_loses_lines(monkeypatch):
    """Guards against a node that ends because the system has no room for a thread."""

    def fail(self):
        raise RuntimeError("can't start new thread")

    reader, writer = os.pipe()
    with monkeypatch.context() as patch, os.fdopen(reader, "rb") as pipe:
        output = OutputThread(writer)
        patch.setattr(threading.Thread, "start", fail)
        assert output.write(LINE * 3) == 3
        patch.undo()
        assert output.write(LINE) == 0
        assert pipe.read(len(LINE)) == LINE.encode()
    os.close(writer)
