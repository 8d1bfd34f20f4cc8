"""Load reports from a node to the planner of its service.

A report lists only shards whose rate changed since the planner last acknowledged it, so
that the size of a report and the work of the planner depend on the number of changes.
The planner replies with loads of other targets.
"""

import math
import random

import trio

from jujuberudder_peers import Report, Summary

from ._meter import TICK_S, WINDOW_TICKS
from ._placement_state import RATE_SCALE, report_interval

MAX_REPORTED_SHARDS = 24
MIN_CHANGE_SHARE = 0.05
# Share per second by which an estimate approaches the measured rate. If the difference
# exceeds counting noise, the estimate is set to the measured rate.
SMOOTHING = 0.1
SMOOTHING_WINDOW_S = 2 / SMOOTHING
NOISE_DEVIATIONS = 3.0
# Interval of load requests to the planners of other services whose incarnations this
# node may have to take over.
FOREIGN_LOADS_TICKS = 3
LOADS_MAX_AGE_S = 12.0


class Reporter:
    """Rates that the planner has acknowledged, and loads received from planners.

    Parameters
    ----------
    meter : LoadMeter
    """

    def __init__(self, meter):
        self._meter = meter
        self._planner = None
        self._acknowledged = {}
        self._estimates = {}
        self._loads = {}

    def make_report(self, local, planner):
        """Return the next report.

        Parameters
        ----------
        local : LocalIncarnation
        planner : str
            Incarnation of the planner. A new planner gets the rates of all shards,
            over several reports if necessary.

        Returns
        -------
        report : Report
        """
        if planner != self._planner:
            self._planner = planner
            self._acknowledged = {}
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
        """Return changed rates of shards owned during the whole window.

        Shards that were never acknowledged come first, then the largest changes.
        """
        shards = local.ownership.shards(service)
        changes, acknowledged, estimates = [], {}, {}
        for name, prefix in local.ownership.owned(local.incarnation):
            epoch = shards[prefix].epoch
            if name != service or epoch > self._meter.since:
                continue
            rate = _smooth(
                self._estimates.get((prefix, epoch)), rates.get((service, prefix), 0.0)
            )
            estimates[prefix, epoch] = rate
            previous = self._acknowledged.get((prefix, epoch))
            if previous is None:
                changes.append((-math.inf, prefix, epoch, rate))
                continue
            acknowledged[prefix, epoch] = previous
            change = abs(rate - previous)
            if change > max(
                MIN_CHANGE_SHARE * rate, math.sqrt(rate / SMOOTHING_WINDOW_S) / 2
            ):
                changes.append((-change, prefix, epoch, rate))
        self._acknowledged, self._estimates = acknowledged, estimates
        return [
            (prefix, _scaled(rate))
            for _, prefix, _, rate in sorted(changes)[:MAX_REPORTED_SHARDS]
        ]

    def record_reply(self, local, report, summary, now):
        """Record that the planner acknowledged a report, and keep its summary."""
        shards = local.ownership.shards(report.service)
        for prefix, rate in report.shards:
            if prefix in shards:
                self._acknowledged[prefix, shards[prefix].epoch] = rate / RATE_SCALE
        self.record_loads(report.service, summary, now)

    def record_loads(self, service, summary, now):
        """Keep the loads of a summary and remove outdated ones."""
        loads = self._loads.setdefault(service, {})
        for incarnation, in_flight, rate in summary.loads:
            loads[incarnation] = (now, in_flight, rate / RATE_SCALE)
        for incarnation in [
            k for k, v in loads.items() if now - v[0] > LOADS_MAX_AGE_S
        ]:
            del loads[incarnation]

    def loads(self, service):
        """Return ``{incarnation: (received at, in flight, requests/s)}``."""
        return self._loads.get(service, {})


def _scaled(rate):
    return round(rate * RATE_SCALE)


def _smooth(estimate, measured):
    """Return the next estimate of a rate from its measured value."""
    if estimate is None:
        return measured
    window_s = WINDOW_TICKS * TICK_S
    noise = NOISE_DEVIATIONS * math.sqrt(max(estimate, 1 / window_s) / window_s)
    if abs(measured - estimate) > noise:
        return measured
    return estimate + SMOOTHING * (measured - estimate)


async def run_reports(local):
    """Report the load of this node periodically.

    Parameters
    ----------
    local : LocalIncarnation
    """
    ticks = 0
    due_at = 0.0
    while True:
        await trio.sleep(TICK_S)
        local.meter.start_tick()
        if local.holds_lease() and trio.current_time() >= due_at:
            await _report(local)
            targets = len(local.ownership.live(local.settings.service))
            # Jitter prevents bursts of reports at the planner.
            interval = report_interval(targets) * random.uniform(0.9, 1.1)
            due_at = trio.current_time() + interval - TICK_S / 2
        if ticks % FOREIGN_LOADS_TICKS == 0:
            for service in _foreign_services(local):
                await _request_loads(local, service)
        ticks += 1


async def _report(local):
    planner = _planner(local, local.settings.service)
    if planner is None:
        return
    report = local.reporter.make_report(local, planner)
    reply = await _send_report(local, planner, report)
    if isinstance(reply, Summary):
        local.reporter.record_reply(local, report, reply, trio.current_time())


def _planner(local, service):
    claim = local.ownership.planners.get(service)
    alive = claim and local.ownership.alive(claim.planner)
    return claim.planner if alive else None


async def _send_report(local, planner, report):
    if planner == local.incarnation:
        return await local.answer_report(report)
    address = local.control_address(planner)
    return (await local.call(address, report)).ok() if address else None


def _foreign_services(local):
    """Return the other services of which this node witnesses an incarnation."""
    incarnations = local.ownership.incarnations
    services = {
        incarnations[incarnation].admit.service
        for incarnation in local.witness.watched()
        if incarnation in incarnations
    }
    return sorted(services - {local.settings.service})


async def _request_loads(local, service):
    planner = _planner(local, service)
    if planner is None:
        return
    request = Report(local.settings.deployment, service, "", 0, 0, 0, [], [])
    reply = await _send_report(local, planner, request)
    if isinstance(reply, Summary):
        local.reporter.record_loads(service, reply, trio.current_time())
