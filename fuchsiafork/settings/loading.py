"""Reads and validates settings files."""

import configparser
from pathlib import Path
from typing import Any, TypeVar

import pydantic

from fuchsiafork.kernel.errors import SettingsError

_Model = TypeVar('_Model', bound=pydantic.BaseModel)


def load_settings(path: str | Path, model: type[_Model]) -> _Model:
    """
    Return the validated settings of an INI file.

    :raises SettingsError: listing all errors, one per line.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(path).read_text(encoding='utf-8'), str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise SettingsError(f'{path}: {error}') from None
    sections = {name: dict(parser[name]) for name in parser.sections()}
    try:
        return model.model_validate(sections)
    except pydantic.ValidationError as error:
        lines = [_describe_error(path, detail) for detail in error.errors()]
    raise SettingsError('\n'.join(lines))


def _describe_error(path: str | Path, detail: Any) -> str:
    """
    Return one error with file, section, key, reason and code.

    The value is left out since it may be the token.
    """
    section, *key = (str(part) for part in detail['loc'])
    location = f'{path}: [{section}] {".".join(key)}'.rstrip()
    return f'{location}: {detail["msg"]} (code {SettingsError.code})'
