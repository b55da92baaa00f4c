"""Gateway process, one per VM: serves requests of callers via targets."""
