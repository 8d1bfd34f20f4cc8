"""Other nodes as peers: control messages, leases, witnesses and takeover."""

from ._channel import Channel, ControlServer
from ._lease import LEASE_S, Lease, run_renewals
from ._messages import (
    Ended,
    Granted,
    Ping,
    Refused,
    Released,
    Renew,
    Report,
    Seal,
    Sealed,
    Summary,
    Understood,
)
from ._takeover import PendingDeaths, TakeoverContext, run_takeovers
from ._witness import CLOCK_DRIFT, GRANT_S, Witness, log_grant_s

__all__ = [
    "Channel",
    "ControlServer",
    "CLOCK_DRIFT",
    "Ended",
    "PendingDeaths",
    "GRANT_S",
    "Granted",
    "LEASE_S",
    "Lease",
    "Ping",
    "Refused",
    "Released",
    "Renew",
    "Report",
    "Seal",
    "Sealed",
    "Summary",
    "TakeoverContext",
    "Understood",
    "Witness",
    "log_grant_s",
    "run_renewals",
    "run_takeovers",
]
