"""Headers of the system and of HTTP's hops."""

REQUEST_ID = b"jujuberudder-request-id"
DEADLINE = b"jujuberudder-deadline"
OUTCOME = b"jujuberudder-outcome"
REASON = b"jujuberudder-reason"
HOP = b"jujuberudder-hop"
FENCE = b"jujuberudder-fence"
SHARD = b"jujuberudder-shard"

# Headers that only nodes may set; removed from what clients send.
INTERNAL = frozenset((HOP, FENCE, SHARD, OUTCOME, REASON, b"jujuberudder-epoch"))

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
    )
)


def get(headers, name):
    """Return the first value of a header as str, or None."""
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return None


def without(headers, names):
    """Return headers except the named ones."""
    return [(key, value) for key, value in headers if key.lower() not in names]
