"""Adapters between Briarvale and the users' platform; they make no decisions and hold no state.

The platform's names are used in this package only.
"""
