"""Read-only views of a node for operators: status, owners, sections and metrics."""

from ._app import TextResponse, make_operator_app

__all__ = ["TextResponse", "make_operator_app"]
