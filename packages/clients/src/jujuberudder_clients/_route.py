"""Selects the section, the key and the next hop of a request."""

from typing import NamedTuple
from urllib.parse import parse_qs, unquote

from jujuberudder_core import match_section

from . import _headers as headers


class Hop(NamedTuple):
    """Where a request goes next.

    Parameters
    ----------
    kind : str
        ``"local"``, ``"forward"`` or ``"wait"``.
    reason : str
    incarnation : str
        Next node of a ``"forward"``.
    prefix : str
    epoch : int
    """

    kind: str
    reason: str
    incarnation: str = ""
    prefix: str = ""
    epoch: int = 0


def find_section(sections, scope):
    """Return the section whose route matches best, or None."""
    host = headers.get(scope["headers"], b"host") or ""
    return match_section(sections.all, host, scope["path"])


def find_key(source, scope):
    """Return the key of a request, or None if it carries none."""
    if source["source"] == "header":
        return headers.get(scope["headers"], source["name"].lower().encode())
    if source["source"] == "query":
        values = parse_qs(scope["query_string"].decode()).get(source["name"])
        return values[0] if values else None
    # The path is split before it is decoded: a key may contain an escaped slash.
    segments = [part for part in scope["raw_path"].decode().split("/") if part]
    index = source["index"]
    return unquote(segments[index]) if index < len(segments) else None


def next_hop(context, request):
    """Return the next hop.

    Parameters
    ----------
    context : RouteContext
    request : Request
    """
    if request.key is None:
        return _unkeyed(context, request.section, request.hops)
    return _keyed(context, request.section.body["service"], request.key)


def _keyed(context, service, key):
    found = context.ownership.locate(service, key)
    if found is None:
        return Hop("wait", "no shards")
    prefix, shard = found
    serving = context.served_shards()
    if serving is not None:
        epoch = serving.admitting_epoch(service, prefix)
        if epoch is not None and context.drain.over:
            return Hop("wait", "draining", prefix=prefix)
        if epoch is not None:
            return Hop("local", "owner", prefix=prefix, epoch=epoch)
    me = context.incarnation()
    if shard.owner == me:
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


def usable(context, section):
    """Return whether the target beside this node takes requests without a key."""
    serving = context.served_shards()
    return (
        section.body["service"] == context.service
        and context.node not in section.body["drain"]
        and serving is not None
        and not serving.leaving
        and context.health.up
    )


def _unkeyed(context, section, hops):
    here = usable(context, section)
    if hops:
        return Hop("local", "chosen") if here else Hop("wait", "not usable")
    me = context.incarnation()
    drained = section.body["drain"]
    candidates = {
        incarnation: state.admit.availability_zone == context.availability_zone
        for incarnation, state in context.ownership.live(section.body["service"])
        if (here if incarnation == me else state.admit.node not in drained)
    }
    if not candidates:
        return Hop("wait", "no target")
    candidates, weights = _weighted(context, section, candidates)
    slots = section.body["slots"]
    chosen, reason = context.target_selector.choose(candidates, slots, weights)
    if chosen == me:
        return Hop("local", reason)
    return Hop("forward", reason, chosen)


def _weighted(context, section, candidates):
    """Drop candidates in availability zones of weight 0; return the others' weights.

    If no others are left, the weights do not count.
    """
    by_zone = section.body["availability_zone_weights"]
    if not by_zone:
        return candidates, {}
    states = context.ownership.incarnations
    weights = {c: by_zone.get(states[c].admit.availability_zone, 1) for c in candidates}
    kept = {c: same for c, same in candidates.items() if weights[c] > 0}
    return (kept, weights) if kept else (candidates, {})
