"""Selects the section, the key and the next hop of a request."""

import random
from typing import NamedTuple
from urllib.parse import parse_qs

from jujuberudder_core import match_section

from . import _headers as headers

ZONE_CROSSING_COST = 0.5


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
    segments = [part for part in scope["path"].split("/") if part]
    index = source["index"]
    return segments[index] if index < len(segments) else None


def next_hop(context, section, key, hops):
    """Return the next hop.

    Parameters
    ----------
    context : RouteContext
    section : PublishedSection
    key : str or None
        None for a service without keys.
    hops : int
        How often the request was forwarded already.
    """
    if key is None:
        return _unkeyed(context, section, hops)
    return _keyed(context, section.body["service"], key)


def _keyed(context, service, key):
    found = context.ownership.locate(service, key)
    if found is None:
        return Hop("wait", "no shards")
    prefix, shard = found
    serving = context.serving()
    if serving is not None:
        epoch = serving.admitting(service, prefix)
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


def _unkeyed(context, section, hops):
    service = section.body["service"]
    me = context.incarnation()
    serving = context.serving()
    mine = service == context.service and context.node not in section.body["drain"]
    usable = serving is not None and not serving.leaving and context.health.up
    if hops:
        return Hop("local", "chosen") if mine and usable else Hop("wait", "not usable")
    candidates = [
        (_cost(context, incarnation, state), incarnation)
        for incarnation, state in context.ownership.live(service)
        if state.admit.node not in section.body["drain"]
        and (incarnation != me or usable)
    ]
    if not candidates:
        return Hop("wait", "no target")
    chosen = min(candidates)[1]
    if chosen == me:
        return Hop("local", "least in flight")
    return Hop("forward", "least in flight", chosen)


def _cost(context, incarnation, state):
    crossing = state.admit.availability_zone != context.availability_zone
    in_flight = context.in_flight.get(incarnation, 0)
    return in_flight + crossing * ZONE_CROSSING_COST + random.random() * 0.1
