"""Splits a document into sections, and replaces those of one owner."""

import difflib
import re
from collections.abc import Iterator, Mapping

from fuchsiafork.configuration.parsing import digest_of, read_ini
from fuchsiafork.configuration.problems import Problem, to_error
from fuchsiafork.kernel.errors import ConfigurationConflictError

_HEADER = re.compile(r'\[(?P<title>[^\]]+)\]')
_COMMENT_STARTS = ('#', ';')

Sections = dict[str, str]


def split_sections(text: str, file: str = 'configuration') -> Sections:
    """
    Return each section's text by its title, comments above it included.

    :raises ConfigurationError: if the text is not well formed.
    """
    titles = read_ini(text, file).sections()
    found = dict(_blocks(text))
    if list(found) != titles:
        odd = sorted(set(titles) ^ set(found))
        raise to_error(
            Problem(file, title, '', 'header must start its line')
            for title in odd
        )
    return found


def join_sections(sections: Mapping[str, str]) -> str:
    """Return the document, in the order of the titles."""
    return '\n'.join(sections[title] for title in sorted(sections))


def digests(sections: Mapping[str, str]) -> dict[str, str]:
    """Return the digest of each section."""
    return {title: digest_of(text) for title, text in sections.items()}


def owned_by(sections: Mapping[str, str], owner: str) -> Sections:
    """Return the sections of one owner."""
    parser = read_ini(join_sections(sections), 'configuration')
    return {
        title: text
        for title, text in sections.items()
        if parser.get(title, 'owner', fallback='') == owner
    }


def replace_owned(
    current: Mapping[str, str],
    owner: str,
    wanted: Mapping[str, str],
    base: Mapping[str, str],
    file: str = 'configuration',
) -> Sections:
    """
    Return all sections after those of one owner are replaced.

    :param base: digests of the owner's sections that its team last saw.
    :raises ConfigurationError: if a wanted section has another owner.
    :raises ConfigurationConflictError: if the owner's sections changed
        since, or a wanted title belongs to another owner.
    """
    foreign = set(wanted) - set(owned_by(wanted, owner))
    if foreign:
        raise to_error(
            Problem(file, title, 'owner', f'is not {owner!r}')
            for title in sorted(foreign)
        )
    present = owned_by(current, owner)
    _check_base(present, wanted, base)
    rest = {
        title: text for title, text in current.items() if title not in present
    }
    taken = sorted(set(wanted) & set(rest))
    if taken:
        raise ConfigurationConflictError(
            f'sections {taken!r} belong to another owner',
        )
    return {**rest, **wanted}


def difference(
    before: Mapping[str, str],
    after: Mapping[str, str],
) -> str:
    """Return the changed lines, section by section."""
    lines: list[str] = []
    for title in sorted(set(before) | set(after)):
        old = before.get(title, '')
        new = after.get(title, '')
        if old != new:
            lines.extend(
                difflib.unified_diff(
                    old.splitlines(),
                    new.splitlines(),
                    f'in force [{title}]',
                    f'wanted [{title}]',
                    lineterm='',
                )
            )
    return '\n'.join(lines)


def _check_base(
    present: Mapping[str, str],
    wanted: Mapping[str, str],
    base: Mapping[str, str],
) -> None:
    """Raise if the owner's sections are not those last seen."""
    seen = dict(base)
    now = digests(present)
    # A section that is already as wanted was changed the same way, perhaps
    # by an earlier run of the same command whose answer was lost.
    wished = digests(wanted)
    moved = [
        title
        for title in sorted(set(seen) | set(now))
        if now.get(title) not in {seen.get(title), wished.get(title)}
    ]
    if moved:
        before = {title: present.get(title, '') for title in moved}
        after = {title: wanted.get(title, '') for title in moved}
        shown = difference(before, after)
        raise ConfigurationConflictError(
            f'sections {moved!r} changed since they were last seen\n{shown}',
        )


def _blocks(text: str) -> Iterator[tuple[str, str]]:
    """Yield title and text of each section."""
    title = ''
    block: list[str] = []
    for line in text.splitlines():
        header = _HEADER.match(line)
        if header is None:
            block.append(line)
            continue
        above = _comments_above(block)
        if title:
            yield title, _tidy(block[: len(block) - above])
        title = header['title']
        block = [*block[len(block) - above :], line]
    if title:
        yield title, _tidy(block)


def _comments_above(block: list[str]) -> int:
    """Return the number of comment lines at the end of a block."""
    count = 0
    for line in reversed(block):
        if not line.startswith(_COMMENT_STARTS):
            break
        count += 1
    return count


def _tidy(block: list[str]) -> str:
    """Return a section's text without blank lines around it."""
    return '\n'.join(line.rstrip() for line in block).strip('\n') + '\n'
