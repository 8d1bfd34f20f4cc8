"""Placement policy: which incarnation gets which shard."""

from jujuberudder_core import records, uniform_prefixes

MAX_MOVES_PER_ROUND = 4
COUNT_SLACK = 1


def candidates(ownership, section, ended=()):
    """Return the incarnations of a service that may take shards.

    Parameters
    ----------
    ownership : Ownership
    section : SectionBody
    ended : container of str
        Incarnations that are being taken over.
    """
    drained = section["drain"]
    return [
        incarnation
        for incarnation, state in ownership.live(section["service"])
        if incarnation not in ended and state.admit.node not in drained
    ]


def successors(ownership, sections, ended):
    """Return the next owners of the shards of incarnations that end.

    Parameters
    ----------
    ownership : Ownership
    sections : dict of str to SectionBody
        By service.
    ended : set of str

    Returns
    -------
    shards : tuple of ShardOwner
    """
    chosen = []
    for service in ownership.services():
        if service not in sections:
            continue
        counts = _counts(ownership, sections[service], ended)
        for incarnation in sorted(ended):
            for name, prefix in sorted(ownership.owned(incarnation)):
                if name == service and counts:
                    epoch = ownership.shards(service)[prefix].epoch
                    chosen.append(_give(counts, service, prefix, epoch))
    return tuple(chosen)


def _counts(ownership, section, ended=()):
    service = section["service"]
    return {
        incarnation: sum(name == service for name, _ in ownership.owned(incarnation))
        for incarnation in candidates(ownership, section, ended)
    }


def _give(counts, service, prefix, epoch):
    owner = min(counts, key=lambda incarnation: (counts[incarnation], incarnation))
    counts[owner] += 1
    return records.ShardOwner(service, prefix, epoch, owner)


def plan_assign(ownership, section):
    """Return owners for the first shards of a service, or for shards without one."""
    service = section["service"]
    counts = _counts(ownership, section)
    if not counts:
        return ()
    shards = ownership.shards(service)
    if not shards:
        prefixes = uniform_prefixes(section["initial_shard_bits"])
        return tuple(_give(counts, service, prefix, 0) for prefix in prefixes)
    return tuple(
        _give(counts, service, prefix, shard.epoch)
        for prefix, shard in sorted(shards.items())
        if not shard.owner
    )


def plan_moves(ownership, section):
    """Return moves off drained nodes, then moves that even out the counts."""
    service = section["service"]
    counts = _counts(ownership, section)
    moves = []
    if not counts:
        return ()
    for prefix, shard in sorted(ownership.shards(service).items()):
        if shard.owner and not shard.destination and shard.owner not in counts:
            moves.append(_give(counts, service, prefix, shard.epoch))
    moves += _even_out(ownership, service, counts)
    return tuple(moves)


def _even_out(ownership, service, counts):
    moves = []
    shards = ownership.shards(service)
    if any(shard.destination for shard in shards.values()):
        return moves
    while len(moves) < MAX_MOVES_PER_ROUND:
        most = max(counts, key=counts.get)
        if counts[most] - min(counts.values()) <= COUNT_SLACK:
            break
        taken = {move.prefix for move in moves}
        prefix = next(
            (
                p
                for s, p in sorted(ownership.owned(most))
                if (s == service) and p not in taken
            ),
            None,
        )
        if prefix is None:
            break
        counts[most] -= 1
        moves.append(_give(counts, service, prefix, shards[prefix].epoch))
    return moves
