"""Placement state of a service, which its planner updates incrementally."""

import math
import statistics
from collections import deque
from typing import NamedTuple

from jujuberudder_core import HASH_BITS, records

# Weight of a shard's share of the keys in its load, relative to the total load. An idle
# or unmeasured service is balanced by key share.
KEY_SHARE_WEIGHT = 0.05
# Reports/s that a planner processes; with more targets, each reports less often.
MAX_REPORTS_PER_S = 300
MIN_REPORT_INTERVAL_S = 1.0
RECENT_REPORTS = 5
RATE_SCALE = 10
SUMMARY_TARGETS = 24
# The rates that two successive owners report for a moved shard differ if one of them
# counts wrongly, or if the load changed meanwhile. Only a median of several differences
# above this factor is attributed to wrong counts, half of it to each owner.
CORRECTION_FACTOR = 1.25
CORRECTION_SAMPLES = 3
CORRECTION_MIN_RATE = 1.0
CORRECTION_DEVIATIONS = 2.0
# Seconds over which a reported rate is measured.
REPORT_WINDOW_S = 4.0
MAX_CORRECTION = 8.0


def report_interval(targets):
    """Return the interval between two reports of one target, in seconds.

    Parameters
    ----------
    targets : int
        Number of live targets of the service.
    """
    return max(MIN_REPORT_INTERVAL_S, targets / MAX_REPORTS_PER_S)


def _significant_log_ratio(rate, expected):
    """Return the log ratio of two rates, less the part explained by counting noise."""
    ratio = math.log(rate / expected)
    count = min(rate, expected) * REPORT_WINDOW_S
    noise = CORRECTION_DEVIATIONS / math.sqrt(count)
    return math.copysign(max(0.0, abs(ratio) - noise), ratio)


class TargetReport(NamedTuple):
    """Newest report of a target, received at ``at`` (seconds); rates in requests/s."""

    at: float
    in_flight: int
    rate: float
    keys: tuple[tuple[int, float], ...]


class PlacementState:
    """Shards of one service with their request rates and holders.

    The holder of a shard is its destination during a move, otherwise its owner. Rates
    are kept by shard, not by target, so a move transfers the rate immediately,
    independent of when the reports of the two owners arrive.

    Parameters
    ----------
    service : str
    ownership : Ownership
    """

    def __init__(self, service, ownership):
        self._service = service
        self._ownership = ownership
        self._rates = {}
        self._total = 0.0
        self._holder = {}
        self._held = {}
        self._sums = {}
        self._moving = set()
        self._moved_at = {}
        self._newest_reports = {}
        self._reporters = {}
        self._corrections = {}
        self._differences = {}
        self._admitted_at = {}
        self._summary_start = 0
        self._members = None
        self._member_order = []
        self._changed = set()
        for prefix in ownership.shards(service):
            self._update_holder(prefix)

    @property
    def service(self):
        """Name of the service."""
        return self._service

    @property
    def total(self):
        """Reported requests/s of the service."""
        return self._total

    @property
    def moving(self):
        """Prefixes of shards with a move in progress."""
        return self._moving

    @property
    def changed(self):
        """Prefixes whose rate or holder changed since the last `clear_changed`."""
        return self._changed

    def clear_changed(self, deferred=()):
        """Reset the set of changed shards to the deferred ones."""
        self._changed = set(deferred)

    def held(self, holder):
        """Return the prefixes of a holder; ``""`` stands for shards without owner."""
        return self._held.get(holder, frozenset())

    def holder(self, prefix):
        """Return the holder of a shard, or None if the shard does not exist."""
        return self._holder.get(prefix)

    def holders(self):
        """Return all holders."""
        return list(self._held)

    def rate(self, prefix):
        """Return the requests/s of a shard."""
        return self._rates.get(prefix, 0.0)

    def load(self, prefix):
        """Return the load of a shard: its rate plus a weight for its key share."""
        return self.rate(prefix) + self._key_share_load() * 2.0 ** -len(prefix)

    def load_of(self, holder):
        """Return the load of a holder."""
        rate, share = self._sums.get(holder, (0.0, 0.0))
        return rate + self._key_share_load() * share

    def newest_report(self, incarnation):
        """Return the newest report of a target, or None."""
        return self._newest_reports.get(incarnation)

    def has_recent_report(self, incarnation, now):
        """Return whether the newest report of a target is recent."""
        report = self._newest_reports.get(incarnation)
        if report is None:
            return False
        return now - report.at <= RECENT_REPORTS * report_interval(len(self.members()))

    def in_cooldown(self, prefix, now, cooldown_s):
        """Return whether a shard moved less than ``cooldown_s`` seconds ago."""
        moved_at = self._moved_at.get(prefix)
        return moved_at is not None and now - moved_at < cooldown_s

    def admitted_at(self, incarnation):
        """Return when the admission of a live target was read.

        Returns None if it was read before this state was created.
        """
        return self._admitted_at.get(incarnation)

    def takes_shards(self, incarnation):
        """Return whether a target is live and not leaving."""
        return self._ownership.takes_shards(incarnation)

    def members(self):
        """Return ``{incarnation: Admit}`` of the live targets of the service."""
        if self._members is None:
            live = self._ownership.live(self._service)
            self._members = {key: state.admit for key, state in live}
            self._member_order = list(self._members)
        return self._members

    def hot_keys(self, holder):
        """Return ``(hash bits, requests/s)`` of the hottest keys of a holder."""
        report = self._newest_reports.get(holder)
        keys = report.keys if report else ()
        return [(format(key, f"0{HASH_BITS}b"), rate) for key, rate in keys]

    def _key_share_load(self):
        return KEY_SHARE_WEIGHT * (self._total or 1.0)

    def add_report(self, report, now):
        """Update rates from the report of a target.

        Rates of shards that the sender did not own during the whole measured window
        are ignored: ownership is decided by the fold of the log, not by reports.

        Parameters
        ----------
        report : Report
        now : float
            Time in seconds.
        """
        if report.incarnation not in self.members():
            return
        shards = self._ownership.shards(self._service)
        for prefix, rate in report.shards:
            shard = shards.get(prefix)
            if shard and shard.owner == report.incarnation:
                if shard.epoch <= report.since:
                    self._add_rate(prefix, report.incarnation, rate / RATE_SCALE)
        scale = self.correction(report.incarnation) / RATE_SCALE
        keys = tuple((key, rate * scale) for key, rate in report.keys)
        self._newest_reports[report.incarnation] = TargetReport(
            now, report.in_flight, report.rate / RATE_SCALE, keys
        )

    def correction(self, incarnation):
        """Return the factor by which the reported rates of a target are multiplied."""
        return self._corrections.get(incarnation, 1.0)

    def _add_rate(self, prefix, reporter, reported_rate):
        """Set a reported rate and compare it with that of the previous reporter."""
        previous = self._reporters.get(prefix)
        self._reporters[prefix] = reporter
        expected = self.rate(prefix)
        rate = reported_rate * self.correction(reporter)
        if previous not in (None, reporter):
            if min(rate, expected) >= CORRECTION_MIN_RATE:
                difference = _significant_log_ratio(rate, expected)
                self._record_difference(previous, difference)
                self._record_difference(reporter, -difference)
        # The correction may have changed because of the recorded difference.
        self._set_rate(prefix, reported_rate * self.correction(reporter))

    def _record_difference(self, incarnation, difference):
        differences = self._differences.setdefault(
            incarnation, deque(maxlen=2 * CORRECTION_SAMPLES - 1)
        )
        differences.append(difference)
        median = statistics.median(differences)
        if len(differences) >= CORRECTION_SAMPLES and abs(median) > math.log(
            CORRECTION_FACTOR
        ):
            differences.clear()
            self._correct(incarnation, math.exp(median / 2))

    def _correct(self, incarnation, step):
        if incarnation not in self.members():
            return
        old = self.correction(incarnation)
        new = min(max(old * step, 1 / MAX_CORRECTION), MAX_CORRECTION)
        self._corrections[incarnation] = new
        for prefix in list(self.held(incarnation)):
            if self._reporters.get(prefix) == incarnation:
                self._set_rate(prefix, self.rate(prefix) * new / old)

    def summary(self):
        """Return ``(incarnation, in_flight, rate)`` of some targets, in rotation.

        Successive calls return different targets, so that concurrent takeovers by
        different nodes do not all choose the same few targets.
        """
        size = len(self.members())
        count = min(SUMMARY_TARGETS, size)
        start = self._summary_start
        self._summary_start = (start + count) % max(1, size)
        selected = [self._member_order[(start + n) % size] for n in range(count)]
        return [
            (
                incarnation,
                self._in_flight(incarnation),
                round(self.load_of(incarnation) * RATE_SCALE),
            )
            for incarnation in selected
        ]

    def _in_flight(self, incarnation):
        report = self._newest_reports.get(incarnation)
        return report.in_flight if report else 0

    def observe(self, record, now):
        """Update the state from an ownership record that took effect."""
        kind = type(record)
        if kind in (records.Admit, records.Dead, records.Leave):
            self._observe_membership(record, now)
        if hasattr(record, "shards"):
            for shard in record.shards:
                if shard.service == self._service:
                    self._update_holder(shard.prefix)
                    if kind is records.Move:
                        self._moved_at[shard.prefix] = now
        elif getattr(record, "service", None) == self._service:
            self._observe_shard(record, kind)

    def _observe_membership(self, record, now):
        self._members = None
        if type(record) is records.Admit:
            if record.service == self._service:
                self._admitted_at[record.incarnation] = now
            return
        bases = getattr(record, "bases", None) or (record,)
        for ended in [base.incarnation for base in bases]:
            for prefix in list(self.held(ended)):
                self._update_holder(prefix)
            self._newest_reports.pop(ended, None)
            self._corrections.pop(ended, None)
            self._differences.pop(ended, None)
            self._admitted_at.pop(ended, None)

    def _observe_shard(self, record, kind):
        if kind is records.Split:
            self._split_rate(record.prefix)
        elif kind is records.Merge:
            pair = [record.prefix + digit for digit in "01"]
            self._set_rate(record.prefix, sum(map(self.rate, pair)))
            for prefix in pair:
                self._remove(prefix)
            self._update_holder(record.prefix)
        elif kind in (records.Release, records.Cancel):
            self._update_holder(record.prefix)

    def _split_rate(self, prefix):
        """Distribute the rate of a split shard.

        Known hot keys count for the half that contains them; the rest is divided
        evenly.
        """
        hot_keys = self.hot_within(prefix)
        rate = self.rate(prefix)
        scale = (
            min(1.0, rate / max(1e-9, sum(r for _, r in hot_keys))) if hot_keys else 0.0
        )
        remainder = max(0.0, rate - sum(r for _, r in hot_keys))
        self._remove(prefix)
        for digit in "01":
            child = prefix + digit
            own = sum(r for bits, r in hot_keys if bits.startswith(child)) * scale
            self._set_rate(child, own + remainder / 2)
            self._update_holder(child)

    def hot_within(self, prefix):
        """Return the hot keys of a shard that its holder reported."""
        keys = self.hot_keys(self.holder(prefix))
        return [(bits, rate) for bits, rate in keys if bits.startswith(prefix)]

    def _set_rate(self, prefix, rate):
        before = self._rates.get(prefix, 0.0)
        self._rates[prefix] = rate
        self._changed.add(prefix)
        self._total = max(0.0, self._total + rate - before)
        self._add_to_holder(self._holder.get(prefix), rate - before, 0.0)

    def _add_to_holder(self, holder, rate, share):
        if holder is None:
            return
        rates, shares = self._sums.get(holder, (0.0, 0.0))
        self._sums[holder] = (max(0.0, rates + rate), max(0.0, shares + share))

    def _update_holder(self, prefix):
        """Update the holder of one shard from the ownership fold."""
        shard = self._ownership.shards(self._service).get(prefix)
        if shard is None:
            self._remove(prefix)
            return
        self._moving.discard(prefix)
        if shard.destination:
            self._moving.add(prefix)
        self._set_holder(prefix, shard.destination or shard.owner)

    def _set_holder(self, prefix, holder):
        before = self._holder.get(prefix)
        if before == holder:
            return
        share, rate = 2.0 ** -len(prefix), self.rate(prefix)
        if before is not None:
            self._add_to_holder(before, -rate, -share)
            self._held[before].discard(prefix)
            if not self._held[before]:
                del self._held[before]
                del self._sums[before]
        self._holder[prefix] = holder
        self._changed.add(prefix)
        self._held.setdefault(holder, set()).add(prefix)
        self._add_to_holder(holder, rate, share)

    def _remove(self, prefix):
        holder = self._holder.pop(prefix, None)
        rate = self._rates.pop(prefix, 0.0)
        self._total = max(0.0, self._total - rate)
        self._moving.discard(prefix)
        self._moved_at.pop(prefix, None)
        self._changed.discard(prefix)
        self._reporters.pop(prefix, None)
        if holder is None:
            return
        self._add_to_holder(holder, -rate, -(2.0 ** -len(prefix)))
        self._held[holder].discard(prefix)
        if not self._held[holder]:
            del self._held[holder]
            del self._sums[holder]
