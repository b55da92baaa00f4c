"""Runs the gateway of a VM: ``python -m fuchsiafork.gateway``."""

import sys

from fuchsiafork.gateway.program import run
from fuchsiafork.kernel import SystemClock
from fuchsiafork.kernel.errors import SettingsError
from fuchsiafork.observability.logs import configure_logs, get_logger
from fuchsiafork.observability.output import BoundedOutput
from fuchsiafork.platform.settings import settings_path


def main() -> int:
    """Run the gateway and return its exit status."""
    output = BoundedOutput(sys.stdout.fileno(), SystemClock())
    configure_logs(output=output)
    try:
        return run(settings_path(), output)
    except SettingsError as error:
        get_logger('fuchsiafork.gateway').error(
            'settings_invalid',
            reason=str(error),
        )
        output.flush()
        return 2


if __name__ == '__main__':
    sys.exit(main())
