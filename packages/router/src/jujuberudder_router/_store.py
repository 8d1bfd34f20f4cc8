"""The platform's store as a node sees it: two topics of records with keys.

An adapter supplies a ``Store``; a topic is a log in which the newest record of each key
is kept for ever.
"""

from collections.abc import Callable
from typing import NamedTuple

# Topics: what the operator wrote, and membership with the owners of keys.
OPERATOR_TOPIC, MEMBERSHIP_TOPIC = "operator", "fleet"


class Record(NamedTuple):
    """A record of a topic. An empty value means that the key was dropped."""

    offset: int
    key: str
    value: bytes


class Page(NamedTuple):
    """Records in order, and the offset after the last record of the topic."""

    records: list
    end: int


class Appended(NamedTuple):
    """An append that took effect at ``offset``."""

    offset: int


class Conflict(NamedTuple):
    """An append whose condition did not hold; the topic ends at ``end``."""

    end: int


class Truncated(NamedTuple):
    """Records that were asked for are gone."""

    first_offset: int


class Store(NamedTuple):
    """Calls to the store.

    Each returns ``result.Ok`` of what is named here or ``result.Err`` of a ``Failure``.

    Parameters
    ----------
    append : callable
        ``await append(topic, key, value, expected_end)``: ``Appended`` or ``Conflict``;
        ``expected_end`` None is no condition.
    read : callable
        ``await read(topic, start, wait_s)``: ``Page`` or ``Truncated``; waits up to
        ``wait_s`` for a record.
    newest : callable
        ``await newest(topic)``: ``Page`` with the newest record of each key; ``end`` is
        that of before the first record was read.
    """

    append: Callable
    read: Callable
    newest: Callable
