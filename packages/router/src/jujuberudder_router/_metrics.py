"""Counters and latency histograms of a node, as text for Prometheus.

``prometheus_client`` took 0.1 to 0.3 s to import, which is start-up time of each node,
and 7 us an observation; this keeps the two kinds that a node needs.
"""

from bisect import bisect_left
from collections import Counter

# Upper bounds of the buckets, in seconds: from a hop to the longest time-out of the
# users' routes.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0)

# Each counter, and what it counts. docs/OPERATIONS.md has the same list.
EVENTS = {
    "completed": "requests answered with less than 500",
    "failed": "requests answered with 500 or more, or without a route",
    "malformed": "messages that were no proper request",
    "own_404": "answers of the node's own: no route",
    "own_502": "answers of the node's own: the request may have run",
    "own_503": "answers of the node's own: the request has not run",
    "own_504": "answers of the node's own: no answer in time",
    "repeated": "requests sent to a further target",
    "repeat_budget_spent": "second sends left out because the budget was spent",
    "refused_at_gate": "requests that the node beside the target turned away",
    "target_failures": "exchanges with the target that broke off",
    "target_refusals": "requests that the target itself turned away",
    "key_map_changes": "changes of the owners of keys that this node appended",
    "keys_given_up": "ranges of keys given to another VM because of load",
    "grants": "beats answered with a grant",
    "grants_withheld": "beats of a keyed service answered without a grant",
    "store_failures": "calls to the store that failed",
    "store_relays": "calls to the store made for another node",
}
# Each histogram, and what it measures in seconds.
HISTOGRAMS = {
    "request": "from the last byte of a request to its answer",
    "gate_wait": "in the queue beside the target, of requests that ran",
    "target": "from the first byte sent to the target to its whole answer",
}


class Histogram:
    """Counts of durations by bucket."""

    def __init__(self):
        self._counts = [0] * (len(BUCKETS_S) + 1)
        self._sum_s = 0.0

    @property
    def count(self):
        """Number of durations."""
        return sum(self._counts)

    def observe(self, duration_s):
        """Count a duration."""
        self._counts[bisect_left(BUCKETS_S, duration_s)] += 1
        self._sum_s += duration_s

    def lines(self, name):
        """Return the histogram as lines of text."""
        found, total = [], 0
        for bound, count in zip([*BUCKETS_S, "+Inf"], self._counts):
            total += count
            found.append(f'{name}_bucket{{le="{bound}"}} {total}')
        return [*found, f"{name}_sum {self._sum_s:.6f}", f"{name}_count {total}"]


class Metrics:
    """All counters and histograms of a node."""

    def __init__(self):
        self._events = Counter()
        self._histograms = {name: Histogram() for name in HISTOGRAMS}

    def count(self, event):
        """Count an event of ``EVENTS``."""
        self._events[event] += 1

    def observe(self, name, duration_s):
        """Count a duration in a histogram of ``HISTOGRAMS``."""
        self._histograms[name].observe(duration_s)

    def text(self, gauges):
        """Return all as text.

        Parameters
        ----------
        gauges : dict of str to float
            Present values, by name.
        """
        lines = [
            f'jujuberudder_events_total{{event="{name}"}} {self._events[name]}'
            for name in EVENTS
        ]
        for name, histogram in self._histograms.items():
            lines += histogram.lines(f"jujuberudder_{name}_seconds")
        lines += [f"jujuberudder_{name} {value}" for name, value in gauges.items()]
        return "\n".join(lines) + "\n"
