"""
Command line for operators of fuchsiafork.

Exit codes: 0 success; 1 usage error; 2 invalid document; 3 conflict; 4 no
answer from the key-value service or a process; 5 not in force everywhere in
time; 6 not found.
"""

import sys
from collections.abc import Sequence

import cyclopts

from fuchsiafork.kernel.errors import (
    ConfigurationConflictError,
    ConfigurationError,
    FuchsiaforkError,
    StoreUnavailableError,
)
from fuchsiafork.operator_cli import (
    budgets,
    config,
    fleet,
    gateways,
    rollouts,
    targets,
)
from fuchsiafork.operator_cli.lookup import NotFoundError
from fuchsiafork.operator_cli.output import Exit

_EXIT_CODES: dict[type[FuchsiaforkError], Exit] = {
    ConfigurationError: Exit.INVALID,
    ConfigurationConflictError: Exit.CONFLICT,
    StoreUnavailableError: Exit.UNAVAILABLE,
    NotFoundError: Exit.NOT_FOUND,
}

app = cyclopts.App(name='fuchsiafork', help=__doc__)
app.command(budgets.app)
app.command(config.app)
app.command(gateways.app)
app.command(rollouts.app)
app.command(targets.app)
fleet.register(app)


def run(arguments: Sequence[str] | None = None) -> int:
    """Run a command and return its exit code."""
    try:
        return int(app(arguments, result_action='return_value') or 0)
    except FuchsiaforkError as error:
        print(f'{error} (code {error.code})', file=sys.stderr)
        return _exit_code(error)


def _exit_code(error: FuchsiaforkError) -> Exit:
    """Return the exit code for an error."""
    for error_type, code in _EXIT_CODES.items():
        if isinstance(error, error_type):
            return code
    return Exit.USAGE


def main() -> None:
    """Run the program."""
    sys.exit(run())


if __name__ == '__main__':
    main()
