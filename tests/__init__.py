"""Test suite of fuchsiafork."""
