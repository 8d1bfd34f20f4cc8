"""Stand-ins for the log service and the targets, for tests, benchmarks and the demo."""

from ._audit import (
    ClientRecord,
    Violations,
    assignments,
    audit,
    double_owned,
    lost_assignments,
)
from ._deployment import Deployment, Member
from ._listener import serve_app
from ._load import Availability, Client
from ._logservice import LogStandin
from ._processes import ProcessDeployment, memory_bytes, processor_s
from ._proof import FAULTS, Proof, run_drain, run_graceful, run_proof
from ._proxy import Network, ProxyLink
from ._target import Run, TargetStandin

__all__ = [
    "Availability",
    "FAULTS",
    "Network",
    "ProxyLink",
    "ProcessDeployment",
    "Proof",
    "assignments",
    "lost_assignments",
    "memory_bytes",
    "processor_s",
    "run_drain",
    "run_graceful",
    "run_proof",
    "Client",
    "Deployment",
    "LogStandin",
    "Member",
    "Run",
    "TargetStandin",
    "ClientRecord",
    "Violations",
    "audit",
    "double_owned",
    "serve_app",
]
