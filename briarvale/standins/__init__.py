"""In-memory fakes of external systems with fault injection, for tests and the demo."""
