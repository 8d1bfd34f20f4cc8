"""Headers of the system and of HTTP's hops."""

REQUEST_ID = b"jujuberudder-request-id"
FIRST_REQUEST_ID = b"jujuberudder-first-request-id"
DEADLINE = b"jujuberudder-deadline"
OUTCOME = b"jujuberudder-outcome"
REASON = b"jujuberudder-reason"
HOP = b"jujuberudder-hop"
FENCE = b"jujuberudder-fence"
SHARD = b"jujuberudder-shard"
EPOCH = b"jujuberudder-epoch"
CLIENT = b"jujuberudder-client"
# Set by nodes on what they hand to a target; a target copies it to calls it makes.
CALL = b"jujuberudder-call"

# Headers that only nodes may set; removed from what clients send.
INTERNAL = frozenset((HOP, FENCE, SHARD, OUTCOME, REASON, EPOCH, CLIENT))

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


def normal(name):
    """Return a header name in lower case with dashes.

    Targets behind CGI-like interfaces read ``Jujuberudder_Fence`` as
    ``Jujuberudder-Fence``.
    """
    return name.lower().replace(b"_", b"-")


def get(headers, name):
    """Return the first value of a header as str, or None."""
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return None


def count(headers, name):
    """Return how often a header is given."""
    return sum(key.lower() == name for key, _ in headers)


def without(headers, names):
    """Return headers except the named ones."""
    return [(key, value) for key, value in headers if normal(key) not in names]


def end_to_end(headers):
    """Return headers except those of one hop, including what Connection names."""
    named = [value for key, value in headers if key.lower() == b"connection"]
    tokens = {normal(token.strip()) for value in named for token in value.split(b",")}
    # Framing and addressing stay even if Connection names them.
    tokens -= {b"host", b"content-length", b"transfer-encoding"}
    return without(headers, HOP_BY_HOP | tokens)
