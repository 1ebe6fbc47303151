"""Commands of the `briarvale` command line, one module for each group."""
