"""Node of the request router: routes requests and owns keys for its local target."""

from ._node import Addresses, run_node

__all__ = ["Addresses", "run_node"]
