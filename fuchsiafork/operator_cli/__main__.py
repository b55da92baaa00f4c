"""
Operators' commands of fuchsiafork.

Exit codes: 0 done; 1 wrong use; 2 invalid document; 3 conflict; 4 the
key-value service or a process gave no answer; 5 not in force everywhere in
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

_EXITS: dict[type[FuchsiaforkError], Exit] = {
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
    """Return the exit code of a command."""
    try:
        return int(app(arguments, result_action='return_value') or 0)
    except FuchsiaforkError as error:
        print(f'{error} (code {error.code})', file=sys.stderr)
        return _exit_of(error)


def _exit_of(error: FuchsiaforkError) -> Exit:
    """Return the exit code for an error."""
    for kind, code in _EXITS.items():
        if isinstance(error, kind):
            return code
    return Exit.USAGE


def main() -> None:
    """Run the program."""
    sys.exit(run())


if __name__ == '__main__':
    main()
