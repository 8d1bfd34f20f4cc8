"""Headers of this project and hop-by-hop headers of HTTP."""

REQUEST_ID = b"jujuberudder-request-id"
FIRST_REQUEST_ID = b"jujuberudder-first-request-id"
DEADLINE = b"jujuberudder-deadline"
OUTCOME = b"jujuberudder-outcome"
REASON = b"jujuberudder-reason"
HOP_COUNT = b"jujuberudder-hop"
FENCE = b"jujuberudder-fence"
SHARD = b"jujuberudder-shard"
EPOCH = b"jujuberudder-epoch"
CLIENT = b"jujuberudder-client"
# Call depth. Nodes set it on requests to a target; the target copies it to the calls
# that it makes to handle the request.
CALL_DEPTH = b"jujuberudder-call"

# Headers that only nodes may set; removed from requests of clients.
INTERNAL = frozenset((HOP_COUNT, FENCE, SHARD, OUTCOME, REASON, EPOCH, CLIENT))

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


def normalize_name(name):
    """Return a header name in lower case with underscores replaced by dashes.

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
    """Return the number of occurrences of a header."""
    return sum(key.lower() == name for key, _ in headers)


def without(headers, names):
    """Return the headers except those with the given names."""
    return [(key, value) for key, value in headers if normalize_name(key) not in names]


def end_to_end(headers):
    """Return the headers except hop-by-hop ones and those that Connection lists."""
    connection_values = [
        value for key, value in headers if key.lower() == b"connection"
    ]
    connection_names = {
        normalize_name(token.strip())
        for value in connection_values
        for token in value.split(b",")
    }
    # Framing and addressing headers are kept even if Connection lists them.
    connection_names -= {b"host", b"content-length", b"transfer-encoding"}
    return without(headers, HOP_BY_HOP | connection_names)
