"""Entry of the ``jujuberudderctl`` binary."""

import sys

import defopt

from jujuberudder_core import UserError

from ._check import check
from ._publish import publish
from ._show import show

COMMANDS = [check, publish, show]


def main():
    """Run a command and report a user's mistake in one line."""
    try:
        sys.exit(defopt.run(COMMANDS, cli_options="has_default") or 0)
    except UserError as error:
        print(f"jujuberudderctl: {error}", file=sys.stderr)
        sys.exit(error.exit_code)


if __name__ == "__main__":
    main()
