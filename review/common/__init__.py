"""Stand-ins and helpers of the review's scripts; they need the standard library alone."""
