"""Entry points of the programs; they only connect components."""
