"""Timeline of the events of all processes."""
