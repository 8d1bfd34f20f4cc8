"""Which route a request takes, and which part of it."""


def match_route(configuration, host, path):
    """Return the route of a host with the longest prefix of the path, or None."""
    for route in configuration.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def order_routes(routes):
    """Return routes by host, the longest prefix first."""
    by_host = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    for found in by_host.values():
        found.sort(key=lambda route: -len(route.prefix))
    return by_host


class TrafficSplitter:
    """Deals the requests of each route to its parts by their weights.

    Each request goes to the part that is furthest behind its share, so that shares hold
    also over few requests.
    """

    def __init__(self):
        self._counts = {}

    def pick(self, route):
        """Return the service for the next request of a route."""
        parts = route.weighted_services
        if len(parts) == 1:
            return parts[0].service
        identity = (route.name, parts)
        counts = self._counts.setdefault(identity, [0] * len(parts))
        total = sum(part.weight for part in parts) or 1.0
        sent = sum(counts) + 1
        behind = [p.weight / total * sent - c for p, c in zip(parts, counts)]
        index = max(range(len(parts)), key=behind.__getitem__)
        counts[index] += 1
        return parts[index].service


class RetryBudget:
    """Second sends that a node may make for a service, over a sliding window.

    All nodes share ``ratio * requests + slack`` in a window; each counts its own
    requests and takes an equal part of the slack.

    Parameters
    ----------
    ratio, slack : float
    window_s : float
    """

    # Slices of a window in which requests are counted.
    SLICES = 20

    def __init__(self, ratio, slack, window_s):
        self._ratio = ratio
        self._slack = slack
        self._slice_s = window_s / self.SLICES
        self._requests = {}
        self._repeats = {}

    def _count(self, counts, service, now):
        oldest = int(now / self._slice_s) - self.SLICES
        slices = counts.setdefault(service, {})
        for number in [n for n in slices if n < oldest]:
            del slices[number]
        return slices

    def count_request(self, service, now):
        """Count a client's request."""
        slices = self._count(self._requests, service, now)
        number = int(now / self._slice_s)
        slices[number] = slices.get(number, 0) + 1

    def try_spend(self, service, nodes, now):
        """Return whether a second send is allowed, and count it."""
        requests = sum(self._count(self._requests, service, now).values())
        slices = self._count(self._repeats, service, now)
        allowed = self._ratio * requests + self._slack / max(1, nodes)
        if sum(slices.values()) + 1 > allowed:
            return False
        number = int(now / self._slice_s)
        slices[number] = slices.get(number, 0) + 1
        return True
