"""Load reports: each node reports to the planner of its service and learns of others.

A report lists only shards whose rate changed since the planner last answered, so its
size and the planner's work follow the changes.
"""

import math
import random

import trio

from jujuberudder_peers import Report, Summary

from ._board import RATE_SCALE, report_interval
from ._meter import TICK_S, WINDOW_TICKS

MAX_REPORTED_SHARDS = 24
CHANGE_SHARE = 0.05
# Estimates follow the measured window by this share a second, or at once if it differs
# by more than chance.
SMOOTHING = 0.1
SMOOTHED_S = 2 / SMOOTHING
JUMP_DEVIATIONS = 3.0
# Ask the planners of services whose incarnations this node may have to take over.
FOREIGN_TICKS = 3
LOADS_AGE_S = 12.0


class Reporter:
    """What this node told the planner of its service and learnt from it.

    Parameters
    ----------
    meter : LoadMeter
    """

    def __init__(self, meter):
        self._meter = meter
        self._planner = None
        self._told = {}
        self._estimates = {}
        self._loads = {}

    def make_report(self, local, planner):
        """Return the report of this tick.

        Parameters
        ----------
        local : LocalIncarnation
        planner : str
            A new planner is told everything again.
        """
        if planner != self._planner:
            self._planner = planner
            self._told = {}
        rates = self._meter.rates()
        service = local.settings.service
        return Report(
            local.settings.deployment,
            service,
            local.incarnation,
            self._meter.since,
            local.served_shards.in_flight(),
            _scaled(sum(rates.values())),
            self._changes(local, service, rates),
            [(key, _scaled(rate)) for key, rate in self._meter.hot_keys()],
        )

    def _changes(self, local, service, rates):
        """Return shards owned during the whole window, largest change first."""
        shards = local.ownership.shards(service)
        changes, told, estimates = [], {}, {}
        for name, prefix in local.ownership.owned(local.incarnation):
            epoch = shards[prefix].epoch
            if name != service or epoch > self._meter.since:
                continue
            rate = _follow(
                self._estimates.get((prefix, epoch)), rates.get((service, prefix), 0.0)
            )
            estimates[prefix, epoch] = rate
            before = self._told.get((prefix, epoch))
            if before is None:
                changes.append((-math.inf, prefix, epoch, rate))
                continue
            told[prefix, epoch] = before
            change = abs(rate - before)
            if change > max(CHANGE_SHARE * rate, math.sqrt(rate / SMOOTHED_S) / 2):
                changes.append((-change, prefix, epoch, rate))
        self._told, self._estimates = told, estimates
        return [
            (prefix, _scaled(rate))
            for _, prefix, _, rate in sorted(changes)[:MAX_REPORTED_SHARDS]
        ]

    def record_reply(self, local, report, summary, now):
        """Note that the planner took a report in, and the loads it answered with."""
        shards = local.ownership.shards(report.service)
        for prefix, rate in report.shards:
            if prefix in shards:
                self._told[prefix, shards[prefix].epoch] = rate / RATE_SCALE
        self.record_loads(report.service, summary, now)

    def record_loads(self, service, summary, now):
        """Keep the loads of a summary."""
        loads = self._loads.setdefault(service, {})
        for incarnation, in_flight, rate in summary.loads:
            loads[incarnation] = (now, in_flight, rate / RATE_SCALE)
        for incarnation in [k for k, v in loads.items() if now - v[0] > LOADS_AGE_S]:
            del loads[incarnation]

    def loads(self, service):
        """Return ``{incarnation: (heard at, in flight, requests/s)}``."""
        return self._loads.get(service, {})


def _scaled(rate):
    return round(rate * RATE_SCALE)


def _follow(estimate, measured):
    """Return the next estimate of a rate."""
    if estimate is None:
        return measured
    window_s = WINDOW_TICKS * TICK_S
    chance = JUMP_DEVIATIONS * math.sqrt(max(estimate, 1 / window_s) / window_s)
    if abs(measured - estimate) > chance:
        return measured
    return estimate + SMOOTHING * (measured - estimate)


async def run_reports(local):
    """Report once a tick for ever.

    Parameters
    ----------
    local : LocalIncarnation
    """
    ticks = 0
    due = 0.0
    while True:
        await trio.sleep(TICK_S)
        local.meter.start_tick()
        if local.holds_lease() and trio.current_time() >= due:
            await _report(local)
            targets = len(local.ownership.live(local.settings.service))
            # A random part of the interval keeps reports from coming in bursts.
            interval = report_interval(targets) * random.uniform(0.9, 1.1)
            due = trio.current_time() + interval - TICK_S / 2
        if ticks % FOREIGN_TICKS == 0:
            for service in _witnessed(local):
                await _ask(local, service)
        ticks += 1


async def _report(local):
    planner = _planner(local, local.settings.service)
    if planner is None:
        return
    report = local.reporter.make_report(local, planner)
    reply = await _send(local, planner, report)
    if isinstance(reply, Summary):
        local.reporter.record_reply(local, report, reply, trio.current_time())


def _planner(local, service):
    claimed = local.ownership.planners.get(service)
    alive = claimed and local.ownership.alive(claimed.planner)
    return claimed.planner if alive else None


async def _send(local, planner, report):
    if planner == local.incarnation:
        return await local.answer_report(report)
    address = local.control_address(planner)
    return (await local.call(address, report)).ok() if address else None


def _witnessed(local):
    """Return the other services of which this node witnesses an incarnation."""
    incarnations = local.ownership.incarnations
    services = {
        incarnations[one].admit.service
        for one in local.witness.watched()
        if one in incarnations
    }
    return sorted(services - {local.settings.service})


async def _ask(local, service):
    planner = _planner(local, service)
    if planner is None:
        return
    ask = Report(local.settings.deployment, service, "", 0, 0, 0, [], [])
    reply = await _send(local, planner, ask)
    if isinstance(reply, Summary):
        local.reporter.record_loads(service, reply, trio.current_time())
