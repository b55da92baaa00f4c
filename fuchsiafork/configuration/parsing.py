"""Parses and validates the INI text of the configuration document."""

import configparser
import functools
import hashlib
from typing import Any

import pydantic

from fuchsiafork.configuration.document import Document
from fuchsiafork.configuration.problems import Problem, to_error
from fuchsiafork.configuration.rules import (
    SECTION_KINDS,
    missing_references,
    rule_violations,
)

_TABLE_BY_KIND = {kind: table for table, kind in SECTION_KINDS.items()}


def parse_document(text: str, file: str = 'configuration') -> Document:
    """
    Parse and validate a whole document.

    :raises ConfigurationError: listing all errors, one per line.
    """
    document = parse_sections(text, file)
    check_rules(document, file)
    return document


def parse_sections(text: str, file: str) -> Document:
    """
    Parse a document or a part of one, and validate each section by itself.

    :raises ConfigurationError: listing all errors, one per line.
    """
    raw = _read_sections(text, file)
    try:
        return Document.model_validate(raw)
    except pydantic.ValidationError as error:
        problems = [
            _validation_problem(file, detail) for detail in error.errors()
        ]
    raise to_error(problems)


def check_rules(document: Document, file: str) -> None:
    """
    Check the rules that concern several sections of a document.

    :raises ConfigurationError: listing all errors, one per line.
    """
    violations = list(missing_references(document))
    violations = violations or list(rule_violations(document))
    if violations:
        raise to_error(Problem(file, *violation) for violation in violations)


def read_ini(text: str, file: str) -> configparser.ConfigParser:
    """
    Parse INI text without validating its sections.

    :raises ConfigurationError: if it is not well formed.
    """
    # Keys are case-sensitive, and no section provides defaults for others.
    parser = configparser.ConfigParser(interpolation=None, default_section='')
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(text, file)
    except configparser.Error as error:
        problem = _parser_problem(error, file)
        raise to_error([problem]) from None
    return parser


def digest_of(*texts: str) -> str:
    """Return the SHA-256 digest of the concatenated texts, hexadecimal."""
    hasher = hashlib.sha256()
    for text in texts:
        hasher.update(text.encode())
    return hasher.hexdigest()


def _read_sections(text: str, file: str) -> dict[str, Any]:
    """Return the raw sections by table and name."""
    parser = read_ini(text, file)
    tables: dict[str, Any] = {}
    problems: list[Problem] = []
    for title in parser.sections():
        kind, _, name = title.partition(':')
        if kind in _TABLE_BY_KIND and name:
            table = tables.setdefault(_TABLE_BY_KIND[kind], {})
            table[name] = dict(parser.items(title))
        else:
            problems.append(Problem(file, title, '', 'unknown section'))
    if problems:
        raise to_error(problems)
    return tables


def _validation_problem(file: str, error: Any) -> Problem:
    """Convert an error reported by pydantic."""
    location = [str(part) for part in error['loc']]
    kind = SECTION_KINDS.get(location[0], location[0])
    section = f'{kind}:{"".join(location[1:2])}'
    key = '.'.join(part for part in location[2:] if part != '[key]')
    reason = error['msg'].removeprefix('Value error, ')
    if error['type'] == 'extra_forbidden':
        reason = 'unknown key'
    return Problem(file, section, key, reason)


@functools.singledispatch
def _parser_problem(error: configparser.Error, file: str) -> Problem:
    """Convert an error reported by the INI parser."""
    return Problem(file, '', '', error.message.replace('\n', ' '))


@_parser_problem.register
def _(error: configparser.DuplicateSectionError, file: str) -> Problem:
    reason = f'line {error.lineno}: section is defined twice'
    return Problem(file, str(error.section), '', reason)


@_parser_problem.register
def _(error: configparser.DuplicateOptionError, file: str) -> Problem:
    reason = f'line {error.lineno}: key is defined twice'
    return Problem(file, str(error.section), str(error.option), reason)


@_parser_problem.register
def _(error: configparser.MissingSectionHeaderError, file: str) -> Problem:
    return Problem(file, '', '', f'line {error.lineno}: no section header')


@_parser_problem.register
def _(error: configparser.ParsingError, file: str) -> Problem:
    lines = ', '.join(str(number) for number, _ in error.errors)
    return Problem(file, '', '', f'line {lines}: neither a key nor a header')
