"""Runtime checks of invariants, in tests and in production."""

import abc
import collections
from collections.abc import Callable
from typing import Any

from fuchsiafork.kernel.errors import InvariantViolationError


class Invariants(abc.ABC):
    """Checks conditions that must always hold and counts violations."""

    def __init__(self) -> None:
        """Start with no violations."""
        self.violations: collections.Counter[str] = collections.Counter()

    # The condition is positional, as in ``assert``.
    def check(self, name: str, holds: bool, **details: Any) -> bool:
        """Return whether the condition holds; report a violation."""
        if not holds:
            self.violations[name] += 1
            self._report(name, details)
        return holds

    @abc.abstractmethod
    def _report(self, name: str, details: dict[str, Any]) -> None:
        """Report a violated condition."""


class StrictInvariants(Invariants):
    """Raises at the first violation, for tests and measurements."""

    def _report(self, name: str, details: dict[str, Any]) -> None:
        raise InvariantViolationError(f'{name}: {details!r}')


class CountingInvariants(Invariants):
    """Counts and logs violations; the caller then rejects the operation."""

    def __init__(self, log: Callable[..., Any] | None = None) -> None:
        """Report violations to ``log``, if given."""
        super().__init__()
        self._log = log

    def _report(self, name: str, details: dict[str, Any]) -> None:
        if self._log is not None:
            self._log('invariant_violated', invariant=name, **details)
