"""One process a VM: callers' requests, budgets, targets, configuration."""
