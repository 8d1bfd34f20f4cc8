"""``python -m jujuberudder_standins.target``: serves the stand-in of a target."""

import defopt

from ._target import TargetStandin
from .logservice import run_until_interrupted


def target(name: str, *, address: str, work_s: float = 0.005):
    """Serve a target that responds with hashes, until it is interrupted.

    Parameters
    ----------
    name : str
        Name of the target in its responses.
    address : str
        Address to listen on, host:port.
    work_s : float
        Duration of each request in seconds.
    """
    run_until_interrupted(TargetStandin(name, work_s=work_s).app, address)


if __name__ == "__main__":
    defopt.run(target)
