"""Program ``fuchsiafork-router``."""

import pathlib
import sys

import cyclopts

from fuchsiafork.kernel import FuchsiaforkError
from fuchsiafork.observability.logs import configure_logs
from fuchsiafork.router.program import RouterProgram
from fuchsiafork.settings import RouterSettings, load_settings

INVALID_SETTINGS = 2

app = cyclopts.App(name='fuchsiafork-router', help_format='plaintext')


@app.default
def serve(settings: pathlib.Path, *, check: bool = False) -> int:
    """
    Run the router.

    :param settings: path of the INI settings file.
    :param check: validate the settings and exit.
    """
    try:
        loaded = load_settings(settings, RouterSettings)
    except FuchsiaforkError as error:
        sys.stderr.write(f'error {error.code}: {error}\n')
        return INVALID_SETTINGS
    if check:
        sys.stdout.write(f'{settings}: valid\n')
        return 0
    configure_logs(loaded.log.level)
    return RouterProgram(loaded).run()


def main() -> None:
    """Run the program and exit with its status."""
    sys.exit(app())


if __name__ == '__main__':
    main()
