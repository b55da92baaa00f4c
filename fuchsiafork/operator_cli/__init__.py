"""Program ``fuchsiafork``: the command line for operators."""
