"""Keys that this VM has given up for good: their releases were reported.

A report cannot be withdrawn. The VM that got it may be frozen or cut off and write it
later, its append may take effect late, and the report itself may arrive late. So the
keys are not granted again when the reason to release them has ended, for example the
evacuation of the zone, but only after the key map has changed: releases count for the
fence under which they were reported.

The load that this module handles is that of all VMs of an availability zone that give
up their keys at once and get them back a moment later.
"""

from typing import NamedTuple

from . import _keymap


class GivenUpRange(NamedTuple):
    """Keys [start, end] whose release was reported under a fence."""

    start: int
    end: int
    fence: int


class GivenUpKeys:
    """Reported releases that another VM may still hand over."""

    def __init__(self):
        self._ranges = set()

    @property
    def ranges(self):
        """The given up ranges, sorted."""
        return sorted(self._ranges)

    def add(self, start, end, fence):
        """Record that a release is being reported, before the report is sent."""
        self._ranges.add(GivenUpRange(start, end, fence))

    def without(self, key_ranges):
        """Return the parts of key ranges that are not given up.

        Parameters
        ----------
        key_ranges : iterable of KeyRange

        Returns
        -------
        tuple of KeyRange
        """
        if not self._ranges:
            return tuple(key_ranges)
        kept = []
        for key_range in key_ranges:
            given_up = [(r.start, r.end) for r in self._ranges if _is_in(r, key_range)]
            kept += _keymap.subtract((key_range,), given_up)
        return tuple(kept)

    def apply(self, keymap, vm):
        """Forget what cannot be handed over any more, as a key map that was read shows.

        Parameters
        ----------
        keymap : KeyMap
        vm : str
            This VM.
        """
        own = [r for r in keymap.ranges if r.vm == vm]
        self._ranges = {g for g in self._ranges if any(_is_in(g, r) for r in own)}


def _is_in(given_up, key_range):
    """Whether a given up range has keys of a key range, under its fence."""
    return (
        given_up.fence == key_range.fence
        and given_up.start <= key_range.end
        and key_range.start <= given_up.end
    )
