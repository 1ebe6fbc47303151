"""The verbs of the `briarvale` command line, one module a subject."""
