"""The router beside a target: request path, key ownership and membership."""

from ._http import (
    HOP_HEADERS,
    ExchangeError,
    Head,
    HttpError,
    find_header,
    response_bytes,
    split_address,
)
from ._node import Node, Wire, run_node
from ._pool import Pool
from ._routes import order_routes
from ._server import Server
from ._store import (
    FLEET,
    OPERATOR,
    Appended,
    Conflict,
    Forgotten,
    Page,
    Record,
    Store,
)
from ._target import Verdict
from ._types import (
    VM,
    Answer,
    Beat,
    Configuration,
    Grant,
    KeyMap,
    Limits,
    Part,
    Request,
    Route,
    Row,
    Service,
    Settings,
)

__all__ = [
    "Answer",
    "Appended",
    "Beat",
    "Configuration",
    "Conflict",
    "ExchangeError",
    "FLEET",
    "Forgotten",
    "Grant",
    "HOP_HEADERS",
    "Head",
    "HttpError",
    "KeyMap",
    "Limits",
    "Node",
    "OPERATOR",
    "Page",
    "Part",
    "Pool",
    "Record",
    "Request",
    "Route",
    "Row",
    "Server",
    "Service",
    "Settings",
    "Store",
    "VM",
    "Verdict",
    "Wire",
    "find_header",
    "order_routes",
    "response_bytes",
    "run_node",
    "split_address",
]
