"""Entry point of the ``jujuberudderctl`` command."""

import argparse
import sys

import defopt

from jujuberudder_core import UserError

from ._check import check
from ._diff import diff
from ._exits import EXIT_CODES, EXIT_INTERRUPTED
from ._explain import explain
from ._explain_request import explain_request
from ._inspect import inspect
from ._owners import owners
from ._publish import publish
from ._show import show
from ._status import status

COMMANDS = [
    check, publish, show, diff, owners, explain, status, inspect, explain_request
]  # fmt: skip


def main():
    """Run a command and report a user error in one line."""
    try:
        sys.exit(
            defopt.run(
                COMMANDS,
                cli_options="kwonly",
                argparse_kwargs={
                    "prog": "jujuberudderctl",
                    "description": "Command-line program for jujuberudder operators.",
                    "epilog": EXIT_CODES,
                    "formatter_class": argparse.RawDescriptionHelpFormatter,
                },
            )
            or 0
        )
    except UserError as error:
        print(f"jujuberudderctl: {error}", file=sys.stderr)
        sys.exit(error.exit_code)
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
    except BrokenPipeError:
        # The reader of standard output closed it, e.g. `head`.
        sys.stderr.close()
        sys.exit(0)


if __name__ == "__main__":
    main()
