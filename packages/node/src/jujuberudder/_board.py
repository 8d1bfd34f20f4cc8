"""What the planner of a service knows of its load, kept up to date by changes."""

import math
import statistics
from collections import deque
from typing import NamedTuple

from jujuberudder_core import HASH_BITS, records

# Load that a shard counts for its key share alone, as a share of the total load: an
# idle or unmeasured service is balanced by key share.
KEY_SHARE_WEIGHT = 0.05
# Reports a second that a planner takes in; more targets report less often.
MAX_REPORTS_PER_S = 300
REPORT_S = 1.0
FRESH_REPORTS = 5
RATE_SCALE = 10
SUMMARY_TARGETS = 24
# Two owners' counts of one moved shard differ if one of them counts wrongly, or if the
# load changed meanwhile. Only the median of several differences above this factor is
# put down to wrong counting, half of it to each owner.
CORRECTION_FACTOR = 1.25
CORRECTION_SAMPLES = 3
CORRECTION_MIN_RATE = 1.0
CORRECTION_DEVIATIONS = 2.0
# Window of a report.
COUNTED_S = 4.0
MAX_CORRECTION = 8.0


def report_interval(targets):
    """Return the seconds between two reports of a target of a service."""
    return max(REPORT_S, targets / MAX_REPORTS_PER_S)


def _beyond_chance(given, expected):
    """Return the part of the log ratio of two rates that counting noise leaves."""
    ratio = math.log(given / expected)
    counted = min(given, expected) * COUNTED_S
    chance = CORRECTION_DEVIATIONS / math.sqrt(counted)
    return math.copysign(max(0.0, abs(ratio) - chance), ratio)


class Heard(NamedTuple):
    """The newest report of a target; ``rate`` is in requests/s."""

    at: float
    in_flight: int
    rate: float
    keys: tuple[tuple[int, float], ...]


class Board:
    """Shards, their rates and their holders, for one service.

    The holder of a shard is its destination while it moves, else its owner. Rates
    belong to shards, not to targets: a move carries the rate with it at once, however
    late the reports of the two owners are.

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
        self._heard = {}
        self._reporter = {}
        self._corrections = {}
        self._differences = {}
        self._since = {}
        self._turn = 0
        self._members = None
        self._order = []
        self._changed = set()
        for prefix in ownership.shards(service):
            self._place(prefix)

    @property
    def service(self):
        """Name of the service."""
        return self._service

    @property
    def total(self):
        """Requests/s of the service as reported."""
        return self._total

    @property
    def moving(self):
        """Prefixes of shards that are moving."""
        return self._moving

    @property
    def changed(self):
        """Prefixes of shards with a changed rate or holder since `clear_changed`."""
        return self._changed

    def clear_changed(self, deferred=()):
        """Forget which shards changed, except those left for later."""
        self._changed = set(deferred)

    def held(self, holder):
        """Return the prefixes that a holder has; ``""`` holds those without owner."""
        return self._held.get(holder, frozenset())

    def holder(self, prefix):
        """Return who holds a shard, or None if there is no such shard."""
        return self._holder.get(prefix)

    def holders(self):
        """Return all holders."""
        return list(self._held)

    def rate(self, prefix):
        """Return the requests/s of a shard."""
        return self._rates.get(prefix, 0.0)

    def load(self, prefix):
        """Return the load of a shard: its rate and a part for its key share."""
        return self.rate(prefix) + self._base() * 2.0 ** -len(prefix)

    def load_of(self, holder):
        """Return the load of a holder."""
        rate, share = self._sums.get(holder, (0.0, 0.0))
        return rate + self._base() * share

    def heard(self, incarnation):
        """Return the newest report of a target, or None."""
        return self._heard.get(incarnation)

    def fresh(self, incarnation, now):
        """Return whether a target reported lately."""
        heard = self._heard.get(incarnation)
        if heard is None:
            return False
        return now - heard.at <= FRESH_REPORTS * report_interval(len(self.members()))

    def cooling(self, prefix, now, cooldown_s):
        """Return whether a shard or a part of it moved less than a cooldown ago."""
        moved_at = self._moved_at.get(prefix)
        return moved_at is not None and now - moved_at < cooldown_s

    def member_since(self, incarnation):
        """Return when a live target was first seen, or None if before the board."""
        return self._since.get(incarnation)

    def takes_shards(self, incarnation):
        """Return whether a target is live and not about to leave."""
        return self._ownership.takes_shards(incarnation)

    def members(self):
        """Return ``{incarnation: Admit}`` of the live targets of the service."""
        if self._members is None:
            live = self._ownership.live(self._service)
            self._members = {key: state.admit for key, state in live}
            self._order = list(self._members)
        return self._members

    def hot_keys(self, holder):
        """Return ``(hash bits, requests/s)`` of the hottest keys of a holder."""
        heard = self._heard.get(holder)
        found = heard.keys if heard else ()
        return [(format(key, f"0{HASH_BITS}b"), rate) for key, rate in found]

    def _base(self):
        return KEY_SHARE_WEIGHT * (self._total or 1.0)

    def add_report(self, report, now):
        """Take in a report.

        Rates of shards that the sender did not own during the whole measured window
        are dropped: the fold is observed, the report only claims.

        Parameters
        ----------
        report : Report
        now : float
        """
        if report.incarnation not in self.members():
            return
        shards = self._ownership.shards(self._service)
        for prefix, rate in report.shards:
            shard = shards.get(prefix)
            if shard and shard.owner == report.incarnation:
                if shard.epoch <= report.since:
                    self._compare(prefix, report.incarnation, rate / RATE_SCALE)
        scale = self.correction(report.incarnation) / RATE_SCALE
        keys = tuple((key, rate * scale) for key, rate in report.keys)
        self._heard[report.incarnation] = Heard(
            now, report.in_flight, report.rate / RATE_SCALE, keys
        )

    def correction(self, incarnation):
        """Return the factor that a target's reported rates are multiplied by."""
        return self._corrections.get(incarnation, 1.0)

    def _compare(self, prefix, reporter, reported):
        """Take a rate in; two owners' counts of one shard correct each other."""
        before = self._reporter.get(prefix)
        self._reporter[prefix] = reporter
        expected = self.rate(prefix)
        given = reported * self.correction(reporter)
        if before not in (None, reporter):
            if min(given, expected) >= CORRECTION_MIN_RATE:
                difference = _beyond_chance(given, expected)
                self._weigh(before, difference)
                self._weigh(reporter, -difference)
        self._set_rate(prefix, reported * self.correction(reporter))

    def _weigh(self, incarnation, difference):
        seen = self._differences.setdefault(
            incarnation, deque(maxlen=2 * CORRECTION_SAMPLES - 1)
        )
        seen.append(difference)
        median = statistics.median(seen)
        if len(seen) >= CORRECTION_SAMPLES and abs(median) > math.log(
            CORRECTION_FACTOR
        ):
            seen.clear()
            self._correct(incarnation, math.exp(median / 2))

    def _correct(self, incarnation, step):
        if incarnation not in self.members():
            return
        old = self.correction(incarnation)
        new = min(max(old * step, 1 / MAX_CORRECTION), MAX_CORRECTION)
        self._corrections[incarnation] = new
        for prefix in list(self.held(incarnation)):
            if self._reporter.get(prefix) == incarnation:
                self._set_rate(prefix, self.rate(prefix) * new / old)

    def summary(self):
        """Return ``(incarnation, in_flight, rate)`` of a rotating part of the targets.

        The parts differ from caller to caller, so that many takeovers at once do not
        all choose the same few targets.
        """
        size = len(self.members())
        count = min(SUMMARY_TARGETS, size)
        start = self._turn
        self._turn = (start + count) % max(1, size)
        part = [self._order[(start + n) % size] for n in range(count)]
        return [
            (one, self._in_flight(one), round(self.load_of(one) * RATE_SCALE))
            for one in part
        ]

    def _in_flight(self, incarnation):
        heard = self._heard.get(incarnation)
        return heard.in_flight if heard else 0

    def observe(self, record, now):
        """Follow a record of the ownership stream that took effect."""
        kind = type(record)
        if kind in (records.Admit, records.Dead, records.Leave):
            self._observe_members(record, now)
        if hasattr(record, "shards"):
            for shard in record.shards:
                if shard.service == self._service:
                    self._place(shard.prefix)
                    if kind is records.Move:
                        self._moved_at[shard.prefix] = now
        elif getattr(record, "service", None) == self._service:
            self._observe_shard(record, kind)

    def _observe_members(self, record, now):
        self._members = None
        if type(record) is records.Admit:
            if record.service == self._service:
                self._since[record.incarnation] = now
            return
        bases = getattr(record, "bases", None) or (record,)
        for ended in [base.incarnation for base in bases]:
            for prefix in list(self.held(ended)):
                self._place(prefix)
            self._heard.pop(ended, None)
            self._corrections.pop(ended, None)
            self._differences.pop(ended, None)
            self._since.pop(ended, None)

    def _observe_shard(self, record, kind):
        if kind is records.Split:
            self._divide(record.prefix)
        elif kind is records.Merge:
            pair = [record.prefix + digit for digit in "01"]
            self._set_rate(record.prefix, sum(map(self.rate, pair)))
            for prefix in pair:
                self._drop(prefix)
            self._place(record.prefix)
        elif kind in (records.Release, records.Cancel):
            self._place(record.prefix)

    def _divide(self, prefix):
        """Give the rate of a shard to its halves; hot keys go where they are."""
        hot = self.hot_within(prefix)
        rate = self.rate(prefix)
        known = min(1.0, rate / max(1e-9, sum(r for _, r in hot))) if hot else 0.0
        rest = max(0.0, rate - sum(r for _, r in hot))
        self._drop(prefix)
        for digit in "01":
            child = prefix + digit
            own = sum(r for bits, r in hot if bits.startswith(child)) * known
            self._set_rate(child, own + rest / 2)
            self._place(child)

    def hot_within(self, prefix):
        """Return the hot keys of a shard's holder that are in the shard."""
        keys = self.hot_keys(self.holder(prefix))
        return [(bits, rate) for bits, rate in keys if bits.startswith(prefix)]

    def _set_rate(self, prefix, rate):
        before = self._rates.get(prefix, 0.0)
        self._rates[prefix] = rate
        self._changed.add(prefix)
        self._total = max(0.0, self._total + rate - before)
        self._add(self._holder.get(prefix), rate - before, 0.0)

    def _add(self, holder, rate, share):
        if holder is None:
            return
        rates, shares = self._sums.get(holder, (0.0, 0.0))
        self._sums[holder] = (max(0.0, rates + rate), max(0.0, shares + share))

    def _place(self, prefix):
        """Follow the fold for one shard."""
        shard = self._ownership.shards(self._service).get(prefix)
        if shard is None:
            self._drop(prefix)
            return
        self._moving.discard(prefix)
        if shard.destination:
            self._moving.add(prefix)
        self._hold(prefix, shard.destination or shard.owner)

    def _hold(self, prefix, holder):
        before = self._holder.get(prefix)
        if before == holder:
            return
        share, rate = 2.0 ** -len(prefix), self.rate(prefix)
        if before is not None:
            self._add(before, -rate, -share)
            self._held[before].discard(prefix)
            if not self._held[before]:
                del self._held[before]
                del self._sums[before]
        self._holder[prefix] = holder
        self._changed.add(prefix)
        self._held.setdefault(holder, set()).add(prefix)
        self._add(holder, rate, share)

    def _drop(self, prefix):
        holder = self._holder.pop(prefix, None)
        rate = self._rates.pop(prefix, 0.0)
        self._total = max(0.0, self._total - rate)
        self._moving.discard(prefix)
        self._moved_at.pop(prefix, None)
        self._changed.discard(prefix)
        self._reporter.pop(prefix, None)
        if holder is None:
            return
        self._add(holder, -rate, -(2.0 ** -len(prefix)))
        self._held[holder].discard(prefix)
        if not self._held[holder]:
            del self._held[holder]
            del self._sums[holder]
