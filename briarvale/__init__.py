"""Online and batch inference on one shared fleet, for a federation of members."""

__version__ = "0.1.0"
