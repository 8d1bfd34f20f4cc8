"""Urgency of requests: called routes, running requests, and returning clients.

It handles kinds of requests that compete for the slots of a service, part of them calls
that a target makes while it processes another request.
"""

from collections import Counter, deque

# Number of requests of a route that have to begin beside targets of one service before
# the route counts as called: if half of the VMs belong to that service, the largest
# share in the data sheets, as many requests of clients begin there by chance once in
# 10^15 times.
CALLED_AFTER_REQUESTS = 50
# Largest number of routes whose callers are tracked. Deployments have ten; the limit
# bounds what a faulty node can make others store.
MAX_ROUTES = 1000
# Time for which a refused request is remembered, in seconds: a client returns after a
# third of its remaining time at the latest, which is at most 2 s in the data sheets.
RETURN_WINDOW_S = 3.0
# Largest number of refused requests that are remembered: 1,600 a second for 3 s.
MAX_REFUSED_REMEMBERED = 5000


def effective_priority(priority, caller_priority, called):
    """Return the priority of a request, 0 being the most urgent.

    A call is as urgent as the request for which it is made.

    Parameters
    ----------
    priority : int
        Priority of the route.
    caller_priority : int or None
        Priority of the most urgent request that runs where the request began. Negative
        values are invalid and ignored.
    called : bool
        Whether the requests of the route are calls.
    """
    if not called or caller_priority is None or caller_priority < 0:
        return priority
    return min(priority, caller_priority)


def urgency(priority, called):
    """Return the urgency of a request as a number; lower is more urgent.

    A call is more urgent than a client request of the same effective priority, because
    a slot elsewhere is held while it waits.
    """
    return 2 * priority + (not called)


class CalledRoutes:
    """Routes of this target's service whose requests are calls of other targets.

    The requests of a called route begin beside targets of one service only. Where all
    requests begin there, as in a deployment of one service, this tells nothing.
    """

    def __init__(self):
        # Route to [service where its last requests began, number of them in a row].
        self._runs = {}
        self._callers = set()

    def record(self, route, caller):
        """Record that a request of a route began beside a target of a service.

        Returns
        -------
        changed : bool
            Whether the route has become a called one, or is not one any more.
        """
        if len(self._callers) < MAX_ROUTES:
            self._callers.add(caller)
        run = self._runs.get(route)
        if run is None:
            if len(self._runs) >= MAX_ROUTES:
                self._runs.clear()
            run = self._runs[route] = [caller, 0]
        if run[0] == caller:
            run[1] += 1
            return run[1] == CALLED_AFTER_REQUESTS
        was_called = run[1] >= CALLED_AFTER_REQUESTS
        run[0], run[1] = caller, 1
        return was_called

    def is_called(self, route):
        """Return whether the requests of a route are calls."""
        run = self._runs.get(route)
        return (
            run is not None
            and run[1] >= CALLED_AFTER_REQUESTS
            and len(self._callers) > 1
        )


class RunningPriorities:
    """Effective priorities of the requests that run at the target."""

    def __init__(self):
        self._counts = {}

    def add(self, priority):
        """Count a request that starts."""
        self._counts[priority] = self._counts.get(priority, 0) + 1

    def remove(self, priority):
        """Count a request that has ended."""
        count = self._counts.get(priority, 0)
        if count > 1:
            self._counts[priority] = count - 1
        else:
            self._counts.pop(priority, None)

    @property
    def most_urgent(self):
        """Priority of the most urgent request, or None if none runs."""
        return min(self._counts, default=None)


class RefusedRequests:
    """Requests that were refused lately, to recognise the clients that return.

    A client returns on a new connection and with a new request id, so that a request is
    matched by its route, and by its key or target. The client address is the same for
    all clients of a VM.
    """

    def __init__(self):
        # (time until which it is remembered, mark), the oldest first.
        self._entries = deque()
        # Mark to the entries (time until which they are remembered, time of the first
        # attempt) that no return has used up.
        self._open = {}

    def __len__(self):
        return len(self._entries)

    def remember(self, mark, now, started):
        """Remember a refused request.

        Parameters
        ----------
        mark : hashable
            Identifies the route and its key or target.
        now, started : float
            Time on the node's clock, and the arrival of the request, in seconds.
        """
        self._forget(now, MAX_REFUSED_REMEMBERED - 1)
        until = now + RETURN_WINDOW_S
        self._entries.append((until, mark))
        self._open.setdefault(mark, deque()).append((until, started))

    def take(self, mark, now):
        """Return when the first attempt of a return began, and use up its entry.

        None if the request is not a return.
        """
        entries = self._open.get(mark)
        if entries is None:
            return None
        self._forget(now, MAX_REFUSED_REMEMBERED)
        if not entries:
            return None
        _, started = entries.popleft()
        if not entries:
            del self._open[mark]
        return started

    def _forget(self, now, max_entries):
        entries = self._entries
        while entries and (len(entries) > max_entries or entries[0][0] < now):
            until, mark = entries.popleft()
            open_entries = self._open.get(mark)
            if open_entries and open_entries[0][0] == until:
                open_entries.popleft()
                if not open_entries:
                    del self._open[mark]


class RecentRefusals:
    """Numbers of requests of each urgency that were refused in the last second."""

    WINDOW_S = 1.0

    def __init__(self):
        self._times, self._counts = deque(), Counter()
        self._report = ()

    def record(self, level, now):
        """Count a refusal of a request of an urgency."""
        self._times.append((now, level))
        self._counts[level] += 1
        self._report = None

    def report(self, now):
        """Return the pairs (urgency, number), for a ``Load``."""
        times, counts = self._times, self._counts
        while times and times[0][0] < now - self.WINDOW_S:
            _, level = times.popleft()
            counts[level] -= 1
            if not counts[level]:
                del counts[level]
            self._report = None
        if self._report is None:
            self._report = tuple(counts.items())
        return self._report
