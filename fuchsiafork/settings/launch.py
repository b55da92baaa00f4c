"""The command line that both server programs have."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Protocol, TypeVar

import cyclopts
import pydantic

from fuchsiafork.kernel import FuchsiaforkError
from fuchsiafork.observability.logs import configure_logs
from fuchsiafork.settings.loading import load_settings
from fuchsiafork.settings.models import LogSettings

INVALID_SETTINGS = 2


class _Logged(pydantic.BaseModel):
    """Settings of a program that writes a log."""

    log: LogSettings


class Program(Protocol):
    """A server that runs until it is told to stop."""

    def run(self) -> int:
        """Return the exit status at the end."""


_Settings = TypeVar('_Settings', bound=pydantic.BaseModel)


def make_main(
    name: str,
    model: type[_Settings],
    make: Callable[[_Settings], Program],
) -> Callable[[], None]:
    """
    Return the entry point of a server program.

    :param model: settings of the program, with a section ``log``.
    """
    app = cyclopts.App(name=name, help_format='plaintext')

    @app.default
    def serve(settings: Path, *, check: bool = False) -> int:
        """
        Run the program.

        :param settings: path of the INI settings file.
        :param check: validate the settings and exit.
        """
        try:
            loaded = load_settings(settings, model)
        except FuchsiaforkError as error:
            sys.stderr.write(f'error {error.code}: {error}\n')
            return INVALID_SETTINGS
        if check:
            sys.stdout.write(f'{settings}: valid\n')
            return 0
        log = _Logged.model_validate(loaded, from_attributes=True).log
        configure_logs(log.level)
        return make(loaded).run()

    return lambda: sys.exit(app())
