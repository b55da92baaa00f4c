"""Generates docs/configuration.md from the models of the document."""

import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from fuchsiafork.configuration import document
from fuchsiafork.configuration.document import Section
from fuchsiafork.configuration.rules import SECTION_KINDS

_MODELS: dict[str, type[Section]] = {
    'budget': document.Budget,
    'account': document.Account,
    'pool': document.Pool,
    'route': document.Route,
    'version': document.Version,
    'target': document.Target,
    'rollout': document.Rollout,
}

PAGE = Path(__file__).parents[2] / 'docs' / 'configuration.md'

_IVAR = re.compile(
    r':ivar (?P<key>\w+): (?P<text>.*?)(?=\n\s*:|\Z)',
    re.DOTALL,
)
# JSON schema keywords, and the words that the page uses for them.
_BOUNDS = (
    ('minimum', 'at least'),
    ('exclusiveMinimum', 'above'),
    ('maximum', 'at most'),
    ('exclusiveMaximum', 'below'),
)

_HEAD = """# Configuration

The operators' document is one INI text. Each section has an owner, and a \
team changes only its own sections. `samples/qalyub.ini` and \
`samples/kilele.ini` are whole documents. The tables below are made by \
`python -m fuchsiafork.configuration.reference`.

## How a team changes its sections

1. `fuchsiafork config show --owner TEAM --output FILE` writes the team's \
sections to the file, and their digests to `FILE.base`.
2. The team edits the file. `fuchsiafork config diff FILE --owner TEAM` \
validates the result and shows the changed lines.
3. `fuchsiafork config apply FILE --owner TEAM --wait 10 --admin IP:PORT` \
replaces the team's sections and waits until every process has the revision \
in force. If the team's sections changed since step 1, nothing is applied \
and the difference is shown (code 1202).

If the key-value service gives no answer, the same command with \
`--change-id ID` of the message applies the change at most once.

`config check FILE` validates a whole document without the service. \
`rollout start`, `rollout take-back` and `target drain` change single \
sections in the same way. Exit codes: 0 done, 1 wrong use, 2 invalid \
document, 3 conflict, 4 no answer from the service or a process, 5 not in \
force everywhere in time, 6 not found.

## Rules over sections

- A name is at most 64 lower-case letters, digits, dots, underscores and \
dashes. A header starts its line.
- Every name that a key gives must be that of a section.
- The versions of a route and of its rollouts belong to the route's pool, \
and a rollout has its route's version as `old` or `new`.
- Rollouts of one route do not overlap in time.
- No two accounts have one token, and no two targets one address.
- The opening tokens of all budgets sum up to at most 2^53.

Lists are separated by commas or spaces. Times have a zone, such as \
`2027-01-01T00:00:00Z`. Every section has the key `owner`: the team that may \
change it.
"""


def render() -> str:
    """Return the page as Markdown."""
    return '\n'.join((_HEAD, *_tables()))


def describe(model: type[Section]) -> dict[str, str]:
    """Return the description of each key of a section."""
    descriptions = {}
    for match in _IVAR.finditer(model.__doc__ or ''):
        text = ' '.join(match['text'].split())
        descriptions[match['key']] = text.replace('``', '`')
    return descriptions


def _tables() -> Iterator[str]:
    """Yield the lines of all sections."""
    for kind in SECTION_KINDS.values():
        model = _MODELS[kind]
        yield f'## [{kind}:...]\n'
        yield f'{_summary(model)}\n'
        yield '| key | default | bounds | meaning |'
        yield '|---|---|---|---|'
        yield from _key_lines(model)
        yield ''


def _summary(model: type[Section]) -> str:
    """Return the first line of a section's description."""
    return (model.__doc__ or '').strip().split('\n')[0]


def _key_lines(model: type[Section]) -> Iterator[str]:
    """Yield a table row for each key except the owner."""
    descriptions = describe(model)
    properties = model.model_json_schema()['properties']
    for key, field in model.model_fields.items():
        if key != 'owner':
            default = _default(field)
            bounds = _bounds(properties[key])
            yield f'| {key} | {default} | {bounds} | {descriptions[key]} |'


def _default(field: Any) -> str:
    """Return a key's default in the syntax of the document."""
    if field.is_required():
        return 'required'
    default = field.default
    if isinstance(default, tuple):
        default = ', '.join(default)
    if isinstance(default, bool):
        default = str(default).lower()
    return 'none' if default in {None, ''} else f'`{default}`'


def _bounds(schema: dict[str, Any]) -> str:
    """Return the bounds of a numeric key."""
    bounds = [
        f'{words} {schema[name]}' for name, words in _BOUNDS if name in schema
    ]
    return ', '.join(bounds) or '-'


if __name__ == '__main__':
    PAGE.write_text(render(), encoding='utf-8')
