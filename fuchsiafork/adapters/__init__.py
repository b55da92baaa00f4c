"""Adapters at the edge, one module for each outside interface."""
