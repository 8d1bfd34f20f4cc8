"""Links to other VMs: those that the rules of ``_subsets`` choose, others on demand."""

import math

import trio

from ._frames import NOT_RUN, ForwardReply
from ._peer_link import RECEIVE_TIMEOUT_S, was_unsent
from ._subsets import (
    place_of,
    reader_order,
    readers,
    record_sources,
    service_subset,
    watched_vms,
)

# Minimum ping interval: on an idle link it is the age of the load by which requests
# choose a VM. Links to VMs that read the store are always pinged so often, since the
# age of their reads renews leases.
MIN_PING_S = 0.5
# Ping interval per kept link, and its maximum. The interval grows with the number of
# links, so that all pings together take a fixed share of a processor.
PING_S_PER_LINK, MAX_PING_S = 0.05, 1.5
# Interval at which the links that are due for a ping get one, and the maximum number of
# links that get one at a time, as a multiple of the mean, so that they do not delay
# requests.
PING_TICK_S, MAX_TICK_SHARE = 0.1, 1.5
# Time between two such checks above which the process was paused.
MAX_TICK_S = 0.5
# Time without a call after which a link that is not kept is closed.
IDLE_CLOSE_S = 30.0
# Time without a call after which such a link is given up while it cannot connect.
GIVE_UP_S = 4.0
# Time for which the membership has to be unchanged before links are chosen again, and
# the longest delay of that: while a deployment starts, entries arrive one by one.
SETTLE_S, MAX_SETTLE_S = 0.3, 1.0
# Longest wait of a request for a connection to its VM, in seconds and as a share of the
# time that the request has left.
CONNECT_WAIT_S, CONNECT_WAIT_SHARE = 1.0, 0.3
# Time without a frame after which a link is pinged before it is used, and the time in
# which it has to answer: a connection may have been lost silently.
PROBE_IDLE_S, PROBE_TIMEOUT_S = 3.0, 0.4
# Longest wait of a request for the answer, as a share of the time that it has left.
PROBE_WAIT_SHARE = 0.5


def ping_interval(kept):
    """Return the ping interval in seconds of a node that keeps ``kept`` links."""
    return min(MAX_PING_S, max(MIN_PING_S, PING_S_PER_LINK * kept))


class Peers:
    """Links of a node to others.

    Parameters
    ----------
    own_vm, own_zone, own_service : str
    directory : Directory
    make_link : callable
        ``make_link(vm) -> PeerLink`` for a membership entry.
    is_keyed : callable
        ``is_keyed(service)`` returns whether a service is divided by key, or None if
        that is not known.
    is_suspected : callable
        ``is_suspected(vm)`` returns whether the key map lists a suspicion against a VM
        of the own service.
    can_choose : callable
        Returns whether the VMs are known.
    on_sources : callable
        ``on_sources(vms)`` gets the VMs that read the store for this one; none if it
        reads for others.
    is_evacuated : callable
        ``is_evacuated(zone)`` returns whether no requests are sent to a zone.

    Attributes
    ----------
    links : dict of str to PeerLink
    """

    def __init__(
        self, own_vm, own_zone, own_service, directory, make_link, is_keyed,
        is_suspected, can_choose, on_sources, is_evacuated=lambda zone: False,
    ):  # fmt: skip
        self.links = {}
        self._own_vm, self._own_zone = own_vm, own_zone
        self._own_service = own_service
        self._directory = directory
        self._make_link = make_link
        self._is_keyed = is_keyed
        self._is_suspected = is_suspected
        self._can_choose = can_choose
        self._on_sources = on_sources
        self._is_evacuated = is_evacuated
        self._source_links = set()
        self._nursery = None
        self._scopes = {}
        self._subsets, self._watched = {}, []
        self._lost = set()
        # Whether links were chosen before; the last version of the directory that was
        # seen; when the choice became outdated, and by what it last did.
        self._chosen, self._seen_version, self._outdated = False, -1, False
        self._unsettled_at = self._changed_at = None
        self.kept_count = 0

    def ping_interval_s(self):
        """Return the ping interval in seconds."""
        return ping_interval(self.kept_count)

    def subset(self, service):
        """Return the names of the VMs of a service to which requests are sent."""
        return self._subsets.get(service, [])

    def watch_rank(self, vm):
        """Return how many other VMs watch a VM more closely, None if it is not watched.

        VMs watch the next ones in an order, so the distance in this order is the rank.
        """
        return self._watched.index(vm) if vm in self._watched else None

    def may_reach(self, vm):
        """Whether a VM can be reached as far as this node knows."""
        if vm not in self._directory:
            return False
        link = self.links.get(vm)
        return link is None or not link.lost

    def ensure(self, vm):
        """Return the link to a VM, a new one if needed; None if the VM is unknown."""
        link, entry = self.links.get(vm), self._directory.get(vm)
        if link is None and entry is not None and vm != self._own_vm:
            link = self.links[vm] = self._make_link(entry)
            if self._nursery is not None:
                self._start(link)
        return link

    async def forward(self, vm, request, hold):
        """Send a ``ForwardRequest`` to a VM and return the ``ForwardReply``.

        A connection is made if there is none, or if an idle one does not answer. The
        request is not sent on one that does not answer while others are on it, or in
        the time that this request may wait. If the VM gets another address, or a
        connection ends before the request was sent, it is sent on the next one while it
        may wait for that. ``hold`` counts the body of the reply.
        """
        started = attempt_at = trio.current_time()
        remaining_s = request.remaining_s
        wait_until = started + min(CONNECT_WAIT_S, CONNECT_WAIT_SHARE * remaining_s)
        while True:
            link = self.ensure(vm)
            if link is None:
                return ForwardReply(0, NOT_RUN, reason=f"no VM {vm} is known")
            # Keeps an idle link from being closed while it is probed.
            link.used_at = attempt_at
            if link.connected and not link.kept and link.idle_s > PROBE_IDLE_S:
                wait_s = min(PROBE_TIMEOUT_S, PROBE_WAIT_SHARE * request.remaining_s)
                if await link.probe(PROBE_TIMEOUT_S, wait_s):
                    reason = f"link to {vm} is silent for {link.idle_s:.1f} s"
                    return ForwardReply(0, NOT_RUN, reason=reason)
                wait_until += trio.current_time() - attempt_at
            if not link.connected:
                await link.wait_connected(max(0.0, wait_until - trio.current_time()))
            request.remaining_s = remaining_s - (trio.current_time() - started)
            reply = await link.forward(request, hold)
            attempt_at = trio.current_time()
            if not was_unsent(reply) or attempt_at >= wait_until:
                return reply

    def send_soon(self, vm, frame):
        """Send a frame that has no reply to a VM as soon as there is a connection."""
        link = self.ensure(vm)
        if link is None or self._nursery is None:
            return
        if link.connected:
            link.send(frame)
            return

        async def connect_and_send():
            if await link.wait_connected(CONNECT_WAIT_S):
                link.send(frame)

        self._nursery.start_soon(connect_and_send)

    def drop(self, vm):
        """Close the link to a VM: its address has changed, or it is gone."""
        scope, link = self._scopes.pop(vm, None), self.links.pop(vm, None)
        if scope is not None:
            scope.cancel()
        if link is not None:
            link.close()

    def _start(self, link):
        scope = self._scopes[link.vm.name] = trio.CancelScope()

        async def run():
            with scope:
                await link.run()

        self._nursery.start_soon(run)

    async def run(self):
        """Choose links, ping them and close silent and idle ones, until cancelled."""
        async with trio.open_nursery() as self._nursery:
            for link in self.links.values():
                self._start(link)
            while True:
                slept_at = trio.current_time()
                await trio.sleep(PING_TICK_S)
                now = trio.current_time()
                if self._can_choose() and self._should_choose(now):
                    self.choose_links()
                # After a pause of the process, arrived frames are read first.
                self._check_links(now, paused=now - slept_at >= MAX_TICK_S)

    def choose_again(self):
        """Choose links again soon, because what they depend on has changed."""
        self._outdated = True

    def _should_choose(self, now):
        """Whether the membership has changed, and has settled since."""
        version = self._directory.version
        if version != self._seen_version or self._outdated:
            self._seen_version, self._changed_at = version, now
            self._outdated = False
            if self._unsettled_at is None:
                self._unsettled_at = now
        if self._unsettled_at is None:
            return False
        return (
            not self._chosen
            or now - self._changed_at >= SETTLE_S
            or now - self._unsettled_at >= MAX_SETTLE_S
        )

    def choose_links(self):
        """Choose the VMs to which links are kept.

        Chosen VMs that cannot be reached are replaced by others, but dialed further.
        """
        directory = self._directory
        self._chosen, self._unsettled_at = True, None
        place = place_of(directory.zones().get(self._own_zone, []), self._own_vm)
        wanted = set()
        self._subsets = {}
        for service in {vm.service for vm in directory.values()}:
            if self._is_keyed(service) is not False:
                continue
            zones = directory.zones(service)
            for usable in (self._serves, self._usable):
                self._subsets[service] = service_subset(
                    zones, self._own_vm, self._own_zone, place, usable
                )
                wanted.update(self._subsets[service])
        self._watched = []
        if self._is_keyed(self._own_service):
            self._watched = watched_vms(
                directory.zones(self._own_service), self._own_vm, self._is_suspected
            )
        wanted.update(self._watched)
        wanted.update(self._choose_sources())
        for vm in wanted:
            self.ensure(vm).keep(True)
        for vm, link in self.links.items():
            if vm not in wanted:
                link.keep(False)
        self.kept_count = len(wanted)

    def _choose_sources(self):
        """Choose the VMs that read the store for this one, and return those to dial.

        They are the other readers if this VM is one itself.
        """
        directory = self._directory
        order = reader_order(directory.zones(), lambda vm: directory.get(vm).link_mbps)
        dialed = set()
        for usable in (lambda vm: True, self._may_read):
            all_readers = readers(order, self._zone_of, usable)
            sources = record_sources(all_readers, self._own_vm, self._zone_of)
            dialed.update(sources or all_readers)
        dialed.discard(self._own_vm)
        self._source_links = dialed
        self._on_sources(sources)
        return dialed

    def _zone_of(self, vm):
        entry = self._directory.get(vm)
        return self._own_zone if entry is None else entry.zone

    def _may_read(self, vm):
        link = self.links.get(vm)
        return link is None or not link.lost

    def _serves(self, vm):
        entry = self._directory.get(vm)
        if entry.leaving or self._is_evacuated(entry.zone):
            return False
        return bool(entry.target_incarnation)

    def _usable(self, vm):
        link = self.links.get(vm)
        return self._serves(vm) and (link is None or not link.lost)

    def _check_links(self, now, paused):
        interval_s, due, unused = self.ping_interval_s(), [], []
        lost = {vm for vm, link in self.links.items() if link.kept and link.lost}
        if lost != self._lost:
            self._lost = lost
            self.choose_again()
        for vm, link in self.links.items():
            if link.connected and (link.kept or link.in_flight):
                if link.unanswered_s >= RECEIVE_TIMEOUT_S and not paused:
                    link.close_silent()
                elif now - link.pinged_at >= interval_s or (
                    vm in self._source_links and now - link.pinged_at >= MIN_PING_S
                ):
                    due.append(link)
            elif not link.kept and not link.in_flight:
                limit_s = IDLE_CLOSE_S if link.connected else GIVE_UP_S
                if now - link.used_at >= limit_s:
                    unused.append(vm)
        for vm in unused:
            self.drop(vm)
        due.sort(key=lambda link: link.pinged_at)
        mean_due = max(1, self.kept_count) * PING_TICK_S / interval_s
        mean_due += len(self._source_links) * PING_TICK_S / MIN_PING_S
        for link in due[: math.ceil(MAX_TICK_SHARE * mean_due)]:
            link.ping()
