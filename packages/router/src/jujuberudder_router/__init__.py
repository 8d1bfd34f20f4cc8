"""The router beside a target: request routing, key ownership and membership."""

from ._connection_pool import ConnectionPool
from ._grant_calls import GrantCalls
from ._http import (
    HOP_BY_HOP_HEADERS,
    ExchangeError,
    HttpError,
    HttpMessage,
    find_header,
    parse_address,
    request_bytes,
    response_bytes,
)
from ._node import Adapter, Node, run_node
from ._rate_limit import RateLimit
from ._routes import order_routes
from ._server import Server
from ._store import (
    MEMBERSHIP_TOPIC,
    OPERATOR_TOPIC,
    Appended,
    Conflict,
    Page,
    Record,
    Store,
    Truncated,
)
from ._target import ResponseCheck, TargetLoad
from ._tcp_stream import TcpStream
from ._types import (
    KEY_COUNT,
    VM,
    Configuration,
    Grant,
    Heartbeat,
    HedgingLimits,
    KeyMap,
    KeyRange,
    Limits,
    Request,
    Response,
    Route,
    Service,
    Settings,
    WeightedService,
)

__all__ = [
    "Adapter",
    "Appended",
    "Configuration",
    "Conflict",
    "ConnectionPool",
    "ExchangeError",
    "Grant",
    "GrantCalls",
    "HOP_BY_HOP_HEADERS",
    "Heartbeat",
    "HedgingLimits",
    "HttpError",
    "HttpMessage",
    "KEY_COUNT",
    "KeyMap",
    "KeyRange",
    "Limits",
    "MEMBERSHIP_TOPIC",
    "Node",
    "OPERATOR_TOPIC",
    "Page",
    "RateLimit",
    "Record",
    "Request",
    "Response",
    "ResponseCheck",
    "Route",
    "Server",
    "Service",
    "Settings",
    "Store",
    "TargetLoad",
    "TcpStream",
    "Truncated",
    "VM",
    "WeightedService",
    "find_header",
    "order_routes",
    "parse_address",
    "request_bytes",
    "response_bytes",
    "run_node",
]
