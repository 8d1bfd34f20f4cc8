"""Leaving targets that the store may not have yet: other VMs keep them meanwhile.

A target counts on the response to its announcement that it is leaving, also if its node
is killed just afterwards. While the store does not take the membership entry that says
so, the node asks other VMs to keep the announcement, and they tell the next process of
the node.

The load that this module handles is that of the planned stops during an outage of the
store: one frame from a leaving VM to each VM that it has a link to, and one back.
"""

import trio

# Other VMs that have to keep an announcement before it is acknowledged, if there are as
# many: one of them may be lost together with the node.
MIN_KEEPERS = 2


def enough_keepers(keepers, others):
    """Whether an announcement is kept by enough VMs.

    Parameters
    ----------
    keepers : int
        Number of other VMs that keep it.
    others : int
        Number of all other VMs.
    """
    return others > 0 and keepers >= min(MIN_KEEPERS, others)


def start_of(target_incarnation):
    """Return the Unix time (ms) of a target's start by the name of its incarnation."""
    started_ms = target_incarnation.rpartition("@")[2]
    return int(started_ms) if started_ms.isdecimal() else -1


class KeptLeavings:
    """Announcements of other VMs that this one keeps, and who keeps its own.

    Attributes
    ----------
    changed : trio.Event
        Set, and replaced, when another VM has said that it keeps the own announcement,
        and by ``notify``.
    """

    def __init__(self):
        # VM to the incarnation of its target.
        self._kept = {}
        # Incarnation of the own target to the VMs that keep its announcement.
        self._keepers = {}
        self.changed = trio.Event()

    def notify(self):
        """Wake the tasks that wait for ``changed``."""
        self.changed.set()
        self.changed = trio.Event()

    def keep(self, vm, target_incarnation):
        """Keep the announcement of a target, unless a later start of it is kept."""
        known = self._kept.get(vm)
        if known is None or start_of(known) <= start_of(target_incarnation):
            self._kept[vm] = target_incarnation

    def kept(self, vm):
        """Return the incarnation of a VM's target that is leaving, or None."""
        return self._kept.get(vm)

    def apply_entry(self, vm):
        """Apply a membership entry; forget what the store has, or a later start."""
        kept = self._kept.get(vm.name)
        if kept is None:
            return
        written = vm.target_leaving and vm.target_incarnation == kept
        if written or start_of(vm.target_incarnation) > start_of(kept):
            del self._kept[vm.name]

    def add_keeper(self, target_incarnation, vm):
        """Record that a VM keeps the announcement of the target beside this node."""
        self._keepers.setdefault(target_incarnation, set()).add(vm)
        self.notify()

    def keepers(self, target_incarnation):
        """Return the VMs that keep the announcement of the target beside this node."""
        return self._keepers.get(target_incarnation, frozenset())
