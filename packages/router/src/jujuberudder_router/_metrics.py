"""Counters and latency histograms of a node in the text format of Prometheus.

Replaces ``prometheus_client``, which takes 0.1 to 0.3 s to import when a node starts
and 7 us per observation, by the two metric types that a node needs.
"""

from bisect import bisect_left
from collections import Counter

# Upper bounds of the histogram buckets: from one hop to the longest time-out of the
# users' routes.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0)

# Names and descriptions of the counters. docs/OPERATIONS.md has the same list.
EVENTS = {
    "completed": "requests answered with a status below 500",
    "failed": "requests answered with a status of 500 or above, or without a route",
    "unanswered": "requests whose connection ended before their response",
    "malformed": "malformed requests",
    "memory_refusals": "requests refused because there was no memory for their body",
    "own_404": "404 responses of the router itself: no route",
    "own_502": "502 responses of the router itself: the request may have run",
    "own_503": "503 responses of the router itself: the request has not run",
    "own_504": "504 responses of the router itself: no response in time",
    "repeated": "retries: requests sent to a further target",
    "repeat_budget_spent": "retries not sent because the retry budget was spent",
    "refused_for_link": "requests refused because their response would be late on "
    "the network link of the VM",
    "hedged": "requests sent to a second target because the response was late",
    "hedge_won": "such requests whose response came from the second target",
    "hedge_budget_spent": "requests not sent to a second target because the share of "
    "second sends or the retry budget was spent",
    "drawn_by_speed": "requests for which VMs were drawn in proportion to their speed",
    "refused_at_gate": "requests refused by the node beside the target",
    "returned_by_slow_target": "requests returned because the target is slow now",
    "target_failures": "failed exchanges with the target",
    "target_refusals": "requests refused by the target itself",
    "key_map_changes": "changes to the key map appended by this node",
    "keys_given_up": "key ranges handed over to another VM because of load",
    "sudden_splits": "splits of keys because of a demand that rose suddenly",
    "grants": "heartbeats answered with a grant",
    "grants_withheld": "heartbeats of a keyed service answered without a grant",
    "grant_calls": "calls that grant or renew a key range at the target",
    "grant_calls_unanswered": "such calls without a response that could be read",
    "grant_calls_refused": "such calls that were refused because of a higher fence",
    "release_calls": "calls that release a key range at the target",
    "release_calls_unanswered": "such calls without a response that could be read",
    "grants_disowned": "ranges not used because the target stated not to hold a key",
    "returns": "requests of clients that return after a refusal",
    "entry_refusals": "requests refused unsent because all reports state no room",
    "entry_probes": "such requests that were sent to detect available capacity",
    "waiters_displaced": "waiting requests refused because of more urgent ones",
    "starved_starts": "slots given to a route that had got none for too long",
    "called_route_changed": "routes found to be called by targets, or no more",
    "store_era": "topics read anew because the store came back from an older copy",
    "heartbeats_ignored": "readable heartbeats that are not of the target beside the "
    "node",
    "leaving_not_written": "calls of a leaving target that were not acknowledged "
    "because the store did not take its entry in time",
    "key_map_old": "key maps read that are older than the known one",
    "key_map_restored": "key maps appended because the store lacked them in a new era",
    "key_map_settled": "key maps appended that end the wait after a new era",
    "evacuation_begins": "evacuations of a zone that this node read",
    "evacuation_ends": "ends of evacuations that this node read",
    "refused_evacuated": "requests refused because the target's zone is evacuated",
    "target_cold": "times that the target became cold",
    "sent_to_cold_target": "requests sent to the target while it was cold",
    "health_checks": "health checks of the target, to learn whether it is cold",
    "store_failures": "failed calls to the store",
    "store_relays": "calls to the store made for another node",
}
# Names of the histograms and the times that they measure, in seconds.
HISTOGRAMS = {
    "request": "from the last byte of a request to its response",
    "gate_wait": "in the admission queue, for requests that were sent to the target",
    "target": "from the first byte sent to the target to its complete response",
}


class Histogram:
    """Counts of durations per bucket."""

    def __init__(self):
        self._counts = [0] * (len(BUCKETS_S) + 1)
        self._sum_s = 0.0

    @property
    def count(self):
        """Number of durations."""
        return sum(self._counts)

    def observe(self, duration_s):
        """Add a duration in seconds."""
        self._counts[bisect_left(BUCKETS_S, duration_s)] += 1
        self._sum_s += duration_s

    def lines(self, name):
        """Return the histogram as lines of the text format."""
        buckets, total = [], 0
        for bound, count in zip([*BUCKETS_S, "+Inf"], self._counts):
            total += count
            buckets.append(f'{name}_bucket{{le="{bound}"}} {total}')
        return [*buckets, f"{name}_sum {self._sum_s:.6f}", f"{name}_count {total}"]


class Metrics:
    """All counters and histograms of a node."""

    def __init__(self):
        self._events = Counter()
        # Route to the name of a histogram to [count, sum, maximum] in seconds.
        self._route_times = {}
        self._histograms = {name: Histogram() for name in HISTOGRAMS}

    def count(self, event):
        """Count an event of ``EVENTS``."""
        self._events[event] += 1

    def observe(self, name, duration_s, route=None):
        """Add a duration in seconds to a histogram of ``HISTOGRAMS``.

        With a ``route``, it is added to the times of that route as well.
        """
        self._histograms[name].observe(duration_s)
        if route is not None:
            times = self._route_times.setdefault(route, {})
            entry = times.setdefault(name, [0, 0.0, 0.0])
            entry[0] += 1
            entry[1] += duration_s
            entry[2] = max(entry[2], duration_s)

    def take_route_times(self, max_routes):
        """Return the times of the busiest routes since the last call.

        Returns
        -------
        list of (str, dict)
            Route, and for each histogram with durations its ``NAME_n``,
            ``NAME_mean_s`` and ``NAME_max_s``.
        """
        route_times, self._route_times = self._route_times, {}
        busiest = sorted(
            route_times.items(),
            key=lambda item: -sum(entry[0] for entry in item[1].values()),
        )
        return [
            (
                route,
                {
                    f"{name}_{suffix}": value
                    for name, (count, sum_s, max_s) in times.items()
                    for suffix, value in (
                        ("n", count), ("mean_s", sum_s / count), ("max_s", max_s),
                    )
                },
            )
            for route, times in busiest[:max_routes]
        ]  # fmt: skip

    def text(self, gauges):
        """Return all metrics in the text format.

        Parameters
        ----------
        gauges : dict of str to float
            Current values by name.
        """
        lines = [
            f'jujuberudder_events_total{{event="{name}"}} {self._events[name]}'
            for name in EVENTS
        ]
        for name, histogram in self._histograms.items():
            lines += histogram.lines(f"jujuberudder_{name}_seconds")
        lines += [f"jujuberudder_{name} {value}" for name, value in gauges.items()]
        return "\n".join(lines) + "\n"
