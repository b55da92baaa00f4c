"""Tells from calls that fail silently which failure domains are cut off."""

import collections

# Targets of a domain that must fall silent, with no answer in between,
# before the others of that domain are doubted.
SILENT_TARGETS = 2
# Seconds for which a domain is doubted after its last silent call.
DOUBT_S = 1.5


class Reach:
    """Silent targets of each failure domain since its last answer."""

    def __init__(self) -> None:
        """Start with all domains in reach."""
        self._silent: dict[str, set[str]] = collections.defaultdict(set)
        self._until: dict[str, float] = {}

    def note_silent(self, domain: str, target_id: str, now: float) -> None:
        """Count a call that was not answered, nor refused."""
        silent = self._silent[domain]
        silent.add(target_id)
        if len(silent) >= SILENT_TARGETS:
            self._until[domain] = now + DOUBT_S

    def note_answer(self, domain: str) -> None:
        """Count an answer of any kind."""
        self._silent.pop(domain, None)
        self._until.pop(domain, None)

    def doubts(self, domain: str, now: float) -> bool:
        """Return whether a domain is probably cut off."""
        return now < self._until.get(domain, now)
