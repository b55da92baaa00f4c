"""Tells from calls that fail silently which failure domains are cut off."""

import collections

# Targets of a domain that must fall silent, with no answer in between,
# before the others of that domain are doubted.
MIN_SILENT_TARGETS = 2
# Seconds for which a domain is doubted after its last silent call.
SUSPICION_S = 1.5


class DomainReachability:
    """Silent targets of each failure domain since its last answer."""

    def __init__(self) -> None:
        """Start with all domains in reach."""
        self._silent_targets: dict[str, set[str]] = collections.defaultdict(set)
        self._suspected_until: dict[str, float] = {}

    def record_no_answer(self, domain: str, target_id: str, now: float) -> None:
        """Count a call that was not answered, nor refused."""
        silent = self._silent_targets[domain]
        silent.add(target_id)
        if len(silent) >= MIN_SILENT_TARGETS:
            self._suspected_until[domain] = now + SUSPICION_S

    def record_answer(self, domain: str) -> None:
        """Count an answer of any kind."""
        self._silent_targets.pop(domain, None)
        self._suspected_until.pop(domain, None)

    def is_suspected(self, domain: str, now: float) -> bool:
        """Return whether a domain is probably cut off."""
        return now < self._suspected_until.get(domain, now)
