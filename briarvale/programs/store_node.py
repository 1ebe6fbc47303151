"""`briarvale-store-node`: a placeholder process for machines with disks; it stores nothing.

All durable state is in the platform's store, so losing or retiring such a machine loses nothing.
"""

import signal

import anyio


def main() -> None:
    """Waits for SIGTERM or SIGINT."""
    anyio.run(_wait)


async def _wait() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for received in signals:
            if received is not signal.SIGHUP:
                return


if __name__ == "__main__":
    main()
