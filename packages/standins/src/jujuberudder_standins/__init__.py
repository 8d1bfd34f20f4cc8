"""Stand-ins for the platform and the targets, used by tests, bench and the demo."""

from ._audit import Told, Violations, audit, double_owned
from ._deployment import Deployment, Member
from ._listener import serve_app
from ._load import Availability, Client
from ._logservice import LogStandin
from ._target import Run, TargetStandin

__all__ = [
    "Availability",
    "Client",
    "Deployment",
    "LogStandin",
    "Member",
    "Run",
    "TargetStandin",
    "Told",
    "Violations",
    "audit",
    "double_owned",
    "serve_app",
]
