"""One VM's settings, read by each of its programs."""

from ._generated.settings import Settings

__all__ = ["Settings"]
