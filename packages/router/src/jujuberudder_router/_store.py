"""Interface of the platform's store: two topics of records with keys.

An adapter supplies a ``Store``. A topic is a log that retains the newest record of each
key without a limit of time.
"""

from collections.abc import Callable
from typing import NamedTuple

# Topics: the configuration from the operator, and membership with the key maps.
OPERATOR_TOPIC, MEMBERSHIP_TOPIC = "operator", "fleet"


class Record(NamedTuple):
    """A record of a topic. An empty value means that the key was deleted."""

    offset: int
    key: str
    value: bytes


class Page(NamedTuple):
    """Records in the order of offsets, and the end offset of the topic.

    ``end`` is the offset after the last record. ``era`` rises by one whenever the store
    comes back from an older copy: what was stored since is lost, and its offsets are
    used again. It is 0 if the store does not tell.
    """

    records: list
    end: int
    era: int = 0


class Appended(NamedTuple):
    """Result of an append that was stored at ``offset``; ``era`` as in ``Page``."""

    offset: int
    era: int = 0


class Conflict(NamedTuple):
    """Result of an append whose condition was not met; the topic ends at ``end``."""

    end: int
    era: int = 0


class Truncated(NamedTuple):
    """Result of a read from an offset whose records were removed.

    ``first_offset`` is the first offset that is still available.
    """

    first_offset: int
    era: int = 0


class Store(NamedTuple):
    """Calls to the store.

    Each call returns ``result.Ok`` with the type named below, or ``result.Err`` with a
    ``Failure``.

    Parameters
    ----------
    append : callable
        ``await append(topic, key, value, expected_end)``: ``Appended`` or ``Conflict``.
        The append is unconditional if ``expected_end`` is None.
    read : callable
        ``await read(topic, start, wait_s, on_data=None)``: ``Page`` or ``Truncated``.
        Waits up to ``wait_s`` seconds for a record. ``on_data(size)`` is called
        whenever bytes of the response arrive.
    newest : callable
        ``await newest(topic, on_data=None)``: ``Page`` with the newest record of each
        key. ``end`` is the end of the topic before the first record was read.
    """

    append: Callable
    read: Callable
    newest: Callable
