"""Reads targets' records of requests whose router died."""

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

INTERVAL_S = 0.25
THREADS = 4

_UNKNOWN = 'unknown'
_ENDED = frozenset(('done', 'failed', 'cancelled'))


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """
    A request whose target is asked for its record.

    :ivar target: name of the target, empty if it is not known.
    """

    request_id: str
    budget: str
    target: str


class RecordReader:
    """Asks targets in threads and hands the records to the holder."""

    def __init__(
        self,
        context: Context,
        engines: EngineClient,
        holder: HolderSystem,
        document: Callable[[], Document],
        receive: Callable[[Any], None],
    ) -> None:
        """Answer the holder's questions by ``receive``."""
        self._context = context
        self._engines = engines
        self._holder = holder
        self._document = document
        self._receive = receive
        self._questions: dict[str, Question] = {}
        self._threads = concurrent.futures.ThreadPoolExecutor(
            THREADS,
            thread_name_prefix='records',
        )
        holder.query_target = self._note

    async def run(self, stopped: Callable[[], bool]) -> None:
        """Ask what has been noted, until stopped."""
        loop = asyncio.get_running_loop()
        while not stopped():
            noted, self._questions = self._questions, {}
            for question in noted.values():
                records = await loop.run_in_executor(
                    self._threads,
                    self._read,
                    question,
                )
                self._conclude(question, records)
            await asyncio.sleep(INTERVAL_S)
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _note(self, request_id: str, budget: str, target: str) -> None:
        """Keep a question of the holder until the next round."""
        self._questions[request_id] = Question(request_id, budget, target)

    def _read(self, question: Question) -> list[RequestRecord] | None:
        """
        Return the records, or None if a target can't be asked.

        Without a known target every one is asked: the notice that the
        request was about to be sent can be lost with its router.
        """
        targets = self._document().targets
        names = [question.target] if question.target else list(targets)
        records = []
        for name in names:
            target = targets.get(name)
            if target is None:
                return None
            try:
                record = self._engines.record(target.url, question.request_id)
            except FuchsiaforkError:
                return None
            records.append(record)
        return records

    def _conclude(
        self,
        question: Question,
        records: list[RequestRecord] | None,
    ) -> None:
        """Hand the holder what the records say, if they are conclusive."""
        held = self._holder.tables.reservations.get(question.request_id)
        if held is None or records is None:
            return
        age = self._context.clock.now() - held.created_at
        if not all(_is_conclusive(record, age) for record in records):
            return
        known = [one for one in records if one.state != _UNKNOWN]
        # A plain service counts calls, not tokens; its price was reserved.
        used = [
            held.tokens if one.tokens is None else one.tokens for one in known
        ]
        self._context.events.record(
            'orphan_settled',
            request_id=question.request_id,
            tokens=sum(used),
        )
        self._receive(
            TargetRecord(
                request_id=question.request_id,
                budget=question.budget,
                finished=True,
                tokens=sum(used),
            ),
        )


def _is_conclusive(record: RequestRecord, age: float) -> bool:
    """
    Return whether a record tells how many tokens the request used.

    A target that started after the reservation was made may have run the
    request before and forgotten it; the money then stays withheld.
    """
    if record.state == _UNKNOWN:
        return record.memory_s > age
    return record.state in _ENDED
