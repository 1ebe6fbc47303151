"""Code generated from the schema folder."""
