"""Stand-ins of external systems for tests, measurements and the demo."""
