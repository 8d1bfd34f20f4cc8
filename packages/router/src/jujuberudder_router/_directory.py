"""Membership entries of all VMs, as lists by service and availability zone."""


class Directory:
    """Entries by name, with lists that are made again only after a change.

    Attributes
    ----------
    version : int
        Number of changes so far.
    """

    def __init__(self):
        self._vms = {}
        self._of_service, self._zones = {}, {}
        self.version = 0

    def __len__(self):
        return len(self._vms)

    def __contains__(self, name):
        return name in self._vms

    def get(self, name):
        """Return the entry of a VM, or None."""
        return self._vms.get(name)

    def values(self):
        """Return all entries."""
        return self._vms.values()

    def put(self, vm):
        """Add or replace an entry."""
        self._vms[vm.name] = vm
        self._record_change()

    def remove(self, name):
        """Remove an entry if there is one."""
        if self._vms.pop(name, None) is not None:
            self._record_change()

    def _record_change(self):
        self._of_service.clear()
        self._zones.clear()
        self.version += 1

    def of_service(self, service):
        """Return the entries of the VMs of a service, sorted by name."""
        if service not in self._of_service:
            self._of_service[service] = sorted(
                (vm for vm in self._vms.values() if vm.service == service),
                key=lambda vm: vm.name,
            )
        return self._of_service[service]

    def zones(self, service=None):
        """Return the sorted names of VMs in each availability zone.

        Parameters
        ----------
        service : str, default=None
            Service of the VMs; all VMs if None.

        Returns
        -------
        dict of str to list of str
        """
        if service not in self._zones:
            vms = self._vms.values() if service is None else self.of_service(service)
            zones = {}
            for vm in vms:
                zones.setdefault(vm.zone, []).append(vm.name)
            self._zones[service] = {zone: sorted(zones[zone]) for zone in zones}
        return self._zones[service]
