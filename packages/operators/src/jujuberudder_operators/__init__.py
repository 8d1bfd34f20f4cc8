"""Operators as peers: status of a node, read only."""

from ._app import make_operator_app

__all__ = ["make_operator_app"]
