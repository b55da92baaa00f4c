"""Client of the platform's key-value store."""

import base64
import contextlib
import urllib.parse
from collections.abc import Callable, Generator, Iterable
from typing import Any

from fuchsiafork.freshness import WATCH_MARGIN_S
from fuchsiafork.kernel.decoding import DECODE_ERRORS
from fuchsiafork.kernel.errors import StoreUnavailableError
from fuchsiafork.platform import names
from fuchsiafork.platform.store_items import Changes, Item, Swap
from fuchsiafork.transport.client_connection import (
    BrokenAnswerError,
    ConnectError,
)
from fuchsiafork.transport.json_call import (
    CountBytes,
    JsonAnswer,
    JsonCall,
    call_json,
    ignore_bytes,
)
from fuchsiafork.transport.pool import CONNECT_TIMEOUT_S, ConnectionPool

CALL_TIMEOUT_S = 2.0
# Time in which the connection of a watch or a listing must open. A short one
# would never open while packets wait on a full link, and the VM would follow
# nothing; no request waits for these calls.
FOLLOW_CONNECT_TIMEOUT_S = 1.0
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 412
_GONE = 410
_NOT_EXECUTED_STATUSES = frozenset((400, 403, 404, 429, 503))
_MS_PER_S = 1000
_MAX_ERA_DIGITS = 18


class HistoryGoneError(Exception):
    """The changes since a revision were compacted; list the items again."""


class StoreOutcomeUnknownError(StoreUnavailableError):
    """No valid answer arrived; a write may still take effect."""


def _ignore_outcome(outcome: str) -> None:
    """Do nothing; used if call outcomes aren't counted."""


class PlatformStore:
    """
    Store client on pooled connections, one call at a time on each.

    :ivar era: number of the store's returns from a copy, as its newest answer
        names it; None before the first answer that does. Revisions of
        different eras can't be compared.
    """

    def __init__(
        self,
        address: str,
        pool: ConnectionPool,
        count: Callable[[str], None] = _ignore_outcome,
        count_bytes: CountBytes = ignore_bytes,
    ) -> None:
        """
        Use the store at IP:PORT.

        :param count: called with the outcome of each call: ``answered``,
            ``unavailable`` if it was not sent, or ``unknown``.
        :param count_bytes: called with the key or prefix of an answered call,
            and the bytes sent and received.
        """
        self.address = address
        self.era: int | None = None
        self._era_listeners: list[Callable[[int], None]] = []
        self._pool = pool
        self._count = count
        self._count_bytes = count_bytes

    def on_new_era(self, listener: Callable[[int], None]) -> None:
        """Call a function with the new era after each return of the store."""
        self._era_listeners.append(listener)

    async def read(self, key: str) -> Item:
        """
        Read one item.

        :raises StoreUnavailableError: if the store doesn't answer.
        """
        query = urllib.parse.urlencode({'key': key})
        answer = await self._call('GET', f'/api/kv-key?{query}', key)
        if answer.status == _NOT_FOUND:
            return Item(key, 0, None)
        _check_status(answer, _OK)
        with _parsing('an item'):
            item = _parse_item(answer.body)
        _check_keys((item,), key)
        return item

    async def list_items(self, prefix: str) -> Changes:
        """
        Return all items under a prefix.

        The revision is the one of the first page, so that a subsequent watch
        misses no change made while later pages were read.

        :raises StoreUnavailableError: if the store doesn't answer.
        """
        items: list[Item] = []
        revision = 0
        transfer_s = 0.0
        after = ''
        era = self.era
        while True:
            answer = await self._list_page(prefix, after)
            era = era if after else self.era
            transfer_s += answer.transfer_s
            page = answer.body
            with _parsing('a page'):
                page_items = [_parse_item(item) for item in page['items']]
                revision = revision or int(page['storeRevision'])
                has_more = bool(page['hasMore'])
            _check_keys(page_items, prefix)
            items += page_items
            if self.era != era:
                raise StoreOutcomeUnknownError('the pages are of two eras')
            if not has_more or not page_items:
                return Changes(tuple(items), revision, transfer_s, era or 0)
            after = items[-1].key

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        margin_s: float = WATCH_MARGIN_S,
    ) -> Changes:
        """
        Wait for changes after a revision; return none after a timeout.

        :param margin_s: seconds after the wait in which the answer must begin.
        :raises HistoryGoneError: if the store no longer has the changes.
        :raises StoreUnavailableError: if the store doesn't answer.
        """
        query = urllib.parse.urlencode({
            'prefix': prefix,
            'after': after,
            'waitMs': int(wait_s * _MS_PER_S),
        })
        answer = await self._call(
            'GET',
            f'/api/kv-watch?{query}',
            prefix,
            timeout_s=wait_s + margin_s,
            connect_timeout_s=FOLLOW_CONNECT_TIMEOUT_S,
        )
        if answer.status == _GONE:
            raise HistoryGoneError(prefix)
        _check_status(answer, _OK)
        with _parsing('changes'):
            items = tuple(_parse_item(item) for item in answer.body['events'])
            revision = int(answer.body['storeRevision'])
        _check_keys(items, prefix)
        if revision < after:
            raise StoreOutcomeUnknownError(f'the answer is of {revision}')
        return Changes(items, revision, answer.transfer_s, self.era or 0)

    async def swap(
        self,
        key: str,
        revision: int,
        value: bytes,
        extra_values: dict[str, bytes] | None = None,
        lease: int = 0,
    ) -> Swap:
        """
        Write a value if the key still has the expected revision.

        :param extra_values: values of other keys, written atomically with it.
        :param lease: lease with which the keys are removed, 0 for none.

        :raises StoreOutcomeUnknownError: if the write may have been made.
        :raises StoreUnavailableError: if the write was not made.
        """
        values = {key: value, **(extra_values or {})}
        body = {
            'expectedRev': [{'key': key, 'revision': revision}],
            'writes': [
                {
                    'key': name,
                    'value': base64.b64encode(text).decode(),
                    'lease': lease,
                }
                for name, text in values.items()
            ],
            'remove': [],
        }
        answer = await self._call('POST', '/api/kv-txn', key, body)
        if answer.status == _CONFLICT:
            with _parsing('current items'):
                current = answer.body.get('items') or ()
                return Swap(0, tuple(_parse_item(item) for item in current))
        _check_status(answer, _OK)
        with _parsing('a revision'):
            written = int(answer.body['revision'])
        if written <= revision:
            raise StoreOutcomeUnknownError(f'the answer is of {written}')
        return Swap(written)

    async def grant_lease(self, ttl_s: float) -> int:
        """
        Return a new lease.

        :raises StoreUnavailableError: if the store doesn't answer.
        """
        body = {'ttlMs': int(ttl_s * _MS_PER_S)}
        answer = await self._call('POST', '/api/kv-lease', 'lease', body)
        _check_status(answer, _OK)
        with _parsing('a lease'):
            return int(answer.body['lease'])

    async def keep_lease(self, lease: int) -> bool:
        """
        Renew a lease; return False if it has ended.

        :raises StoreUnavailableError: if the store doesn't answer.
        """
        answer = await self._call('POST', f'/api/kv-keep/{lease}', 'lease')
        if answer.status == _NOT_FOUND:
            return False
        _check_status(answer, _OK)
        return True

    async def end_lease(self, lease: int) -> None:
        """
        End a lease and remove its keys.

        :raises StoreUnavailableError: if the store doesn't answer.
        """
        await self._call('DELETE', f'/api/kv-lease-end/{lease}', 'lease')

    async def _list_page(self, prefix: str, after: str) -> JsonAnswer:
        """Return one page of a listing, starting after a key."""
        fields = {'prefix': prefix}
        if after:
            fields['after'] = after
        query = urllib.parse.urlencode(fields)
        answer = await self._call(
            'GET',
            f'/api/kv-range?{query}',
            prefix,
            connect_timeout_s=FOLLOW_CONNECT_TIMEOUT_S,
        )
        _check_status(answer, _OK)
        return answer

    async def _call(
        self,
        method: str,
        path: str,
        key: str,
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> JsonAnswer:
        """Call the store, count outcome and bytes and return the answer."""
        try:
            answer = await call_json(
                self._pool,
                self.address,
                JsonCall(method, path, body, connect_timeout_s),
                timeout_s,
            )
        except ConnectError as error:
            self._count('unavailable')
            raise StoreUnavailableError(str(error)) from None
        except BrokenAnswerError as error:
            self._count('unknown')
            # Other connections may be as silent as this one.
            self._pool.drop(self.address)
            raise StoreOutcomeUnknownError(f'{path}: {error}') from None
        self._check_era(answer)
        self._count('answered')
        self._count_bytes(key, answer.sent_bytes, answer.received_bytes)
        return answer

    def _check_era(self, answer: JsonAnswer) -> None:
        """
        Record the era of an answer; some stores name none.

        :raises StoreOutcomeUnknownError: if it is of an earlier era.
        """
        value = answer.headers.get(names.STORE_ERA, '')
        if not value.isdecimal() or len(value) > _MAX_ERA_DIGITS:
            return
        era = int(value)
        if self.era is not None and era < self.era:
            self._count('unknown')
            raise StoreOutcomeUnknownError(
                f'the answer is of era {era} in place of {self.era}'
            )
        previous, self.era = self.era, era
        if previous is not None and previous != era:
            for listener in self._era_listeners:
                listener(era)


def _check_status(answer: JsonAnswer, status: int) -> None:
    """
    Check the status of an answer.

    :raises StoreUnavailableError: if the status means that the call was not
        executed.
    :raises StoreOutcomeUnknownError: if the status is any other.
    """
    if answer.status == status:
        return
    reason = f'the store answered {answer.status}'
    if answer.status in _NOT_EXECUTED_STATUSES:
        raise StoreUnavailableError(reason)
    raise StoreOutcomeUnknownError(reason)


def _check_keys(items: Iterable[Item], prefix: str) -> None:
    """
    Check that an answer belongs to a call, as answers have no ids.

    :raises StoreOutcomeUnknownError: if it names a key not asked for.
    """
    for item in items:
        if not item.key.startswith(prefix):
            raise StoreOutcomeUnknownError(
                f'the answer names {item.key!r} in place of {prefix!r}'
            )


@contextlib.contextmanager
def _parsing(content: str) -> Generator[None, None, None]:
    """
    Parse the content of an answer.

    :raises StoreOutcomeUnknownError: if it is malformed.
    """
    try:
        yield
    except DECODE_ERRORS as error:
        raise StoreOutcomeUnknownError(
            f'the answer is not {content}: {error!r}'
        ) from None


def _parse_item(item: Any) -> Item:
    """Parse an item or the deletion of one."""
    value = None
    if not item.get('deleted'):
        value = base64.b64decode(item.get('value') or '')
    return Item(str(item['key']), int(item.get('revision') or 0), value)


__all__ = (
    'CALL_TIMEOUT_S',
    'FOLLOW_CONNECT_TIMEOUT_S',
    'Changes',
    'HistoryGoneError',
    'Item',
    'PlatformStore',
    'StoreOutcomeUnknownError',
    'Swap',
)
