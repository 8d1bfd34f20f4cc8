"""State of a node and of a key, as operators read them on the ready address."""

from ._keymap import locate, suspicion_of

# Decimal places of times in seconds.
TIME_DIGITS = 3


def node_status(node, now):
    """Return the state of a node as a dict of JSON values; times are in seconds.

    Parameters
    ----------
    node : Node
    now : float
        Time on the node's clock, in seconds.
    """
    target, load = node.target, node.admission.load()
    follower = node.membership_follower
    return {
        "vm": node.settings.vm,
        "zone": node.settings.zone,
        "service": node.settings.service,
        "process": node.node_incarnation,
        "ready": node.ready,
        "configuration": node.config_version,
        "evacuated_zones": node.evacuations.zones,
        "target": {
            "incarnation": target.incarnation,
            "leaving": target.leaving,
            "heartbeat_age_s": _age(target.heartbeat_at, now),
            "slots": target.slots,
            "running": load.running,
            "queued": load.queued,
            "closed": node.admission.closed_reason,
            "cold": node.cold_target.is_cold(now),
        },
        "key_map": {
            "end": follower.end,
            "era": follower.era,
            "read_age_s": _age(follower.read_at, now),
            "store_failing_s": _age(follower.failing_since, now),
        },
        "keys": _keys_status(node, now) if node.is_keyed(node.settings.service) else {},
        "links": {
            "known": len(node.links),
            "up": sum(link.up for link in node.links.values()),
        },
    }


def _keys_status(node, now):
    held = node.target.held
    return {
        "granted_by": "call" if node.grants_by_call else "heartbeat",
        "lease_left_s": _round(node.ownership.lease_left_s(now)),
        "usable": [_range_status(r, now) for r in held.usable if r.until > now],
        "possible": [_range_status(r, now) for r in held.possible(now)],
        "open_calls": [
            _range_status(call, now) | {"sent_s_ago": _age(call.sent_at, now)}
            for call in held.open_calls(now)
        ],
    }


def _range_status(held_range, now):
    return {
        "start": held_range.start,
        "end": held_range.end,
        "fence": held_range.fence,
        "left_s": _round(held_range.until - now),
    }


def key_status(node, service, key, now):
    """Return who owns a key of a service according to this node, as JSON values.

    Parameters
    ----------
    node : Node
    service : str
    key : int
    now : float
        Time on the node's clock, in seconds.
    """
    keymap = node.keymaps.get(service)
    key_range = locate(keymap, key) if keymap else None
    status = {
        "service": service,
        "key": key,
        "known_to": node.settings.vm,
        "key_map_end": node.membership_follower.end,
        "read_age_s": _age(node.membership_follower.read_at, now),
        "owner": None,
    }
    if key_range is None:
        return status
    owner = key_range.vm
    status["owner"] = owner
    status["range"] = [key_range.start, key_range.end]
    status["fence"] = key_range.fence
    status["target"] = key_range.target_incarnation
    status["handed_over"] = bool(key_range.handover)
    status["suspected"] = suspicion_of(keymap, owner) is not None
    status["unreachable_s"] = _round(node.unreachable_s(owner))
    if owner == node.settings.vm:
        status["usable"] = node.target.held.covers(key, now)
        status["may_hold_s"] = _round(max(0.0, node.target.held.expiry(key, key) - now))
    return status


def _age(at, now):
    return None if at is None else _round(now - at)


def _round(seconds):
    return round(seconds, TIME_DIGITS)
