"""Finds out which targets have ended when connections to them broke."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Any

from fuchsiafork.gateway.domain_check import DomainCheck
from fuchsiafork.gateway.targets import Target, TargetTable
from fuchsiafork.quarantine import (
    EVERYTHING,
    EndCollection,
    PendingEnd,
    Progress,
)
from fuchsiafork.transport.client_connection import ConnectError, connect

# Time after a connection broke in which a process that ended has closed its
# address.
END_CHECK_DELAY_S = 0.05
END_CHECK_TIMEOUT_S = 0.3
# Attempts to connect, since packets may be lost; a target that stays silent is
# cut off rather than gone.
END_CHECKS = 3
# Longest time that a request waits for such checks before it is repeated.
MAX_CHECK_WAIT_S = 0.2
# Time in which answers elsewhere acquit parts, before a report.
COLLECTION_S = 0.4

# Called with the end of a target and the parts suspected.
Report = Callable[[PendingEnd], None]


class TargetEnds:
    """
    Checks targets whose connections broke, and reports those that ended.

    A partition may reset connections instead of dropping packets. Targets of a
    failure domain that all refuse connections at once are therefore taken for
    cut off and not for ended.
    """

    def __init__(
        self,
        targets: TargetTable,
        report: Report,
        rng: random.Random,
        log: Any,
    ) -> None:
        """
        Start without ends.

        :param report: called with each target that ended, once the answers
            that arrive meanwhile have acquitted their parts.
        """
        self._targets = targets
        self._report_end = report
        self._domain_check = DomainCheck(targets, rng, log)
        self._log = log
        self._collection = EndCollection()
        self._reports: set[asyncio.Task[None]] = set()
        # Set once it is known whether a target has ended, by its lifetime.
        self._checks: dict[str, asyncio.Event] = {}
        self._closed = False

    def __len__(self) -> int:
        """Return the number of targets that may have ended."""
        return len(self._collection)

    def record(
        self, parts: tuple[str, ...], target: Target, progress: Progress
    ) -> None:
        """
        Record that a connection to a target broke.

        :param parts: parts of a request on which it wrote an answer.
        :param progress: how far that answer had got.
        """
        if self._closed:
            return
        end = self._collection.add(target.lifetime, parts, progress)
        if end is not None:
            task = asyncio.create_task(self._report(end, target))
            self._reports.add(task)
            task.add_done_callback(self._reports.discard)

    def open(self) -> None:
        """Check ends from now on, as it does at first."""
        self._closed = False

    def close(self) -> None:
        """Check and report no further ends, as the process stops."""
        self._closed = True
        for task in self._reports:
            task.cancel()

    def record_alive(self, target: Target) -> None:
        """Record that a target answers after a connection to it broke."""
        self._collection.discard(target.lifetime)

    def acquit(self, part: str, harmless: Progress = EVERYTHING) -> None:
        """
        Record that an answer shows a part to be harmless.

        :param harmless: up to where.
        """
        self._collection.acquit(part, harmless)

    def is_known(self, lifetime: str) -> bool:
        """Return whether a target may have ended."""
        return self._collection.is_known(lifetime)

    def is_suspected(self, part: str, lifetime: str) -> bool:
        """Return whether a part is suspected for another target's end."""
        return self._collection.is_suspected(part, lifetime)

    async def wait_for_checks(
        self, parts: tuple[str, ...], lifetime: str
    ) -> None:
        """Wait until it is known whether other targets ended under parts."""
        lifetimes = self._collection.unconfirmed(parts, lifetime)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_CHECK_WAIT_S):
                for unconfirmed in lifetimes:
                    checked = self._checks.get(unconfirmed)
                    if checked is not None:
                        await checked.wait()

    async def _report(self, end: PendingEnd, target: Target) -> None:
        """Report the parts under which a target ended, if it did."""
        checked = self._checks.setdefault(end.lifetime, asyncio.Event())
        try:
            await self._check(end, target)
        finally:
            self._checks.pop(end.lifetime, None)
            checked.set()
        if not end.confirmed:
            return
        await asyncio.sleep(COLLECTION_S)
        self._collection.pop(end)
        self._report_end(end)

    async def _check(self, end: PendingEnd, target: Target) -> None:
        """Confirm the end of a target, or remove it."""
        await asyncio.sleep(END_CHECK_DELAY_S)
        if not self._collection.is_pending(end):
            return
        end.confirmed = await self._has_ended(target)
        if not end.confirmed:
            self._collection.pop(end)
            self._log.info('target_lives', target=target.target_id)

    async def _has_ended(self, target: Target) -> bool:
        """Return whether a target's process is gone."""
        state = self._targets.get(target.target_id)
        if state is None or state.target.lifetime != target.lifetime:
            return True
        if self._targets.is_replaced(target):
            return True
        for _ in range(END_CHECKS):
            try:
                connection = await connect(target.address, END_CHECK_TIMEOUT_S)
            except ConnectError as error:
                if not error.silent:
                    return await self._domain_check.accepts(target)
            else:
                connection.close()
                return False
        return False


__all__ = ('TargetEnds',)
