"""`briarvale-node`: gateway, pool owner and batch runner of one VM, as one process."""

import signal

__all__ = ["main"]


def main() -> None:
    """Runs the node; exits with 2 and starts nothing if the settings are invalid."""
    # The default ends the process. While it starts, the settings are yet to be read.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from ._node import run_node

    run_node()


if __name__ == "__main__":
    main()
