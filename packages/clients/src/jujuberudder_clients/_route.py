"""Select the section, the key and the next hop of a request."""

from typing import NamedTuple
from urllib.parse import parse_qs, unquote

from jujuberudder_core import match_section

from . import _headers as headers


class Hop(NamedTuple):
    """Next step of a request.

    Parameters
    ----------
    kind : str
        ``"local"`` to send it to the local target, ``"forward"`` to send it to another
        node, ``"wait"`` if neither is possible now.
    reason : str
    incarnation : str
        Incarnation to which a ``"forward"`` sends the request.
    prefix : str
        Prefix of the shard of a request with a key.
    epoch : int
        Epoch of that shard.
    """

    kind: str
    reason: str
    incarnation: str = ""
    prefix: str = ""
    epoch: int = 0


def find_section(sections, scope):
    """Return the section with the best matching route, or None."""
    host = headers.get(scope["headers"], b"host") or ""
    return match_section(sections.all, host, scope["path"])


def find_key(source, scope):
    """Return the key of a request, or None if it has no key."""
    if source["source"] == "header":
        return headers.get(scope["headers"], source["name"].lower().encode())
    if source["source"] == "query":
        values = parse_qs(scope["query_string"].decode()).get(source["name"])
        return values[0] if values else None
    # Split the path before decoding it, because a key may contain an escaped slash.
    segments = [part for part in scope["raw_path"].decode().split("/") if part]
    index = source["index"]
    return unquote(segments[index]) if index < len(segments) else None


def next_hop(context, request):
    """Return the next hop of a request.

    Parameters
    ----------
    context : RouteContext
    request : Request

    Returns
    -------
    hop : Hop
    """
    if request.key is None:
        return _unkeyed_hop(context, request.section, request.hops)
    return _keyed_hop(context, request.section.body["service"], request.key)


def _keyed_hop(context, service, key):
    located = context.ownership.locate(service, key)
    if located is None:
        return Hop("wait", "no shards")
    prefix, shard = located
    serving = context.served_shards()
    if serving is not None:
        epoch = serving.admitting_epoch(service, prefix)
        if epoch is not None and context.drain.grace_elapsed:
            return Hop("wait", "draining", prefix=prefix)
        if epoch is not None:
            return Hop("local", "owner", prefix=prefix, epoch=epoch)
    own_incarnation = context.incarnation()
    if shard.owner == own_incarnation:
        if (
            shard.destination
            and serving
            and serving.released(service, prefix, shard.epoch)
        ):
            return Hop("forward", "released", shard.destination, prefix, shard.epoch)
        return Hop("wait", "moving or no lease", prefix=prefix)
    if not context.ownership.alive(shard.owner):
        return Hop("wait", "no live owner", prefix=prefix)
    return Hop("forward", "owner", shard.owner, prefix, shard.epoch)


def local_target_usable(context, section):
    """Return whether the local target accepts requests without a key."""
    serving = context.served_shards()
    return (
        section.body["service"] == context.service
        and context.node not in section.body["drain"]
        and serving is not None
        and not serving.leaving
        and context.health.up
    )


def _unkeyed_hop(context, section, hops):
    local_usable = local_target_usable(context, section)
    if hops:
        return Hop("local", "chosen") if local_usable else Hop("wait", "not usable")
    own_incarnation = context.incarnation()
    drained = section.body["drain"]
    candidates = {
        incarnation: state.admit.availability_zone == context.availability_zone
        for incarnation, state in context.ownership.live(section.body["service"])
        if (
            local_usable
            if incarnation == own_incarnation
            else state.admit.node not in drained
        )
    }
    if not candidates:
        return Hop("wait", "no target")
    candidates, weights = _weighted(context, section, candidates)
    slots = section.body["slots"]
    chosen, reason = context.target_selector.choose(candidates, slots, weights)
    if chosen == own_incarnation:
        return Hop("local", reason)
    return Hop("forward", reason, chosen)


def _weighted(context, section, candidates):
    """Drop candidates in availability zones of weight 0.

    If no candidate remains, all candidates are kept and the weights are ignored.

    Returns
    -------
    candidates : dict of str to bool
    weights : dict of str to float
    """
    by_zone = section.body["availability_zone_weights"]
    if not by_zone:
        return candidates, {}
    states = context.ownership.incarnations
    weights = {c: by_zone.get(states[c].admit.availability_zone, 1) for c in candidates}
    with_weight = {
        c: same_zone for c, same_zone in candidates.items() if weights[c] > 0
    }
    return (with_weight, weights) if with_weight else (candidates, {})
