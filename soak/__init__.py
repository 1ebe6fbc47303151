"""A randomized soak test: node processes on loopback, injected faults, and checked promises."""
