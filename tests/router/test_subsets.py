"""Rules for the links that a node keeps."""

from collections import Counter

import pytest

from jujuberudder_router._subsets import (
    MIN_READERS,
    RECORD_SOURCES,
    VMS_PER_READER,
    WATCHED_VMS,
    place_of,
    reader_order,
    readers,
    record_sources,
    service_subset,
    watched_vms,
)


def make_zones(counts, service="s"):
    """Return the sorted names of VMs of a service in zones a, b, c, ..."""
    return {
        zone: [f"{zone}-{service}-{number:03}" for number in range(count)]
        for zone, count in zip("abcdefgh", counts)
    }


def all_zones(*services):
    """Return the sorted names of the VMs of several services in each zone."""
    return {
        zone: sorted(vm for zones in services for vm in zones[zone])
        for zone in services[0]
    }


def subsets_of_all(zones, everyone, usable=lambda vm: True):
    """Return the subset of each VM."""
    return {
        vm: service_subset(zones, vm, zone, place_of(names, vm), usable)
        for zone, names in everyone.items()
        for vm in names
    }


SIZES = [(1, 1, 1), (8, 8, 8), (7, 7, 7, 6), (12, 12, 12, 12, 11), (3, 40, 3)]


@pytest.mark.parametrize("counts", SIZES, ids=str)
def test_subsets_are_even_and_span_zones(counts):
    """Guards against VMs that get no requests, and against the loss of one zone."""
    zones, clients = make_zones(counts), make_zones((2 * c for c in counts), "c")
    everyone = all_zones(zones, clients)
    subsets = subsets_of_all(zones, everyone)
    for vm, members in subsets.items():
        assert len(members) == len(set(members)) and vm not in members
        available = sum(counts) - any(vm in names for names in zones.values())
        assert min(8, available) <= len(members) <= 10
        others = {zone for zone, names in zones.items() if set(names) - {vm}}
        assert {member[0] for member in members} == others
    # Each VM is in about as many subsets of a zone's nodes as any other VM of its zone.
    for client_zone, names in everyone.items():
        degrees = Counter(m for vm in names for m in subsets[vm])
        for members in zones.values():
            in_degrees = [degrees[member] for member in members]
            least, most = min(in_degrees), max(in_degrees)
            assert most <= 1.5 * least + 4


def test_subset_takes_further_vms_for_failed_ones():
    """Guards against a node without a VM to send to after others have failed."""
    zones = make_zones((12, 12, 12))
    (members,) = [
        service_subset(zones, "x", "a", 0.4, lambda vm: vm[0] != "a" and vm < "c-s-004")
    ]
    assert len(members) == 8
    assert {member[0] for member in members} == {"b", "c"}
    assert service_subset(zones, "x", "a", 0.4, lambda vm: False) == []


def test_subset_changes_little_when_a_vm_leaves():
    """Guards against connections that are replaced everywhere after each change."""
    zones = make_zones((12, 12, 12, 12, 11))
    everyone = all_zones(zones, make_zones((26, 26, 26, 26, 26), "c"))
    before = subsets_of_all(zones, everyone)
    gone = "b-s-005"
    zones["b"].remove(gone)
    everyone["b"].remove(gone)
    after = subsets_of_all(zones, everyone)
    changed = [len(set(after[vm]) - set(before[vm])) for vm in after]
    # At most half of the members of one node, and few of all.
    assert max(changed) <= 4 and sum(changed) / len(changed) < 0.8


@pytest.mark.parametrize("counts", [(1, 1, 1), (2, 1, 1), (14, 14, 14, 14, 13)])
def test_each_vm_is_watched_across_zones(counts):
    """Guards against a loss that nobody notices, or that a lost zone hides."""
    zones = make_zones(counts)
    total = sum(counts)
    watchers = Counter()
    for names in zones.values():
        for vm in names:
            watched = watched_vms(zones, vm, lambda other: False)
            assert len(watched) == min(WATCHED_VMS, total - 1)
            watchers.update(watched)
            if total > 3:
                assert len({other[0] for other in watched}) > 1
    assert set(watchers.values()) == {min(WATCHED_VMS, total - 1)}


@pytest.mark.parametrize("lost_zone", ["a", "b", "c", "d", "e"])
def test_losses_next_to_each_other_are_noticed(lost_zone):
    """Guards against a VM whose watchers are all lost together with it."""
    zones = make_zones((14, 14, 14, 14, 13))
    lost = set(zones[lost_zone])
    # Also a whole run of neighbours, longer than the number of watchers.
    lost |= {vm for names in zones.values() for vm in names[3:6]}
    noticed = set()
    alive = [vm for names in zones.values() for vm in names if vm not in lost]
    while True:
        found = {
            other
            for vm in alive
            for other in watched_vms(zones, vm, noticed.__contains__)
            if other in lost
        }
        if found <= noticed:
            break
        noticed |= found
    assert noticed == lost


def zone_of(vm):
    return vm[0]


@pytest.mark.parametrize("counts", [(1, 1, 1), (3, 3, 3), (24, 24, 24), (39,) * 5])
def test_record_sources(counts):
    """Guards against readers in one zone, chains of sources, and VMs without one."""
    order = reader_order(make_zones(counts), lambda vm: 20.0)
    all_readers = readers(order, zone_of, lambda vm: True)
    total = sum(counts)
    expected = max(MIN_READERS, len(counts), -(-total // VMS_PER_READER))
    assert len(all_readers) == min(total, expected)
    assert {zone_of(vm) for vm in all_readers} == set("abcdefgh"[: len(counts)])
    uses = Counter()
    for vm in order:
        sources = record_sources(all_readers, vm, zone_of)
        assert (sources == []) == (vm in all_readers)
        if sources:
            # The one that sends records is in the own zone, the next one is not.
            assert [zone_of(source) == zone_of(vm) for source in sources] == [
                True,
                False,
            ]
            assert len(sources) == RECORD_SOURCES
            uses.update(sources)
    if total > 9:
        assert max(uses.values()) < 2.5 * min(uses.values())


def test_vms_with_large_links_read():
    """Guards against records that wait behind bodies on a small network link."""
    zones = make_zones((24, 24, 24))
    large = {"a-s-007", "a-s-011", "b-s-003", "c-s-020"}
    order = reader_order(zones, lambda vm: 200.0 if vm in large else 10.0)
    assert set(readers(order, zone_of, lambda vm: True)) < large


def test_next_vms_read_in_place_of_failed_ones():
    """Guards against nodes without records after the readers have failed."""
    order = reader_order(make_zones((24, 24, 24)), lambda vm: 20.0)
    failed = set(order[:3])
    all_readers = readers(order, zone_of, lambda vm: vm not in failed)
    assert all_readers == order[3:6]
    assert len(record_sources(all_readers, order[-1], zone_of)) == RECORD_SOURCES
