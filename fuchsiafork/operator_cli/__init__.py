"""Program ``fuchsiafork``: the operators' commands."""
