"""When a node reads a topic of the store itself, and what it gets from other nodes.

Few nodes read the store and pass records on (``_subsets``). All others read it only
where nobody passes records on, or where a record or the age of a read is overdue.
"""

from typing import NamedTuple

# Time for which a node has to be without a source before it reads by itself: after a
# source has failed, it connects to another one. While a deployment starts, no VM is
# known until entries are written, about 1 s after the start.
ALONE_S, FIRST_ALONE_S = 0.7, 2.0
# Time within which a record that is known to exist has to arrive from a source.
BEHIND_S = 0.3
# Age of the last complete read that is known from which a node with a lease reads by
# itself, and the least time between two such reads.
LEASE_READ_AGE_S, LEASE_READ_INTERVAL_S = 3.0, 1.0
# Time between two reads by a node whose sources cannot read, as bounds of a random one:
# the store may be down for all, or may answer this node.
FAILING_INTERVAL_S = (2.0, 5.0)


class Situation(NamedTuple):
    """What decides when a topic is read next.

    Parameters
    ----------
    started : bool
        Whether the topic has been read.
    reads_for_others : bool
        Whether this node is to pass records on.
    alone_s : float
        Seconds for which no source was connected; 0 if one is.
    had_source : bool
        Whether a source was ever connected.
    sources_failing : bool
        Whether the reads of all connected sources fail.
    behind_s : float
        Seconds for which an unread record has been known; 0 if none is.
    lease_age_s : float or None
        Age of the last complete read, if a lease depends on it.
    since_read_s : float
        Seconds since this node last began to read by itself.
    """

    started: bool
    reads_for_others: bool
    alone_s: float
    had_source: bool
    sources_failing: bool
    behind_s: float
    lease_age_s: float | None
    since_read_s: float


def read_delay(situation, jitter):
    """Return the seconds until a node reads a topic by itself; 0 to read now.

    Parameters
    ----------
    situation : Situation
    jitter : float
        Random number in [0, 1).
    """
    s = situation
    if not s.started or s.reads_for_others:
        return 0.0
    delays = []
    if s.behind_s > 0:
        delays.append(BEHIND_S - s.behind_s)
    if s.alone_s > 0:
        delays.append((ALONE_S if s.had_source else FIRST_ALONE_S) - s.alone_s)
    elif s.sources_failing:
        low, high = FAILING_INTERVAL_S
        delays.append(low + jitter * (high - low) - s.since_read_s)
    elif s.lease_age_s is not None:
        delays.append(
            max(
                LEASE_READ_AGE_S - s.lease_age_s,
                LEASE_READ_INTERVAL_S - s.since_read_s,
            )
        )
    return max(0.0, min(delays, default=float("inf")))
