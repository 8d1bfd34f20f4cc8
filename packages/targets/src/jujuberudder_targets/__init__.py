"""The local target as a peer: admission, exchanges and probes."""

from ._admission import Admission
from ._exchange import Answer, Outgoing, exchange, make_pool
from ._probe import TargetHealth, run_probes

__all__ = [
    "Admission",
    "Answer",
    "Outgoing",
    "TargetHealth",
    "exchange",
    "make_pool",
    "run_probes",
]
