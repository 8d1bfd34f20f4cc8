"""Requests from clients: parsing, routing, forwarding and outcomes."""

from ._app import make_app
from ._budget import RetryBudget
from ._choice import TargetSelector
from ._context import RouteContext
from ._drain import Drain
from ._idempotency import IdempotencyCache
from ._listener import serve_http
from ._metered import with_request_metrics

__all__ = [
    "TargetSelector",
    "Drain",
    "IdempotencyCache",
    "RetryBudget",
    "RouteContext",
    "serve_http",
    "make_app",
    "with_request_metrics",
]
