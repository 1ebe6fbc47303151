"""Translates between Briarvale and the users' platform; holds no decision and no state of its own.

Nothing outside this package knows the platform's names.
"""
