"""What routing needs to know of its node."""

from collections.abc import Callable
from typing import Any, NamedTuple


class RouteContext(NamedTuple):
    """Collaborators of the routing code.

    Parameters
    ----------
    incarnation, node, service, availability_zone, target : str
    ownership : Ownership
    sections : Sections
    served_shards : callable
        Returns the ServedShards of the current incarnation, or None between two.
    admission : Admission
    target_pool, node_pool : ConnectionPool
    health : TargetHealth
    target_selector : TargetSelector
    retry_budget : RetryBudget
    idempotency_cache : IdempotencyCache
    drain : Drain
    spawn : callable
        Starts a task that outlives the request.
    wait_for_change : async callable
        Returns when ownership or configuration changed.
    address_overrides : dict of str to str
    log : callable
    count_request : callable
        ``count_request(service, prefix, key)`` counts a keyed request at the owner.
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
