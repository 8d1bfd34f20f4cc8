"""Clients as peers: parsing, routing, forwarding and outcomes."""

from ._app import make_app
from ._budget import RetryBudget
from ._choice import Choice
from ._context import RouteContext
from ._drain import Drain
from ._listener import listen
from ._metered import metered
from ._once import FirstAnswers

__all__ = [
    "Choice",
    "Drain",
    "FirstAnswers",
    "RetryBudget",
    "RouteContext",
    "listen",
    "make_app",
    "metered",
]
