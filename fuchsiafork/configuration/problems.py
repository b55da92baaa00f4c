"""Problems of a configuration document, and the error that lists them."""

import dataclasses
from collections.abc import Iterable

from fuchsiafork.kernel.errors import ConfigurationError


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One problem of a document: its location and reason."""

    file: str
    section: str
    key: str
    reason: str
    code: int = ConfigurationError.code

    def __str__(self) -> str:
        """Return the problem on one line."""
        location = f'{self.file}: [{self.section}] {self.key}'.rstrip()
        return f'{location}: {self.reason} (code {self.code})'


def to_error(problems: Iterable[Problem]) -> ConfigurationError:
    """Return an error that lists the problems, one per line."""
    return ConfigurationError('\n'.join(str(problem) for problem in problems))
