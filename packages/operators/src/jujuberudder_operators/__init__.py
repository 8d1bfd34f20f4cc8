"""Operators as peers: status, owners, sections and metrics of a node, read only."""

from ._app import TextResponse, make_operator_app

__all__ = ["TextResponse", "make_operator_app"]
