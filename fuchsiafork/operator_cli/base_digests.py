"""
The digests of sections that a team last saw.

``config show --output FILE`` and ``config apply FILE`` keep them beside the
team's file, in ``FILE.base``, so that the next apply notices a race.
"""

import json
from collections.abc import Mapping
from pathlib import Path

from fuchsiafork.configuration.sections import digests
from fuchsiafork.kernel.errors import ConfigurationError


def base_path(file: Path) -> Path:
    """Return where the digests for a team's file are kept."""
    return file.with_name(f'{file.name}.base')


def write_base(file: Path, sections: Mapping[str, str]) -> None:
    """Keep the digests of the sections that a team has now seen."""
    text = json.dumps(digests(sections), indent=1, sort_keys=True)
    base_path(file).write_text(f'{text}\n', encoding='utf-8')


def read_base(file: Path) -> dict[str, str]:
    """
    Return the digests that the team last saw, none before its first show.

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
