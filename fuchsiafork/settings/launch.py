"""The command line that the server programs share."""

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

EXIT_INVALID_SETTINGS = 2


class _Logged(pydantic.BaseModel):
    """The part of every program's settings that configures the log."""

    log: LogSettings


class Program(Protocol):
    """A server that runs until it is stopped."""

    def run(self) -> int:
        """Run the server; return the exit status."""


_Settings = TypeVar('_Settings', bound=pydantic.BaseModel)


def make_main(
    name: str,
    model: type[_Settings],
    make_program: Callable[[_Settings], Program],
) -> Callable[[], None]:
    """
    Return the entry point of a server program.

    :param model: model of the settings, with a section ``log``.
    :param make_program: creates the program from its settings.
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
            program_settings = load_settings(settings, model)
        except FuchsiaforkError as error:
            sys.stderr.write(f'error {error.code}: {error}\n')
            return EXIT_INVALID_SETTINGS
        if check:
            sys.stdout.write(f'{settings}: valid\n')
            return 0
        log = _Logged.model_validate(program_settings, from_attributes=True).log
        configure_logs(log.level)
        return make_program(program_settings).run()

    return lambda: sys.exit(app())
