"""The local target as a peer: exchanges, admission and probes."""

from ._admission import Admission, Claim, Limits
from ._exchange import Answer, Outgoing, exchange
from ._pool import Pool
from ._probe import TargetHealth, run_probes

__all__ = [
    "Admission",
    "Answer",
    "Claim",
    "Limits",
    "Outgoing",
    "Pool",
    "TargetHealth",
    "exchange",
    "run_probes",
]
