"""Resident memory of this process, as a gauge and in the log.

A process that exceeds the memory of its VM is killed and logs nothing, so its last
``memory`` line has to tell how close it was.
"""

import os

import trio

# Interval at which the resident memory is read.
SAMPLE_INTERVAL_S = 0.5
# Share of the limit by which the memory has to grow beyond the last logged value.
LOG_STEP_SHARE = 0.1

_STATM_PATH = "/proc/self/statm"
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes():
    """Return the resident memory of this process in bytes.

    Raises
    ------
    OSError
        The system does not tell.
    """
    with open(_STATM_PATH, "rb") as file:
        return int(file.read().split()[1]) * _PAGE_BYTES


def reached_step(used_bytes, limit_bytes):
    """Return the number of steps of ``LOG_STEP_SHARE`` of the limit that are used."""
    return int(used_bytes / (LOG_STEP_SHARE * limit_bytes))


async def watch_memory(node, read_bytes=resident_bytes):
    """Record the resident memory until cancelled, and log each step that it passes.

    Parameters
    ----------
    node : Node
        Its ``resident_bytes`` is set.
    read_bytes : callable
        Returns the resident memory in bytes.
    """
    limit_bytes, logged_step = node.settings.memory_bytes, 0
    while True:
        try:
            node.resident_bytes = read_bytes()
        except (OSError, ValueError, IndexError) as error:
            node.log("memory_unknown", reason=str(error))
            return
        step = reached_step(node.resident_bytes, limit_bytes)
        if step > logged_step:
            logged_step = step
            node.log(
                "memory", resident_mb=node.resident_bytes / 1e6,
                limit_mb=limit_bytes / 1e6,
            )  # fmt: skip
        await trio.sleep(SAMPLE_INTERVAL_S)
