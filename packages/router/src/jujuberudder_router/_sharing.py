"""Records of the store that nodes pass on to each other."""

import trio

from ._frames import Subscribe, Update
from ._store import MEMBERSHIP_TOPIC, OPERATOR_TOPIC


class RecordSharing:
    """Gets records from a few other nodes, its sources, and passes them on to others.

    Parameters
    ----------
    operator_follower, membership_follower : Follower
    links : callable
        Returns the links of this node, by VM.

    Attributes
    ----------
    sources : list of str
        VMs that read the store for this one. The first one that is connected passes
        records on.
    had_source : bool
        Whether a source was ever connected.
    """

    def __init__(self, operator_follower, membership_follower, links):
        self._followers = {
            OPERATOR_TOPIC: operator_follower,
            MEMBERSHIP_TOPIC: membership_follower,
        }
        self._links = links
        self.sources = []
        # Source to its last ``ReadProgress``.
        self._progress = {}
        # Number of a connection to (send, {topic: end that was sent}).
        self._subscribers = {}
        self._chosen = False
        # Source that passes records on at present, or None.
        self._active = None
        self._alone_since = trio.current_time()
        self.had_source = False

    @property
    def reads_for_others(self):
        """Whether this node reads the store for others: it is chosen, or asked to."""
        return bool(self._subscribers) or (self._chosen and not self.sources)

    def _connected_sources(self):
        links = self._links()
        return [vm for vm in self.sources if vm in links and links[vm].up]

    def alone_s(self, now):
        """Return for how many seconds no source has been connected; 0 if one is."""
        if self._connected_sources():
            self._alone_since, self.had_source = now, True
            return 0.0
        return max(1e-3, now - self._alone_since)

    @property
    def sources_failing(self):
        """Whether the reads of all connected sources fail."""
        progress = [self._progress.get(vm) for vm in self._connected_sources()]
        return bool(progress) and all(p and p.store_failing for p in progress)

    def set_sources(self, vms):
        """Get records from the first of these VMs that is connected."""
        self._chosen = True
        self.sources = list(vms)
        self._progress = {vm: p for vm, p in self._progress.items() if vm in vms}
        self.check_active()

    def check_active(self):
        """Ask another source for records if the present one is not connected."""
        connected = self._connected_sources()
        first = connected[0] if connected else None
        if first == self._active:
            return
        if self._active is not None:
            self._send(self._active, Subscribe(0, 0, active=False))
        self._active = first
        self._subscribe()

    def _subscribe(self):
        if self._active is not None:
            followers = self._followers.values()
            era = max(follower.era for follower in followers)
            ends = [(f.end or 0) if f.era == era else 0 for f in followers]
            self._send(self._active, Subscribe(*ends, era=era))

    def on_era(self, topic):
        """Get and pass on all records of a topic anew, because its era has changed."""
        for _, ends in self._subscribers.values():
            ends[topic] = 0
        self._subscribe()

    def on_connect(self, vm):
        """Ask a source for records, after a connection to it was made."""
        if vm == self._active:
            self._subscribe()
        elif vm in self.sources:
            self.check_active()

    def _send(self, vm, frame):
        link = self._links().get(vm)
        if link is not None:
            link.send(frame)

    def on_progress(self, vm, progress):
        """Record the ``ReadProgress`` of a VM."""
        if vm in self.sources:
            self._progress[vm] = progress

    def on_update(self, update):
        """Apply an ``Update`` of another node."""
        follower = self._followers.get(update.topic)
        if follower is not None:
            follower.merge(
                update.since, update.end, update.records, update.era, update.keys
            )

    def on_subscribe(self, number, frame, send):
        """Apply a ``Subscribe`` frame of a connection, or its end if it is None."""
        if frame is None or not frame.active:
            self._subscribers.pop(number, None)
            return
        ends = {
            OPERATOR_TOPIC: frame.operator_end,
            MEMBERSHIP_TOPIC: frame.membership_end,
        }
        for topic, follower in self._followers.items():
            if not follower.same_era(frame.era):
                ends[topic] = 0
        self._subscribers[number] = (send, ends)
        for follower in self._followers.values():
            follower.wake()
        for topic in self._followers:
            self._publish_to(send, ends, topic)

    def publish(self, topic):
        """Pass new records of a topic on to all subscribers."""
        for send, ends in list(self._subscribers.values()):
            self._publish_to(send, ends, topic)

    def _publish_to(self, send, ends, topic):
        follower = self._followers[topic]
        if follower.end is not None and ends[topic] < follower.end:
            send(self.update_since(topic, ends[topic]))
            ends[topic] = follower.end

    def update_since(self, topic, since):
        """Return an ``Update`` with the newest records from an offset on."""
        follower = self._followers[topic]
        records = [tuple(record) for record in follower.records_since(since)]
        # This node may not know of records that were deleted before it read the topic.
        keys = follower.keys() if topic == OPERATOR_TOPIC else None
        return Update(topic, since, follower.end, records, follower.era, keys)
