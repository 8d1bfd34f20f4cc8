"""Which other VMs a node keeps links to: rules that all nodes can compute.

If every node had a link to every other one, links and pings would grow with the square
of the number of VMs. Each rule takes VMs from lists that all nodes have, beginning at a
place that depends on the node, so that each VM is taken by about as many nodes, and a
VM that joins or leaves changes few choices.

Sources: deterministic subsetting in Beyer et al., Site Reliability Engineering (2016),
chapter 20, with places by rank in place of rounds, so that the choices are stable.
"""

from math import ceil
from zlib import crc32

# VMs of a service without keys to which a node sends its requests: of the own
# availability zone, and of all others together. If the own zone has fewer, others take
# their place. The expected load of the best of two out of eight is close to that of the
# best of two out of all.
SAME_ZONE_MEMBERS, OTHER_ZONE_MEMBERS = 4, 4
# VMs of the own keyed service that a node watches, in different zones where there are
# several.
WATCHED_VMS = 4
# VMs of which one passes records of the store on to a node, and the next one takes its
# place, in different zones.
RECORD_SOURCES = 2
# Least number of VMs that read the store for others, and VMs for each of them.
MIN_READERS, VMS_PER_READER = 3, 64


def service_subset(zones, own_vm, own_zone, place, usable):
    """Return the VMs of a service to which a node sends requests.

    Parameters
    ----------
    zones : dict of str to list of str
        Sorted names of the VMs of the service in each availability zone.
    own_vm, own_zone : str
        This VM, which is never a member, and its availability zone.
    place : float
        Rank of this VM among all VMs of its zone divided by their number.
    usable : callable
        ``usable(vm)`` is false for VMs in place of which further ones are taken.

    Returns
    -------
    members : list of str
        The usable ones first, each at most once.
    """
    total = SAME_ZONE_MEMBERS + OTHER_ZONE_MEMBERS
    other_zones = sorted(zone for zone in zones if zone != own_zone)
    walks = {}
    for zone in zones:
        names = [vm for vm in zones[zone] if vm != own_vm]
        start = int(place * len(names))
        walks[zone] = [vm for vm in names[start:] + names[:start] if usable(vm)]
    members = walks.pop(own_zone, [])[:SAME_ZONE_MEMBERS]
    if other_zones:
        share = ceil(OTHER_ZONE_MEMBERS / len(other_zones))
        for zone in other_zones:
            members += walks[zone][:share]
    rest = _alternate([walks[zone] for zone in other_zones])
    members += [vm for vm in rest if vm not in members][: max(0, total - len(members))]
    return members


def watched_vms(zones, own_vm, lost):
    """Return the VMs of the own service that a node watches.

    They are the next ones after this VM in an order in which neighbours are in
    different zones. Lost VMs are watched in addition, so that the loss of several
    neighbours is noticed as well.

    Parameters
    ----------
    zones : dict of str to list of str
        Sorted names of the VMs of the service in each availability zone.
    own_vm : str
    lost : callable
        ``lost(vm)`` is true if a VM is known to be lost.
    """
    order = _alternate([zones[zone] for zone in sorted(zones)])
    if own_vm not in order:
        return []
    place = order.index(own_vm)
    watched, present = [], 0
    for vm in order[place + 1 :] + order[:place]:
        if present == WATCHED_VMS:
            break
        watched.append(vm)
        present += not lost(vm)
    return watched


def reader_order(zones, link_mbps):
    """Return all VMs in the order in which they read the store for others.

    Neighbours are in different availability zones. Those with the largest network links
    come first, since a reader sends each record to all VMs of its zone.

    Parameters
    ----------
    zones : dict of str to list of str
        Names of all VMs in each availability zone.
    link_mbps : callable
        ``link_mbps(vm)`` returns the capacity of a VM's network link in Mbit/s.
    """

    def order(vm):
        return -link_mbps(vm), _hash(vm)

    return _alternate([sorted(zones[zone], key=order) for zone in sorted(zones)])


def readers(order, zone_of, usable):
    """Return the VMs that read the store for others, at least one in each zone.

    Parameters
    ----------
    order : list of str
        As returned by ``reader_order``.
    zone_of : callable
        ``zone_of(vm)`` returns the availability zone of a VM.
    usable : callable
        ``usable(vm)`` is false for VMs in place of which the next ones read.
    """
    zones = len({zone_of(vm) for vm in order})
    count = max(MIN_READERS, zones, ceil(len(order) / VMS_PER_READER))
    return [vm for vm in order if usable(vm)][:count]


def record_sources(all_readers, own_vm, zone_of):
    """Return the VMs that a node gets records from; empty if it reads for others.

    Parameters
    ----------
    all_readers : list of str
        As returned by ``readers``.
    own_vm : str
    zone_of : callable
        As for ``readers``.

    Returns
    -------
    sources : list of str
        Readers of the own zone come first.
    """
    if own_vm in all_readers or not all_readers:
        return []
    start = _hash(own_vm) % len(all_readers)
    rotated = all_readers[start:] + all_readers[:start]
    rotated.sort(key=lambda vm: zone_of(vm) != zone_of(own_vm))
    return rotated[:RECORD_SOURCES]


def place_of(names, own_vm):
    """Return the rank of a VM in a sorted list divided by the length, 0 if absent."""
    return names.index(own_vm) / len(names) if own_vm in names else 0.0


def _alternate(lists):
    """Return the items of several lists: the first of each, the second of each, ..."""
    longest = max(map(len, lists), default=0)
    return [items[n] for n in range(longest) for items in lists if n < len(items)]


def _hash(name):
    return crc32(name.encode())
