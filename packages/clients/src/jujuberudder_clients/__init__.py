"""Clients as peers: parsing, routing, forwarding and outcomes."""

from ._app import make_app
from ._context import RouteContext
from ._listener import listen
from ._metered import metered

__all__ = ["RouteContext", "listen", "make_app", "metered"]
