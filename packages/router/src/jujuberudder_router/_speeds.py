"""Speeds of the targets of services without keys, and their work time at present.

It handles load on targets of unequal speed: the node beside a target states the mean
service time of a route in each reply, and the entry node chooses a VM by the times of
the request's route. Times of different routes are never compared with each other.

A target may also be several times slower for less than a second, and state that by its
work time factor. Then the node beside it returns requests that another target serves
sooner.
"""

from typing import NamedTuple

# Longest service time that is plausible, in seconds: the time-outs of the users' routes
# are below 5 s, and a request is not at work for longer than its time-out.
MAX_SERVICE_S = 60.0
# Numbers of VMs of one service and of routes of one VM whose times are kept: a multiple
# of the eight VMs of a service to which a node keeps links, and of the users' routes.
MAX_VMS, MAX_ROUTES = 64, 32
# Seconds for which relative times are used before they are computed again: a VM states
# its times about once per second, and each request uses them.
REFRESH_S = 0.2
# Seconds over which relative times are averaged: a mean of ten requests varies by 20 %,
# and targets may be three times as slow for 0.4 s, which says nothing about later.
AVERAGING_S = 2.0
# Least ratio between the times of the slowest and the fastest VM for which the speeds
# count as unequal: averaged times of equal VMs differ less.
MIN_SPEED_RATIO = 1.3
# Least weight of a VM in the draw, as a share of the mean, so that times of a VM that
# has become faster are noticed.
MIN_WEIGHT = 0.1
# Part of the difference between service times that counts if VMs are drawn by their
# speed, since fast VMs would be preferred twice otherwise: in the load that
# tests/router/test_speeds.py plays at 0.6 of the slots, the busiest VM gets 1.2 times
# its share of the rate with 0.2, and 1.5 times with 1.
DIFFERENCE_WEIGHT = 0.2
# Seconds between two log lines about the speeds of a service.
LOG_INTERVAL_S = 5.0
# Seconds for which a work time factor is valid: the users' targets are slow for 0.4 s,
# and state it in a response that may come at any time of that.
WORK_TIME_VALID_S = 0.3
# Seconds for which a node states a factor in load reports, and for which another one
# uses such a report, so that both together are within the validity.
REPORTED_WORK_TIME_VALID_S = WORK_TIME_VALID_S / 2
# Least factor for which a request is returned, so that targets whose work time varies
# a little keep their requests.
MIN_FACTOR_TO_RETURN = 2.0
# Seconds that one more hop between nodes takes: the delay between availability zones
# both ways (4.4 ms one way at most), and the work of two nodes (2 ms each).
HOP_S = 0.015
# Greatest factor that is plausible in a load report of another node.
MAX_WORK_TIME_FACTOR = 100.0
# Seconds between two log lines that a target is slow.
SLOW_LOG_INTERVAL_S = 1.0


class RelativeTimes(NamedTuple):
    """Mean service time of each route, and how long each VM takes relative to them.

    ``route_means_s`` maps a route to the mean over the VMs that have run it, in
    seconds. ``factors`` maps a VM to its time as a multiple of these means, averaged
    over the routes that other VMs have run as well.
    """

    route_means_s: dict
    factors: dict


def relative_times(times):
    """Return the ``RelativeTimes`` of the VMs of a service.

    Parameters
    ----------
    times : dict of str to dict of str to float
        For each VM, the service time of each route that it has run, in seconds.
    """
    by_route = {}
    for routes in times.values():
        for route, service_s in routes.items():
            by_route.setdefault(route, []).append(service_s)
    means = {route: sum(values) / len(values) for route, values in by_route.items()}
    factors = {}
    for vm, routes in times.items():
        ratios = [
            service_s / means[route]
            for route, service_s in routes.items()
            if len(by_route[route]) > 1
        ]
        factors[vm] = sum(ratios) / len(ratios) if ratios else 1.0
    return RelativeTimes(means, factors)


def expected_time(times, relative, vm, route):
    """Return the expected service time of a route at a VM, or 0 if it is not known.

    A VM that has not run the route is assumed to take the mean of the others, scaled by
    its relative time on other routes.

    Parameters
    ----------
    times, relative
        As for ``relative_times``, and its result.
    vm, route : str

    Returns
    -------
    service_s : float
    """
    service_s = times.get(vm, {}).get(route)
    if service_s is not None:
        return service_s
    return relative.route_means_s.get(route, 0.0) * relative.factors.get(vm, 1.0)


def average_factors(previous, factors, elapsed_s):
    """Return relative times averaged with those that were computed before.

    Parameters
    ----------
    previous, factors : dict of str to float
        Relative time of each VM, as before and as computed now.
    elapsed_s : float
        Seconds between the two.
    """
    weight = min(1.0, elapsed_s / AVERAGING_S)
    return {
        vm: (old := previous.get(vm, factor)) + weight * (factor - old)
        for vm, factor in factors.items()
    }


def draw_weights(factors, slots):
    """Return the weights with which VMs are drawn, or None if their speeds are equal.

    VMs are drawn in proportion to the rate that they can serve, slots / service time.

    Parameters
    ----------
    factors : dict of str to float
        Relative time of each VM.
    slots : dict of str to float
        Slots of each VM that may be used, 0 if they are not known.

    Returns
    -------
    weights : dict of str to float, or None
        The mean is 1.
    """
    if len(factors) < 2:
        return None
    if max(factors.values()) < MIN_SPEED_RATIO * min(factors.values()):
        return None
    known = [count for count in slots.values() if count > 0]
    mean_slots = sum(known) / len(known) if known else 1.0
    rates = {vm: (slots[vm] or mean_slots) / factor for vm, factor in factors.items()}
    mean = sum(rates.values()) / len(rates)
    return {vm: max(MIN_WEIGHT, rate / mean) for vm, rate in rates.items()}


def draw_by_weight(items, weights, count, random):
    """Return distinct items, each drawn in proportion to its weight among the rest.

    Parameters
    ----------
    items : list
    weights : list of float
        Positive weight of each item.
    count : int
    random : callable
        Returns random numbers in [0, 1).
    """
    items, weights, drawn = list(items), list(weights), []
    while items and len(drawn) < count:
        place, index = random() * sum(weights), 0
        while index < len(items) - 1 and place >= weights[index]:
            place -= weights[index]
            index += 1
        drawn.append(items.pop(index))
        del weights[index]
    return drawn


def slowed_wait(wait_s, factor):
    """Return the expected wait at a target whose work time has a factor, in seconds.

    Work takes longer only while the factor is valid.

    Parameters
    ----------
    wait_s : float
        Expected wait at the usual work time, in seconds.
    factor : float
    """
    if factor <= 1:
        return wait_s
    return min(wait_s * factor, wait_s + WORK_TIME_VALID_S * (1 - 1 / factor))


def is_faster_elsewhere(factor, service_s):
    """Return whether another target serves a request sooner, one hop included.

    Parameters
    ----------
    factor : float
        Work time factor of this target.
    service_s : float
        Usual service time of the route here in seconds, 0 if it is not known.
    """
    return factor >= MIN_FACTOR_TO_RETURN and service_s * (factor - 1) > HOP_S


def reported_factor(factor, age_s):
    """Return the factor of a load report to count, 1 if it is too old or implausible.

    Parameters
    ----------
    factor : float
    age_s : float
        Age of the report in seconds.
    """
    valid = age_s <= REPORTED_WORK_TIME_VALID_S and 1 < factor <= MAX_WORK_TIME_FACTOR
    return factor if valid else 1.0


class WorkTime:
    """Last work time factor that the target beside this node stated."""

    def __init__(self):
        self._factor, self._at = 1.0, 0.0
        self._log_at = 0.0

    def record(self, factor, now):
        """Record a factor that the target stated."""
        self._factor, self._at = factor, now

    def factor(self, now, valid_s=WORK_TIME_VALID_S):
        """Return the factor if it is above 1 and not older than ``valid_s``, else 1."""
        if self._factor <= 1 or now - self._at > valid_s:
            return 1.0
        return self._factor

    def may_log(self, now):
        """Return whether a log line is due, and count it as written."""
        if now < self._log_at:
            return False
        self._log_at = now + SLOW_LOG_INTERVAL_S
        return True


class RouteSpeeds(NamedTuple):
    """What a choice among the VMs of a service uses for requests of one route.

    ``weights`` are those of ``draw_weights``; VMs that are not listed have the weight
    1. ``times_s`` maps VMs to the service times by which they are compared, in seconds;
    ``mean_s`` is that of other VMs, 0 if no VM has run the route.
    """

    weights: dict | None
    times_s: dict
    mean_s: float


NO_SPEEDS = RouteSpeeds(None, {}, 0.0)


class _Computed(NamedTuple):
    """Values of a service, when they were computed, and ``RouteSpeeds`` by route."""

    at: float
    relative: RelativeTimes
    weights: dict | None
    by_route: dict


class SpeedTable:
    """Last service times that the VMs of each service stated, by route.

    Parameters
    ----------
    slots_of : callable
        ``slots_of(vm)`` returns the slots of a VM that may be used, 0 if not known.
    log : callable
    """

    def __init__(self, slots_of, log):
        self._slots_of, self._log = slots_of, log
        # Service to VM to route to service time in seconds; the oldest ones first.
        self._times = {}
        # Service to its _Computed, and to whether its speeds were logged as unequal and
        # when.
        self._computed, self._logged = {}, {}

    def record(self, service, vm, route, service_s):
        """Record the service time (s) that a VM stated for a route.

        Implausible times are ignored.
        """
        if not 0 < service_s <= MAX_SERVICE_S:
            return
        vms = self._times.setdefault(service, {})
        routes = vms.get(vm)
        if routes is None:
            if len(vms) >= MAX_VMS:
                del vms[next(iter(vms))]
            routes = vms[vm] = {}
        if route not in routes and len(routes) >= MAX_ROUTES:
            del routes[next(iter(routes))]
        routes[route] = service_s

    def forget(self, vm):
        """Forget the times of a VM, because its process has ended."""
        for vms in self._times.values():
            vms.pop(vm, None)

    def _compute(self, service, now, computed):
        relative = relative_times(self._times[service])
        if computed is not None:
            factors = average_factors(
                computed.relative.factors, relative.factors, now - computed.at
            )
            relative = relative._replace(factors=factors)
        slots = {vm: self._slots_of(vm) for vm in relative.factors}
        weights = draw_weights(relative.factors, slots)
        computed = self._computed[service] = _Computed(now, relative, weights, {})
        self._log_speeds(service, computed)
        return computed

    def _log_speeds(self, service, computed):
        """Log whether the speeds of a service are unequal if that has changed."""
        unequal, (logged, at) = (
            computed.weights is not None,
            self._logged.get(service, (False, -LOG_INTERVAL_S)),
        )
        if unequal == logged or computed.at - at < LOG_INTERVAL_S:
            return
        self._logged[service] = (unequal, computed.at)
        factors = computed.relative.factors.values()
        self._log(
            "target_speeds", service=service, unequal=unequal, vms=len(factors),
            fastest=min(factors, default=1.0), slowest=max(factors, default=1.0),
        )  # fmt: skip

    def of_route(self, service, route, now):
        """Return the ``RouteSpeeds`` of a service, which are at most 0.2 s old.

        If VMs are drawn by their speed, the difference of a time to the mean counts
        only in part.
        """
        times = self._times.get(service)
        if not times:
            return NO_SPEEDS
        computed = self._computed.get(service)
        if computed is None or now - computed.at >= REFRESH_S:
            computed = self._compute(service, now, computed)
        speeds = computed.by_route.get(route)
        if speeds is None:
            _, relative, weights, by_route = computed
            mean_s = relative.route_means_s.get(route, 0.0)
            part = 1.0 if weights is None else DIFFERENCE_WEIGHT
            times_s = {
                vm: mean_s + part * (expected_time(times, relative, vm, route) - mean_s)
                for vm in relative.factors
            }
            by_route[route] = speeds = RouteSpeeds(weights, times_s, mean_s)
        return speeds
