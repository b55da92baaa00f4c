"""Program ``fuchsiafork-keeper``."""

import pathlib
import sys

import cyclopts

from fuchsiafork.keeper.program import KeeperProgram
from fuchsiafork.kernel import FuchsiaforkError
from fuchsiafork.observability.logs import configure_logs
from fuchsiafork.settings import KeeperSettings, load_settings

INVALID_SETTINGS = 2

app = cyclopts.App(name='fuchsiafork-keeper', help_format='plaintext')


@app.default
def serve(settings: pathlib.Path, *, check: bool = False) -> int:
    """
    Run the keeper.

    :param settings: path of the INI settings file.
    :param check: validate the settings and exit.
    """
    try:
        loaded = load_settings(settings, KeeperSettings)
    except FuchsiaforkError as error:
        sys.stderr.write(f'error {error.code}: {error}\n')
        return INVALID_SETTINGS
    if check:
        sys.stdout.write(f'{settings}: valid\n')
        return 0
    configure_logs(loaded.log.level)
    return KeeperProgram(loaded).run()


def main() -> None:
    """Run the program and exit with its status."""
    sys.exit(app())


if __name__ == '__main__':
    main()
