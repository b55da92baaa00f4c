"""Changes a value of the key-value service exactly once despite races."""

from collections.abc import Callable

from fuchsiafork.configuration.store import StoreExecutor
from fuchsiafork.kernel.errors import (
    ConfigurationConflictError,
    StoreUnavailableError,
)
from fuchsiafork.kernel.outbox import CompareAndSwap, ReadKey, StoreFailed

_TAG = 'operator'
# Holders write a busy ledger record a few times a second.
_MAX_ATTEMPTS = 32


def change_value(
    client: StoreExecutor,
    key: str,
    edit: Callable[[bytes | None], bytes | None],
) -> int:
    """
    Change the value of a key and return the revision with the change.

    :param edit: returns the new value, or None if the stored one already has
        the change; it is called again after a conflicting write or a lost
        answer.
    :raises StoreUnavailableError: if the service does not answer.
    :raises ConfigurationConflictError: if every attempt conflicts with other
        writers.
    """
    for _ in range(_MAX_ATTEMPTS):
        stored = client.execute(ReadKey(key, _TAG))
        if isinstance(stored, StoreFailed):
            raise StoreUnavailableError(f'no answer for {key!r}')
        new_value = edit(stored.value)
        if new_value is None:
            return int(stored.revision)
        swapped = client.execute(
            CompareAndSwap(key, stored.revision, new_value, _TAG),
        )
        if isinstance(swapped, StoreFailed):
            _raise_if_not_written(swapped)
        elif swapped.succeeded:
            return int(swapped.revision)
    raise ConfigurationConflictError(
        f'{key!r}: conflict with other writers in {_MAX_ATTEMPTS} attempts',
    )


def _raise_if_not_written(failed: StoreFailed) -> None:
    """Raise if a write had no effect; an unknown outcome is read back."""
    if not failed.outcome_unknown:
        raise StoreUnavailableError(f'no answer for {failed.key!r}')
