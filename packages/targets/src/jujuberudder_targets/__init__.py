"""Client side of HTTP exchanges, admission to the local target, and health probes."""

from ._admission import Admission, AdmissionRequest, Limits
from ._exchange import TargetRequest, TargetResponse, exchange
from ._pool import ConnectionPool
from ._probe import TargetHealth, run_probes

__all__ = [
    "Admission",
    "TargetResponse",
    "AdmissionRequest",
    "Limits",
    "TargetRequest",
    "ConnectionPool",
    "TargetHealth",
    "exchange",
    "run_probes",
]
