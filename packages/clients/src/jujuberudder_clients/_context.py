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
    serving : callable
        Returns the Serving state of the current incarnation, or None between two.
    admission : Admission
    target_pool, node_pool : Pool
    health : TargetHealth
    choice : Choice
    budget : RetryBudget
    first_answers : FirstAnswers
    drain : Drain
    spawn : callable
        Starts a task that outlives the request.
    wait_changed : async callable
        Returns when ownership or configuration changed.
    overrides : dict of str to str
    log : callable
    note : callable
        ``note(service, prefix, key)`` counts a keyed request at the owner.
    """

    incarnation: Callable[[], str]
    node: str
    service: str
    availability_zone: str
    target: str
    ownership: Any
    sections: Any
    serving: Callable
    admission: Any
    target_pool: Any
    node_pool: Any
    health: Any
    choice: Any
    budget: Any
    first_answers: Any
    drain: Any
    spawn: Callable
    wait_changed: Callable
    overrides: dict
    log: Callable
    note: Callable = lambda service, prefix, key: None
