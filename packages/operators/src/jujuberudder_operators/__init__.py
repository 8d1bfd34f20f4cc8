"""Operators as peers: status, owners, sections and metrics of a node, read only."""

from ._app import Text, make_operator_app

__all__ = ["Text", "make_operator_app"]
