"""A trio clock that also counts time in which the VM was suspended."""

import time

from trio.abc import Clock


class BoottimeClock(Clock):
    """Clock over ``CLOCK_BOOTTIME``.

    A lease must lapse while its holder is suspended, and ``CLOCK_MONOTONIC`` stands
    still during suspension.
    """

    def start_clock(self):
        """Do nothing: the clock of the kernel is always running."""

    def current_time(self):
        """Return the seconds since boot, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline):
        """Return the seconds until ``deadline``."""
        return deadline - self.current_time()
