"""Time line over the events of all processes."""
