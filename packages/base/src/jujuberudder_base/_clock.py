"""A trio clock that includes the time during which the VM was suspended."""

import time

from trio.abc import Clock


class BoottimeClock(Clock):
    """Clock based on ``CLOCK_BOOTTIME``.

    A lease must expire while its holder is suspended, but ``CLOCK_MONOTONIC`` does not
    advance during suspension.
    """

    def start_clock(self):
        """Do nothing: the kernel clock is always running."""

    def current_time(self):
        """Return the seconds since boot, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline):
        """Return the seconds until ``deadline``."""
        return deadline - self.current_time()
