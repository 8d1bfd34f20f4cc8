"""Command line of the ``jujuberudder`` program."""

import signal
import sys

import defopt
import trio

from jujuberudder_core import (
    BoottimeClock,
    UserError,
    load_settings,
    start_logging,
)

from ._node import run_node
from ._startup_checks import check_listeners, check_log_service

EXIT_SYSTEM_ERROR = 1


def node(settings: str):
    """Run the node beside a target until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : str
        Path of the YAML settings file.
    """
    loaded = load_settings(settings)
    check_listeners(loaded, settings)
    start_logging()
    trio.run(_run_until_signal, loaded, settings, clock=BoottimeClock())


async def _run_until_signal(settings, path):
    stopping = trio.Event()
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_stop_on_signal, signals, stopping)
            await check_log_service(settings, path, stopping)
            await run_node(settings, stopping)
            nursery.cancel_scope.cancel()


async def _stop_on_signal(signals, stopping):
    async for _ in signals:
        stopping.set()


def main():
    """Run the command line; user errors and system errors are printed as one line."""
    try:
        defopt.run(node, cli_options="has_default")
    except* UserError as group:
        error = _first_error(group)
        print(f"jujuberudder: {error}", file=sys.stderr)
        sys.exit(error.exit_code)
    except* OSError as group:
        # Another process may bind an address after `check_listeners` tested it.
        print(f"jujuberudder: {_first_error(group)}", file=sys.stderr)
        sys.exit(EXIT_SYSTEM_ERROR)


def _first_error(group):
    while isinstance(group, BaseExceptionGroup):
        group = group.exceptions[0]
    return group


if __name__ == "__main__":
    main()
