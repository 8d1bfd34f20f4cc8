"""Speeds of the targets of services without keys, as their replies state them.

It handles load on targets of unequal speed: the node beside a target states the mean
service time of a route in each reply, and the entry node chooses a VM by the times of
the request's route. Times of different routes are never compared with each other.
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


class SpeedTable:
    """Last service times that the VMs of each service stated, by route."""

    def __init__(self):
        # Service to VM to route to service time in seconds; the oldest ones first.
        self._times = {}
        # Service to (time of the computation, RelativeTimes).
        self._relative = {}

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

    def _relative_times(self, service, now):
        computed_at, relative = self._relative.get(service, (None, None))
        if computed_at is None or now - computed_at >= REFRESH_S:
            relative = relative_times(self._times.get(service, {}))
            self._relative[service] = (now, relative)
        return relative

    def expected_s(self, service, vm, route, now):
        """Return the expected service time of a route at a VM in s, 0 if not known."""
        times = self._times.get(service)
        if not times:
            return 0.0
        return expected_time(times, self._relative_times(service, now), vm, route)
