"""Measurements: ``python -m measurements <name> --seed N``."""
