"""Logs and the admin HTTP server (health, metrics, events, status)."""
