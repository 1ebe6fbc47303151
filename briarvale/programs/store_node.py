"""`briarvale-store-node`: holds the place on machines with disks; it keeps nothing on them.

All that must last is in the platform's store, so losing or retiring such a machine loses nothing.
"""

import signal

import anyio


def main() -> None:
    """Waits for the signal to stop."""
    anyio.run(_wait)


async def _wait() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for number in signals:
            if number is not signal.SIGHUP:
                return


if __name__ == "__main__":
    main()
