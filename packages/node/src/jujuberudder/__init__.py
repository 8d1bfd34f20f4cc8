"""The node: routes requests and owns keys for the target beside it."""

from ._node import Addresses, run_node

__all__ = ["Addresses", "run_node"]
