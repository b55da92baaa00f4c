"""HTTP connections of callers and to targets, on one event loop."""
