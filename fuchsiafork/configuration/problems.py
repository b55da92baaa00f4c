"""Faults of a configuration document, and the error that lists them."""

import dataclasses
from collections.abc import Iterable

from fuchsiafork.kernel.errors import ConfigurationError


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One fault of a document, where it stands and why."""

    file: str
    section: str
    key: str
    reason: str
    code: int = ConfigurationError.code

    def __str__(self) -> str:
        """Return the fault on one line."""
        place = f'{self.file}: [{self.section}] {self.key}'.rstrip()
        return f'{place}: {self.reason} (code {self.code})'


def to_error(problems: Iterable[Problem]) -> ConfigurationError:
    """Return the error that lists the faults."""
    return ConfigurationError('\n'.join(str(fault) for fault in problems))
