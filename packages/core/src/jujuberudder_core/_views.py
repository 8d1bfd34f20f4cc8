"""Views of the folds for operators, as plain data for JSON."""

from ._shards import hash_bits


def sections_view(sections):
    """Return the version and text of each section in force, by name."""
    return {
        name: {"version": section.version, "text": section.text}
        for name, section in sorted(sections.all.items())
    }


def nodes_view(ownership):
    """Return the live nodes, sorted by availability zone and node name."""
    nodes = [
        {
            "node": state.admit.node,
            "availability_zone": state.admit.availability_zone,
            "service": state.admit.service,
            "incarnation": incarnation,
            "version": state.version,
            "client_address": state.admit.client_address,
            "operator_address": state.admit.operator_address,
        }
        for incarnation, state in ownership.live()
    ]
    return sorted(nodes, key=lambda node: (node["availability_zone"], node["node"]))


def owners_view(ownership):
    """Return the shards by service and prefix, with the node of each shard's owner."""
    return {
        service: {
            prefix: _shard_view(ownership, shard)
            for prefix, shard in sorted(ownership.shards(service).items())
        }
        for service in sorted(ownership.services())
    }


def _shard_view(ownership, shard):
    return shard._asdict() | {
        "node": _node_name(ownership, shard.owner),
        "alive": ownership.alive(shard.owner),
        "destination_node": _node_name(ownership, shard.destination),
    }


def _node_name(ownership, incarnation):
    state = ownership.incarnations.get(incarnation)
    return state.admit.node if state else ""


def explain_view(ownership, sections, service, key):
    """Return the shard, owner and planner responsible for a key.

    Parameters
    ----------
    ownership : Ownership
    sections : Sections
    service, key : str

    Returns
    -------
    view : dict
        ``shard`` is None if no shard covers the key.
    """
    section = sections.get(service)
    located = ownership.locate(service, key)
    claim = ownership.planners.get(service)
    view = {
        "service": service,
        "key": key,
        "hash": hash_bits(key),
        "section_version": section.version if section else 0,
        "keyed": bool(section and "key" in section.body),
        "planner": claim.planner if claim else "",
        "planner_node": _node_name(ownership, claim.planner) if claim else "",
        "shard": None,
    }
    if located is None:
        return view
    prefix, shard = located
    drained = section.body["drain"] if section else []
    node = _node_name(ownership, shard.owner)
    state = ownership.incarnations.get(shard.owner)
    zone = state.admit.availability_zone if state else ""
    return view | {
        "shard": prefix,
        "availability_zone": zone,
        "drained": node in drained,
        **_shard_view(ownership, shard),
    }
