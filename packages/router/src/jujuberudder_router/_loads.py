"""Last known loads of other VMs, from their own frames and from reports of others."""

from typing import NamedTuple

from ._frames import LoadReport

# Age in seconds beyond which a load says nothing about the present, and after which it
# is no longer passed on.
MAX_LOAD_AGE_S, MAX_REPORTED_AGE_S = 5.0, 3.0


class KnownLoad(NamedTuple):
    """Load of a VM, and when it was measured, on this node's clock in seconds."""

    load: object
    at: float


class LoadTable:
    """Newest load of each VM."""

    def __init__(self):
        self._loads = {}
        self._next_reported = 0

    def record(self, vm, load, at):
        """Record a load unless a newer one is known."""
        known = self._loads.get(vm)
        if known is None or known.at <= at:
            self._loads[vm] = KnownLoad(load, at)

    def forget(self, vm):
        """Forget the load of a VM, because its process has ended."""
        self._loads.pop(vm, None)

    def get(self, vm, now):
        """Return the ``Load`` of a VM, or None if none is known or it is too old."""
        known = self._loads.get(vm)
        if known is None or now - known.at > MAX_LOAD_AGE_S:
            return None
        return known.load

    def known(self, vm):
        """Return the ``KnownLoad`` of a VM, or None."""
        return self._loads.get(vm)

    def silent(self, vm, now):
        """Whether the load of a VM was known but is too old by now."""
        known = self._loads.get(vm)
        return known is not None and now - known.at > MAX_LOAD_AGE_S

    def reports(self, vms, count, now):
        """Return up to ``count`` loads to pass on, in turn, as ``LoadReport``.

        Parameters
        ----------
        vms : sequence of str
            VMs whose loads are passed on.
        count : int
        now : float
        """
        reports = []
        for step in range(len(vms)):
            vm = vms[(self._next_reported + step) % len(vms)]
            known = self._loads.get(vm)
            if known is not None and now - known.at <= MAX_REPORTED_AGE_S:
                reports.append(LoadReport(vm, known.load, now - known.at))
                if len(reports) == count:
                    self._next_reported = (self._next_reported + step + 1) % len(vms)
                    break
        return reports

    def apply_reports(self, reports, now, own_vm):
        """Record loads that another node passed on."""
        for report in reports:
            if report.vm != own_vm:
                self.record(report.vm, report.load, now - report.age_s)
