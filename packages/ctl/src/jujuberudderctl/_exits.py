"""Exit codes of ``jujuberudderctl`` and the runner of its async commands."""

import trio

from jujuberudder_core import UserError

EXIT_DIFFERENT = 1
EXIT_INVALID_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_NOT_IN_FORCE = 5
EXIT_UNKNOWN = 6
EXIT_INTERRUPTED = 130

EXIT_CODES = """\
exit codes:
  0    done
  1    diff: the texts differ
  2    invalid arguments or an invalid file; nothing was changed
  3    conflict with another version or another section; nothing was changed
  4    the log service or a node cannot be reached; nothing was changed
  5    published, but not in force on every node in time (publish --wait)
  6    the log service did not confirm in time whether the publish took effect
  130  interrupted
"""


def run(command, *args):
    """Run an async command and return its exit code.

    Raises
    ------
    UserError
        The first error that ended the command.
    KeyboardInterrupt
        If the command was interrupted.
    """
    try:
        return trio.run(command, *args, strict_exception_groups=True)
    except* UserError as group:
        raise _first_error(group) from None
    except* KeyboardInterrupt:
        raise KeyboardInterrupt from None


def _first_error(group):
    while isinstance(group, BaseExceptionGroup):
        group = group.exceptions[0]
    return group
