"""A randomized soak: real node processes on loopback, faults from outside, promises checked."""
