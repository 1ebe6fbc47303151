"""`briarvale-store-node`: a placeholder process for machines with disks; it stores nothing.

All durable state is in the platform's store, so losing or retiring such a machine loses nothing.
"""

import signal

__all__ = ["main"]


def main() -> None:
    """Waits for SIGTERM or SIGINT."""
    # The default ends the process. It has no settings to read again.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import anyio

    async def wait() -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            await anext(aiter(signals))

    anyio.run(wait)


if __name__ == "__main__":
    main()
