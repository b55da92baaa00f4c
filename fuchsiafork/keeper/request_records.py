"""Reads the targets' records of requests whose router has failed."""

import asyncio
import concurrent.futures
import dataclasses
from collections.abc import Callable
from typing import Any

from fuchsiafork.adapters.engine import EngineClient, RequestRecord
from fuchsiafork.budgets import HolderSystem
from fuchsiafork.configuration import Document
from fuchsiafork.kernel import Context, FuchsiaforkError
from fuchsiafork.messages import TargetRecord

QUERY_INTERVAL_S = 0.25
MAX_ENGINE_CALLS = 4

_UNKNOWN = 'unknown'
_ENDED = frozenset(('done', 'failed', 'cancelled'))


@dataclasses.dataclass(frozen=True, slots=True)
class RecordQuery:
    """
    A request whose record is to be read from its target.

    :ivar target: name of the target, empty if it is unknown.
    """

    request_id: str
    budget: str
    target: str


class RequestRecordReader:
    """Queries targets in a thread pool and reports records to the holder."""

    def __init__(
        self,
        context: Context,
        engines: EngineClient,
        holder: HolderSystem,
        document: Callable[[], Document],
        receive: Callable[[Any], None],
    ) -> None:
        """Accept queries of the holder; pass the results to ``receive``."""
        self._context = context
        self._engines = engines
        self._holder = holder
        self._document = document
        self._receive = receive
        self._pending: dict[str, RecordQuery] = {}
        self._executor = concurrent.futures.ThreadPoolExecutor(
            MAX_ENGINE_CALLS,
            thread_name_prefix='records',
        )
        holder.query_target = self._enqueue

    async def run(self, stopped: Callable[[], bool]) -> None:
        """Execute the queued queries until stopped."""
        loop = asyncio.get_running_loop()
        while not stopped():
            queries, self._pending = self._pending, {}
            for query in queries.values():
                records = await loop.run_in_executor(
                    self._executor,
                    self._read,
                    query,
                )
                self._report(query, records)
            await asyncio.sleep(QUERY_INTERVAL_S)
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _enqueue(self, request_id: str, budget: str, target: str) -> None:
        """Queue a query of the holder; a second one replaces the first."""
        self._pending[request_id] = RecordQuery(request_id, budget, target)

    def _read(self, query: RecordQuery) -> list[RequestRecord] | None:
        """
        Return the records, or None if a target can't be queried.

        If the target is unknown, all targets are queried: the message that
        the request was about to be sent can be lost with its router.
        """
        targets = self._document().targets
        names = [query.target] if query.target else list(targets)
        records = []
        for name in names:
            target = targets.get(name)
            if target is None:
                return None
            try:
                record = self._engines.fetch_record(
                    target.url, query.request_id
                )
            except FuchsiaforkError:
                return None
            records.append(record)
        return records

    def _report(
        self,
        query: RecordQuery,
        records: list[RequestRecord] | None,
    ) -> None:
        """Report the used tokens if all records are conclusive."""
        reservation = self._holder.tables.reservations.get(query.request_id)
        if reservation is None or records is None:
            return
        age = self._context.clock.now() - reservation.created_at
        if not all(_is_conclusive(record, age) for record in records):
            return
        known = [record for record in records if record.state != _UNKNOWN]
        # A service other than an engine counts calls, not tokens; the tokens
        # that such a call costs were reserved.
        used = [
            reservation.tokens if record.tokens is None else record.tokens
            for record in known
        ]
        self._context.events.record(
            'orphan_settled',
            request_id=query.request_id,
            tokens=sum(used),
        )
        self._receive(
            TargetRecord(
                request_id=query.request_id,
                budget=query.budget,
                finished=True,
                tokens=sum(used),
            ),
        )


def _is_conclusive(record: RequestRecord, age: float) -> bool:
    """
    Return whether a record determines how many tokens the request used.

    A target that started after the reservation was made may have run the
    request before its restart and have no record of it; the tokens then stay
    withheld.
    """
    if record.state == _UNKNOWN:
        return record.memory_s > age
    return record.state in _ENDED
