"""Changes one value of the key-value service, once, in spite of races."""

from collections.abc import Callable

from fuchsiafork.configuration.store import Executes
from fuchsiafork.kernel.errors import (
    ConfigurationConflictError,
    StoreUnavailableError,
)
from fuchsiafork.kernel.outbox import CompareAndSwap, ReadKey, StoreFailed

_TAG = 'operator'
# Holders write a busy ledger record a few times a second.
_ATTEMPTS = 32


def change_value(
    client: Executes,
    key: str,
    edit: Callable[[bytes | None], bytes | None],
) -> int:
    """
    Return the key's revision with the change in it.

    :param edit: returns the new value, or None if the present one has the
        change already; it is called again after a lost race or answer.
    :raises StoreUnavailableError: if the service gave no answer.
    :raises ConfigurationConflictError: if other writers always came first.
    """
    for _ in range(_ATTEMPTS):
        present = client.execute(ReadKey(key, _TAG))
        if isinstance(present, StoreFailed):
            raise StoreUnavailableError(f'no answer for {key!r}')
        wanted = edit(present.value)
        if wanted is None:
            return int(present.revision)
        done = client.execute(
            CompareAndSwap(key, present.revision, wanted, _TAG),
        )
        if isinstance(done, StoreFailed):
            _check_unknown(done)
        elif done.succeeded:
            return int(done.revision)
    raise ConfigurationConflictError(
        f'other writers of {key!r} came first {_ATTEMPTS} times',
    )


def _check_unknown(failed: StoreFailed) -> None:
    """Raise if a write certainly had no effect; else it is read back."""
    if not failed.outcome_unknown:
        raise StoreUnavailableError(f'no answer for {failed.key!r}')
