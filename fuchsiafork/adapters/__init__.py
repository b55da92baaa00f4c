"""Clients of external interfaces: targets, key-value service, VM list."""
