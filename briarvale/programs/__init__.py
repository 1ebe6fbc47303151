"""Entry points of the programs; they only wire parts together."""
