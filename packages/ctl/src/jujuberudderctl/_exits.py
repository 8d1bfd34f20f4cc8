"""Exit codes of ``jujuberudderctl`` and how errors end a command."""

import trio

from jujuberudder_core import UserError

EXIT_DIFFERENT = 1
EXIT_MISTAKE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_NOT_IN_FORCE = 5
EXIT_UNKNOWN = 6
EXIT_INTERRUPTED = 130

EXIT_CODES = """\
exit codes:
  0    done
  1    diff: there are differences
  2    a mistake in the arguments or in a file; nothing was changed
  3    conflict: another version or another section is in the way; nothing was changed
  4    the log service or a node cannot be reached; nothing was changed
  5    published, but not in force on every node in time (publish --wait)
  6    the log service did not tell in time whether the publish took effect
  130  interrupted
"""


def run(command, *args):
    """Run an async command and return its exit code.

    Raises
    ------
    UserError
        The first one that ended the command.
    KeyboardInterrupt
    """
    try:
        return trio.run(command, *args, strict_exception_groups=True)
    except* UserError as group:
        raise _first(group) from None
    except* KeyboardInterrupt:
        raise KeyboardInterrupt from None


def _first(group):
    while isinstance(group, BaseExceptionGroup):
        group = group.exceptions[0]
    return group
