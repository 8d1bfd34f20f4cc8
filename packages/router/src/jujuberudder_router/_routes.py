"""Routes of requests, traffic splits between services, and the retry budget."""


def match_route(configuration, host, path):
    """Return the route of the host with the longest matching path prefix, or None."""
    for route in configuration.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def order_routes(routes):
    """Return the routes of each host, the longest prefix first."""
    by_host = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    for host_routes in by_host.values():
        host_routes.sort(key=lambda route: -len(route.prefix))
    return by_host


class TrafficSplitter:
    """Distributes the requests of each route to its services by their weights.

    Each request goes to the service that is furthest below its share, so that the
    shares are met over few requests as well.
    """

    def __init__(self):
        # (route name, services) to the number of requests sent to each service.
        self._counts = {}

    def pick(self, route):
        """Return the service for the next request of a route."""
        services = route.weighted_services
        if len(services) == 1:
            return services[0].service
        counts = self._counts.setdefault((route.name, services), [0] * len(services))
        index = self._next_index(services, counts)
        counts[index] += 1
        return services[index].service

    def peek(self, route):
        """Return what ``pick`` would return, without counting a request."""
        services = route.weighted_services
        counts = self._counts.get((route.name, services), [0] * len(services))
        return services[self._next_index(services, counts)].service

    def _next_index(self, services, counts):
        total = sum(service.weight for service in services) or 1.0
        request_count = sum(counts) + 1
        deficits = [
            service.weight / total * request_count - count
            for service, count in zip(services, counts)
        ]
        return max(range(len(services)), key=deficits.__getitem__)


class RetryBudget:
    """Number of retries that a node may make for a service in a sliding window.

    Together all nodes may make ``ratio * requests + slack`` retries in a window. Each
    node counts its own requests and uses an equal part of the slack.

    Parameters
    ----------
    ratio, slack : float
    window_s : float
        Length of the window, in seconds.
    """

    # Number of slices of a window in which requests are counted.
    SLICES = 20

    def __init__(self, ratio, slack, window_s):
        self._ratio = ratio
        self._slack = slack
        self._slice_s = window_s / self.SLICES
        # Service to the counts by number of the slice.
        self._requests = {}
        self._retries = {}

    def _recent_slices(self, counts, service, now):
        oldest = int(now / self._slice_s) - self.SLICES
        slices = counts.setdefault(service, {})
        for number in [n for n in slices if n < oldest]:
            del slices[number]
        return slices

    def count_request(self, service, now):
        """Count a request of a client."""
        slices = self._recent_slices(self._requests, service, now)
        number = int(now / self._slice_s)
        slices[number] = slices.get(number, 0) + 1

    def try_spend(self, service, nodes, now):
        """Count a retry if the budget allows it, and return whether it does."""
        requests = sum(self._recent_slices(self._requests, service, now).values())
        slices = self._recent_slices(self._retries, service, now)
        allowed = self._ratio * requests + self._slack / max(1, nodes)
        if sum(slices.values()) + 1 > allowed:
            return False
        number = int(now / self._slice_s)
        slices[number] = slices.get(number, 0) + 1
        return True
