"""Dependencies of the routing code."""

from collections.abc import Callable
from typing import Any, NamedTuple


class RouteContext(NamedTuple):
    """Dependencies of the routing code.

    Parameters
    ----------
    incarnation : callable
        Returns the id of the current incarnation.
    node, service, availability_zone : str
    target : str
        Address of the local target.
    ownership : Ownership
    sections : Sections
    served_shards : callable
        Returns the ServedShards of the current incarnation, or None between two
        incarnations.
    admission : Admission
    target_pool : ConnectionPool
        Connections to the local target.
    node_pool : ConnectionPool
        Connections to other nodes.
    health : TargetHealth
    target_selector : TargetSelector
    retry_budget : RetryBudget
    idempotency_cache : IdempotencyCache
    drain : Drain
    spawn : callable
        Starts a task that outlives the request.
    wait_for_change : async callable
        Returns when ownership or configuration has changed.
    address_overrides : dict of str to str
        Addresses to use in place of those that nodes advertise.
    log : callable
    count_request : callable
        ``count_request(service, prefix, key)`` counts a request with a key at the
        owner.
    """

    incarnation: Callable[[], str]
    node: str
    service: str
    availability_zone: str
    target: str
    ownership: Any
    sections: Any
    served_shards: Callable
    admission: Any
    target_pool: Any
    node_pool: Any
    health: Any
    target_selector: Any
    retry_budget: Any
    idempotency_cache: Any
    drain: Any
    spawn: Callable
    wait_for_change: Callable
    address_overrides: dict
    log: Callable
    count_request: Callable = lambda service, prefix, key: None
