"""Reads the INI form of the configuration document."""

import configparser
import dataclasses
from typing import Any

import pydantic

from fuchsiafork.configuration.document import Document
from fuchsiafork.kernel.errors import ConfigurationError

_TABLES = {
    'budget': 'budgets',
    'account': 'accounts',
    'pool': 'pools',
    'route': 'routes',
    'version': 'versions',
    'target': 'targets',
    'rollout': 'rollouts',
}

# Field of a section -> table that must hold the name it gives.
_REFERENCES = (
    ('accounts', 'budget', 'budgets'),
    ('accounts', 'routes', 'routes'),
    ('routes', 'pool', 'pools'),
    ('routes', 'version', 'versions'),
    ('versions', 'pool', 'pools'),
    ('targets', 'version', 'versions'),
    ('rollouts', 'route', 'routes'),
    ('rollouts', 'old', 'versions'),
    ('rollouts', 'new', 'versions'),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One fault of a document, where it stands and why."""

    file: str
    section: str
    key: str
    reason: str

    def __str__(self) -> str:
        """Return the fault on one line."""
        return f'{self.file}: [{self.section}] {self.key}: {self.reason}'


def parse_document(text: str, file: str = 'configuration') -> Document:
    """
    Return the validated document.

    :raises ConfigurationError: with all faults, a line each.
    """
    raw = _read_sections(text, file)
    try:
        document = Document.model_validate(raw)
    except pydantic.ValidationError as error:
        raise _to_error([
            _to_problem(file, fault) for fault in error.errors()
        ]) from None
    problems = _check_references(document, file)
    if problems:
        raise _to_error(problems)
    return document


def _read_sections(text: str, file: str) -> dict[str, Any]:
    """Return the sections by table and name."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(text, file)
    except configparser.Error as error:
        raise ConfigurationError(f'{file}: {error}') from None
    tables: dict[str, Any] = {}
    problems: list[Problem] = []
    for title in parser.sections():
        kind, _, name = title.partition(':')
        if kind in _TABLES and name:
            table = tables.setdefault(_TABLES[kind], {})
            table[name] = dict(parser.items(title))
        else:
            problems.append(Problem(file, title, '', 'unknown section'))
    if problems:
        raise _to_error(problems)
    return tables


def _to_problem(file: str, fault: Any) -> Problem:
    """Return a fault that pydantic found."""
    place = [str(part) for part in fault['loc']]
    kinds = {table: kind for kind, table in _TABLES.items()}
    section = f'{kinds.get(place[0], place[0])}:{"".join(place[1:2])}'
    return Problem(file, section, '.'.join(place[2:]), fault['msg'])


def _check_references(document: Document, file: str) -> list[Problem]:
    """Return the names that no section defines."""
    kinds = {table: kind for kind, table in _TABLES.items()}
    problems: list[Problem] = []
    for table, field, other in _REFERENCES:
        known = getattr(document, other)
        for name, section in getattr(document, table).items():
            given = getattr(section, field)
            wanted = (given,) if isinstance(given, str) else given
            problems.extend(
                Problem(
                    file,
                    f'{kinds[table]}:{name}',
                    field,
                    f'no section [{kinds[other]}:{missing}]',
                )
                for missing in wanted
                if missing not in known
            )
    return problems


def _to_error(problems: list[Problem]) -> ConfigurationError:
    """Return the error that lists the faults."""
    return ConfigurationError('\n'.join(str(fault) for fault in problems))
