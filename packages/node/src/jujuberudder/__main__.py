"""Entry of the ``jujuberudder`` binary."""

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


def node(settings: str):
    """Run the node beside a target until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : str
        Path of the YAML settings file.
    """
    checked = load_settings(settings)
    start_logging()
    trio.run(_until_signal, checked, clock=BoottimeClock())


async def _until_signal(settings):
    stopping = trio.Event()
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_wait_signal, signals, stopping)
            await run_node(settings, stopping)
            nursery.cancel_scope.cancel()


async def _wait_signal(signals, stopping):
    async for _ in signals:
        stopping.set()


def main():
    """Run the command line and report a user's mistake in one line."""
    try:
        defopt.run(node, cli_options="has_default")
    except* UserError as group:
        for error in group.exceptions:
            print(f"jujuberudder: {error}", file=sys.stderr)
        sys.exit(group.exceptions[0].exit_code)


if __name__ == "__main__":
    main()
