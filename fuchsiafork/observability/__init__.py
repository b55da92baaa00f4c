"""Logs, metrics, health and events."""
