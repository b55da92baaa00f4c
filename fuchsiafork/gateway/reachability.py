"""Detects unreachable failure domains from unanswered calls."""

import collections

# Number of targets of a domain that must leave calls unanswered, without any
# answer from the domain in between, before the whole domain is suspected.
MIN_SILENT_TARGETS = 2
# How long a domain stays suspected after its last unanswered call.
SUSPICION_S = 1.5


class DomainReachability:
    """Tracks unanswered calls by failure domain since its last answer."""

    def __init__(self) -> None:
        """Start with all domains considered reachable."""
        self._silent_targets: dict[str, set[str]] = collections.defaultdict(set)
        self._suspected_until: dict[str, float] = {}

    def record_no_answer(self, domain: str, target_id: str, now: float) -> None:
        """Record a call that was neither answered nor refused."""
        silent = self._silent_targets[domain]
        silent.add(target_id)
        if len(silent) >= MIN_SILENT_TARGETS:
            self._suspected_until[domain] = now + SUSPICION_S

    def record_answer(self, domain: str) -> None:
        """Record an answer of any kind, which clears the suspicion."""
        self._silent_targets.pop(domain, None)
        self._suspected_until.pop(domain, None)

    def is_suspected(self, domain: str, now: float) -> bool:
        """Return whether a domain is probably unreachable."""
        return now < self._suspected_until.get(domain, now)
