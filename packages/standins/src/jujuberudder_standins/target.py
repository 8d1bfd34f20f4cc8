"""``python -m jujuberudder_standins.target``: one target that answers with hashes."""

import defopt

from ._target import TargetStandin
from .logservice import run_until_interrupted


def target(name: str, *, address: str, work_s: float = 0.005):
    """Serve the stand-in of a target until it is interrupted.

    Parameters
    ----------
    name : str
        Name of the target, as in its answers.
    address : str
        Address to listen on, host:port.
    work_s : float
        Time that each request takes, in seconds.
    """
    run_until_interrupted(TargetStandin(name, work_s=work_s).app, address)


if __name__ == "__main__":
    defopt.run(target)
