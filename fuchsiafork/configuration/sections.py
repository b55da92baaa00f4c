"""Splits a document into sections and replaces the sections of one owner."""

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
    Return each section's text by title, with the comments above its header.

    :raises ConfigurationError: if the text is not well formed.
    """
    titles = read_ini(text, file).sections()
    texts = dict(_section_blocks(text))
    if list(texts) != titles:
        mismatched = sorted(set(titles) ^ set(texts))
        raise to_error(
            Problem(file, title, '', 'header must start its line')
            for title in mismatched
        )
    return texts


def join_sections(sections: Mapping[str, str]) -> str:
    """Join the sections to a document, sorted by title."""
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
    Replace the sections of one owner; return all sections.

    :param base: digests of the owner's sections when its team last read them.
    :raises ConfigurationError: if a wanted section has another owner.
    :raises ConfigurationConflictError: if the owner's sections changed
        since then, or a wanted title belongs to another owner.
    """
    wrong_owner = set(wanted) - set(owned_by(wanted, owner))
    if wrong_owner:
        raise to_error(
            Problem(file, title, 'owner', f'is not {owner!r}')
            for title in sorted(wrong_owner)
        )
    present = owned_by(current, owner)
    _check_base(present, wanted, base)
    other_sections = {
        title: text for title, text in current.items() if title not in present
    }
    conflicting = sorted(set(wanted) & set(other_sections))
    if conflicting:
        raise ConfigurationConflictError(
            f'sections {conflicting!r} belong to another owner',
        )
    return {**other_sections, **wanted}


def difference(
    before: Mapping[str, str],
    after: Mapping[str, str],
) -> str:
    """Return a unified diff of each changed section."""
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
    """Raise a conflict if the owner's sections differ from those last read."""
    base_digests = dict(base)
    present_digests = digests(present)
    # A section that already has the wanted text is no conflict: an earlier run
    # of the same command, whose reply was lost, may have written it.
    wanted_digests = digests(wanted)
    changed = [
        title
        for title in sorted(set(base_digests) | set(present_digests))
        if present_digests.get(title)
        not in {base_digests.get(title), wanted_digests.get(title)}
    ]
    if changed:
        before = {title: present.get(title, '') for title in changed}
        after = {title: wanted.get(title, '') for title in changed}
        diff = difference(before, after)
        raise ConfigurationConflictError(
            f'sections {changed!r} changed since they were last seen\n{diff}',
        )


def _section_blocks(text: str) -> Iterator[tuple[str, str]]:
    """Yield title and text of each section in the order of the document."""
    title = ''
    block: list[str] = []
    for line in text.splitlines():
        header = _HEADER.match(line)
        if header is None:
            block.append(line)
            continue
        comment_count = _comments_above(block)
        if title:
            yield title, _strip_blank_lines(block[: len(block) - comment_count])
        title = header['title']
        block = [*block[len(block) - comment_count :], line]
    if title:
        yield title, _strip_blank_lines(block)


def _comments_above(block: list[str]) -> int:
    """Return the number of comment lines at the end of a block."""
    count = 0
    for line in reversed(block):
        if not line.startswith(_COMMENT_STARTS):
            break
        count += 1
    return count


def _strip_blank_lines(block: list[str]) -> str:
    """Return a section's text without leading and trailing blank lines."""
    return '\n'.join(line.rstrip() for line in block).strip('\n') + '\n'
