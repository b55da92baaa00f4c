"""Stand-ins for the outside systems, for tests, measurements and the demo."""
