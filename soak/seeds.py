"""Plays seeds one after another; the settings files and logs of a broken one are kept."""

import shutil
import tempfile
from collections.abc import Callable, Iterable
from pathlib import Path

__all__ = ["play_seeds"]


def play_seeds(name: str, seeds: Iterable[int], play: Callable[[int, Path], bool]) -> None:
    """Plays each seed in a folder of its own.

    Args:
        name: Part of the folders' names.
        seeds: The seeds.
        play: Plays and reports one seed; returns whether a promise was broken.
    """
    for seed in seeds:
        folder = Path(tempfile.mkdtemp(prefix=f"briarvale-{name}-{seed}-"))
        if play(seed, folder):
            print(f"  settings and logs: {folder}", flush=True)
        else:
            shutil.rmtree(folder)
