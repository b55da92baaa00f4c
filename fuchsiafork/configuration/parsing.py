"""Reads the INI form of the configuration document."""

import configparser
import functools
import hashlib
from typing import Any

import pydantic

from fuchsiafork.configuration.document import Document
from fuchsiafork.configuration.problems import Problem, to_error
from fuchsiafork.configuration.rules import (
    KIND_OF_TABLE,
    broken_rules,
    missing_references,
)

_TABLES = {kind: table for table, kind in KIND_OF_TABLE.items()}


def parse_document(text: str, file: str = 'configuration') -> Document:
    """
    Return the validated document.

    :raises ConfigurationError: with all faults, a line each.
    """
    document = parse_sections(text, file)
    check_rules(document, file)
    return document


def parse_sections(text: str, file: str) -> Document:
    """
    Return a document, or a part of one, with every section valid by itself.

    :raises ConfigurationError: with all faults, a line each.
    """
    raw = _read_sections(text, file)
    try:
        return Document.model_validate(raw)
    except pydantic.ValidationError as error:
        problems = [_to_problem(file, fault) for fault in error.errors()]
    raise to_error(problems)


def check_rules(document: Document, file: str) -> None:
    """
    Check a whole document against the rules over its sections.

    :raises ConfigurationError: with all faults, a line each.
    """
    faults = list(missing_references(document))
    faults = faults or list(broken_rules(document))
    if faults:
        raise to_error(Problem(file, *fault) for fault in faults)


def read_ini(text: str, file: str) -> configparser.ConfigParser:
    """
    Return the parsed INI text.

    :raises ConfigurationError: if it is not well formed.
    """
    # Keys keep their case, and no section gives defaults to the others.
    parser = configparser.ConfigParser(interpolation=None, default_section='')
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(text, file)
    except configparser.Error as error:
        problem = _from_parser(error, file)
        raise to_error([problem]) from None
    return parser


def digest_of(*texts: str) -> str:
    """Return the digest of the texts put together, hexadecimal."""
    total = hashlib.sha256()
    for text in texts:
        total.update(text.encode())
    return total.hexdigest()


def _read_sections(text: str, file: str) -> dict[str, Any]:
    """Return the sections by table and name."""
    parser = read_ini(text, file)
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
        raise to_error(problems)
    return tables


def _to_problem(file: str, fault: Any) -> Problem:
    """Return a fault that pydantic found."""
    place = [str(part) for part in fault['loc']]
    kind = KIND_OF_TABLE.get(place[0], place[0])
    section = f'{kind}:{"".join(place[1:2])}'
    key = '.'.join(part for part in place[2:] if part != '[key]')
    reason = fault['msg'].removeprefix('Value error, ')
    if fault['type'] == 'extra_forbidden':
        reason = 'unknown key'
    return Problem(file, section, key, reason)


@functools.singledispatch
def _from_parser(error: configparser.Error, file: str) -> Problem:
    """Return a fault that the INI reader found."""
    return Problem(file, '', '', error.message.replace('\n', ' '))


@_from_parser.register
def _(error: configparser.DuplicateSectionError, file: str) -> Problem:
    reason = f'line {error.lineno}: section is there twice'
    return Problem(file, str(error.section), '', reason)


@_from_parser.register
def _(error: configparser.DuplicateOptionError, file: str) -> Problem:
    reason = f'line {error.lineno}: key is there twice'
    return Problem(file, str(error.section), str(error.option), reason)


@_from_parser.register
def _(error: configparser.MissingSectionHeaderError, file: str) -> Problem:
    return Problem(file, '', '', f'line {error.lineno}: no section header')


@_from_parser.register
def _(error: configparser.ParsingError, file: str) -> Problem:
    lines = ', '.join(str(number) for number, _ in error.errors)
    return Problem(file, '', '', f'line {lines}: neither a key nor a header')
