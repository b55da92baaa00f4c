"""Writes notices on requests and prompt parts into the store."""

import asyncio
import collections
import itertools
import random
from typing import Any

from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.kernel import Clock, stable_hash
from fuchsiafork.kernel.errors import StoreUnavailableError
from fuchsiafork.platform.store import PlatformStore
from fuchsiafork.quarantine import Notice, NoticeKind, Probe, encode_notice

QUARANTINE_PREFIX = 'fuchsiafork/quarantine/'
# Notices are removed after this time, which is the store's longest.
LEASE_TTL_S = 600.0
# A lease is used for new notices in its first half.
LEASE_USE_S = 300.0
# Mean delay before a notice that the store did not accept is written again.
RETRY_DELAY_S = 0.3
MAX_UNWRITTEN_NOTICES = 256


class NoticeWriter:
    """Writes one notice after the other, each under a key of its own."""

    def __init__(
        self,
        instance_id: str,
        store: PlatformStore,
        clock: Clock,
        rng: random.Random,
        metrics: GatewayMetrics,
        log: Any,
    ) -> None:
        """Start without notices."""
        self._instance_id = instance_id
        self._store = store
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._log = log
        # With the number in its key.
        self._unwritten: collections.deque[tuple[int, Notice]] = (
            collections.deque()
        )
        self._numbers = itertools.count()
        self._lease = 0
        self._lease_used_until = 0.0
        self._queued = asyncio.Event()

    def queue(self, notice: Notice) -> None:
        """Queue a notice; above the bound the oldest one is dropped."""
        if len(self._unwritten) >= MAX_UNWRITTEN_NOTICES:
            _, dropped = self._unwritten.popleft()
            self._log.warning('notice_dropped', kind=dropped.kind.value)
        self._unwritten.append((next(self._numbers), notice))
        self._queued.set()

    async def run(self) -> None:
        """Write the queued notices until cancelled."""
        while True:
            await self._queued.wait()
            self._queued.clear()
            while self._unwritten:
                await self._write_next()

    async def acquire(self, probe: Probe, lifetime: str) -> bool:
        """
        Return whether this VM may send a probe; no other VM may then.

        :param lifetime: start of the target that would get it.
        :raises StoreUnavailableError: if that is unknown.
        """
        name = f'{stable_hash(probe.part):016x}'
        key = f'{QUARANTINE_PREFIX}probe/{name}/{probe.series}/{probe.number}'
        notice = Notice(
            NoticeKind.PROBED,
            (probe.part, *probe.others),
            lifetime,
            probe.number,
        )
        return bool(await self._write(key, notice))

    async def _write_next(self) -> None:
        """Write the oldest notice; keep it if the store doesn't answer."""
        oldest = self._unwritten[0]
        number, notice = oldest
        key = f'{QUARANTINE_PREFIX}{self._instance_id}/{number}'
        try:
            # A key that exists already was written by an earlier attempt.
            await self._write(key, notice)
        except StoreUnavailableError as error:
            self._log.info('notice_unwritten', reason=str(error))
            await asyncio.sleep(RETRY_DELAY_S * self._rng.uniform(0.5, 1.5))
            return
        if self._unwritten and self._unwritten[0] is oldest:
            self._unwritten.popleft()

    async def _write(self, key: str, notice: Notice) -> int:
        """
        Return the revision of a new item, 0 if the key exists.

        :raises StoreUnavailableError: if the item may not have been written.
        """
        lease = await self._require_lease()
        try:
            swap = await self._store.swap(
                key, 0, encode_notice(notice), lease=lease
            )
        except StoreUnavailableError:
            # The lease may be the reason.
            self._lease_used_until = 0.0
            raise
        if swap.revision:
            self._metrics.notices.labels(notice.kind.value).inc()
        return swap.revision

    async def _require_lease(self) -> int:
        """
        Return a lease under which to write notices.

        :raises StoreUnavailableError: if the store grants none.
        """
        now = self._clock.now()
        if now >= self._lease_used_until:
            self._lease = await self._store.grant_lease(LEASE_TTL_S)
            self._lease_used_until = now + LEASE_USE_S
        return self._lease


__all__ = ('QUARANTINE_PREFIX', 'NoticeWriter')
