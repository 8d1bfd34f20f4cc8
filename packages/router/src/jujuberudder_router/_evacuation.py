"""Evacuated availability zones: which are, and until when their targets are used.

While a record of the operator evacuates a zone, its targets get no requests. Requests
without a key are refused there as soon as the record is read. Requests with a key are
served until the keys are handed over, but not beyond ``closing_time``.
"""

import math

import trio

# Part of the time that an evacuation may take which is kept for reading the record, in
# seconds: the users' bound for an operator record to be read is 2 s.
READ_RESERVE_S = 2.5
# Time before the end of that time, in seconds, at which keys are served no more even if
# the node may have read the record late: a request on its way has to arrive.
CLOSING_MARGIN_S = 0.5
# Interval in seconds, during evacuations, of the checks whether their zones have VMs,
# and whether they are missing in a new era of the store.
ZONE_CHECK_S = 1.0


def closing_time(now, current_at, evacuation_s):
    """Return the time from which nothing is sent to the targets of a zone.

    Parameters
    ----------
    now : float
        When the record was read.
    current_at : float or None
        Last time at which the record was certainly not written: from then on, the
        evacuation may have begun. None if that is not known, as after a start.
    evacuation_s : float
        Time after which nothing may reach the zone, in seconds.
    """
    if current_at is None:
        return now
    latest = current_at + evacuation_s - CLOSING_MARGIN_S
    return max(now, min(now + evacuation_s - READ_RESERVE_S, latest))


class Evacuations:
    """Evacuated zones according to the records read.

    Parameters
    ----------
    own_zone : str
    evacuation_s : float
        Time after which nothing may reach an evacuated zone, in seconds.

    Attributes
    ----------
    changed : trio.Event
        Set, and replaced, when an evacuation begins or ends.
    """

    def __init__(self, own_zone, evacuation_s):
        self._own_zone, self._evacuation_s = own_zone, evacuation_s
        # Evacuated zone to its closing time.
        self._closing = {}
        self._current_at = None
        self.changed = trio.Event()

    @property
    def zones(self):
        """Sorted names of the evacuated zones."""
        return sorted(self._closing)

    @property
    def own_zone_evacuated(self):
        """Whether the zone of this VM is evacuated."""
        return self._own_zone in self._closing

    def __bool__(self):
        return bool(self._closing)

    def __contains__(self, zone):
        return zone in self._closing

    def confirm(self, at):
        """Record that all operator records up to a time were read."""
        if self._current_at is None or at > self._current_at:
            self._current_at = at

    def closes_at(self, zone):
        """Return from when on nothing is sent to a zone; infinite if it is open."""
        return self._closing.get(zone, math.inf)

    def closed(self, zone, now):
        """Whether nothing is sent to a zone any more."""
        return bool(self._closing) and now >= self.closes_at(zone)

    def apply(self, zone, evacuated, now):
        """Apply a record of a zone; return whether that begins or ends an evacuation.

        A record that is written again does not prolong the use of the targets.
        """
        if evacuated == (zone in self._closing):
            return False
        if evacuated:
            self._closing[zone] = closing_time(
                now, self._current_at, self._evacuation_s
            )
        else:
            del self._closing[zone]
        self.changed.set()
        self.changed = trio.Event()
        return True


async def watch_evacuations(node):
    """Close the admission queue in time, and log zones without VMs, until cancelled.

    After the store came back from an older copy, evacuations that it does not have any
    more end when the operator has had the time to write them again.
    """
    evacuations, logged, checked_era = node.evacuations, set(), 0
    operator_topic = node.configuration_follower
    own_zone = node.settings.zone
    while True:
        changed, now = evacuations.changed, trio.current_time()
        logged &= set(evacuations.zones)
        known = node.membership_follower.started
        unknown = set(evacuations.zones) - {own_zone, *node.vms.zones()} - logged
        if known:
            for zone in sorted(unknown):
                node.log("evacuation_of_unknown_zone", zone=zone)
            logged |= unknown
        wake_at = math.inf
        if evacuations.own_zone_evacuated:
            if evacuations.closed(own_zone, now):
                node.update_admission()
            else:
                wake_at = evacuations.closes_at(own_zone)
        if evacuations and operator_topic.era_changed:
            era = operator_topic.era
            if checked_era != era and not node.keeps_missing_operator_records():
                checked_era = era
                node.end_missing_evacuations()
        if evacuations or unknown and not known:
            wake_at = min(wake_at, now + ZONE_CHECK_S)
        with trio.move_on_at(wake_at):
            await changed.wait()
