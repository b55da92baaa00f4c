"""
Files with the digests of the sections that a team last read or applied.

``config show --output FILE`` and ``config apply FILE`` write them beside the
team's file, in ``FILE.base``, so that the next apply detects changes that
others have made since.
"""

import json
from collections.abc import Mapping
from pathlib import Path

from fuchsiafork.configuration.sections import digests
from fuchsiafork.kernel.errors import ConfigurationError


def base_path(file: Path) -> Path:
    """Return the path of the file with the digests for a team's file."""
    return file.with_name(f'{file.name}.base')


def write_base_digests(file: Path, sections: Mapping[str, str]) -> None:
    """Write the digests of the sections that a team has read or applied."""
    text = json.dumps(digests(sections), indent=1, sort_keys=True)
    base_path(file).write_text(f'{text}\n', encoding='utf-8')


def read_base_digests(file: Path) -> dict[str, str]:
    """
    Return the stored digests, an empty dict if there is no file.

    :raises ConfigurationError: if the file of digests is malformed.
    """
    path = base_path(file)
    if not path.exists():
        return {}
    try:
        return dict(json.loads(path.read_text(encoding='utf-8')))
    except (ValueError, TypeError):
        raise ConfigurationError(
            f'{path}: not a file of digests; run config show --output again',
        ) from None
