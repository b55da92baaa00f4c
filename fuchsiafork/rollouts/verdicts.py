"""Verdicts on rollouts: known ones, and their record in the store."""

import dataclasses
import json
import operator
from collections.abc import Iterable

from fuchsiafork.kernel import Context
from fuchsiafork.kernel.outbox import (
    CompareAndSwap,
    KeyRead,
    KeysListed,
    ListKeys,
    ReadKey,
    StoreAnswer,
    StoreFailed,
    SwapDone,
)

BAD = 'bad'
GOOD = 'good'
PREFIX = 'verdicts/'
_TAG_LIST = 'rollouts:list'
_TAG_READ = 'rollouts:read'
_TAG_SWAP = 'rollouts:swap'
_RETRY_S = 1.0
# Long after an outage, so that a verdict whose writer died is written again.
_LIST_INTERVAL_S = 30.0
# Sections of one rollout that a record keeps, the latest ones.
_SECTIONS_KEPT = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """
    One failure domain's verdict on a rollout section.

    :ivar wall_ms: Unix time in milliseconds when it was reached.
    """

    verdict: str
    reason: str
    domain: str
    wall_ms: int


_FIELDS = tuple(field.name for field in dataclasses.fields(Verdict))

Sections = dict[str, dict[str, Verdict]]


class VerdictRegistry:
    """Verdicts by rollout, section digest and domain that reached them."""

    def __init__(self) -> None:
        """Start without verdicts."""
        self._rollouts: dict[str, Sections] = {}

    def add(self, rollout: str, section: str, verdict: Verdict) -> bool:
        """
        Return whether the verdict is new.

        A domain's own later ``bad`` replaces its ``good``, never the other
        way round.
        """
        sections = self._rollouts.setdefault(rollout, {})
        domains = sections.setdefault(section, {})
        known = domains.get(verdict.domain)
        if known is not None and not _prevails(verdict, known):
            return False
        domains[verdict.domain] = verdict
        while len(sections) > _SECTIONS_KEPT:
            oldest = min(sections, key=lambda name: _latest(sections, name))
            sections.pop(oldest)
        return section in sections

    def in_force(self, rollout: str, section: str) -> Verdict | None:
        """Return the verdict in force: ``bad`` prevails, then the earliest."""
        domains = self._rollouts.get(rollout, {}).get(section, {})
        return min(
            domains.values(),
            key=lambda row: (row.verdict != BAD, row.wall_ms, row.domain),
            default=None,
        )

    def entries(self, rollout: str) -> list[tuple[str, Verdict]]:
        """
        Return all section digests and verdicts of a rollout, in fixed order.

        The order decides the order of messages, and a seeded run repeats
        only if that does not depend on the hashes of strings.
        """
        found = [
            (section, verdict)
            for section, domains in self._rollouts.get(rollout, {}).items()
            for verdict in domains.values()
        ]
        return sorted(found, key=lambda entry: (entry[0], entry[1].domain))

    def rollouts(self) -> list[str]:
        """Return the rollouts with a verdict."""
        return sorted(self._rollouts)


def encode_record(entries: Iterable[tuple[str, Verdict]]) -> bytes:
    """Return the stored form of a rollout's verdicts."""
    rows = [
        {'section': section, **dataclasses.asdict(verdict)}
        for section, verdict in entries
    ]
    rows.sort(key=operator.itemgetter('section', 'domain'))
    return json.dumps(rows).encode()


def decode_record(value: bytes | None) -> list[tuple[str, Verdict]]:
    """Return the verdicts of a record; an unreadable one holds none."""
    try:
        rows = json.loads(value or b'[]')
        return [
            (str(row['section']), Verdict(*(row[name] for name in _FIELDS)))
            for row in rows
        ]
    except (ValueError, TypeError, LookupError):
        return []


class VerdictRecorder:
    """Keeps the store's records and a book of verdicts equal."""

    def __init__(self, context: Context, registry: VerdictRegistry) -> None:
        """Read all records at the first tick."""
        self.learned: list[tuple[str, str, Verdict]] = []
        self._context = context
        self._verdicts = registry
        self._next_list = 0.0
        # Rollout -> time of the next attempt to write its record.
        self._unsaved: dict[str, float] = {}

    def save(self, rollout: str) -> None:
        """Write the book's verdicts on a rollout."""
        self._unsaved[rollout] = 0.0
        self.tick()

    def tick(self) -> None:
        """Send the reads that are due; a write follows each answer."""
        now = self._context.clock.now()
        outbox = self._context.outbox
        if now >= self._next_list:
            self._next_list = now + _RETRY_S
            outbox.store(ListKeys(PREFIX, _TAG_LIST))
        for rollout, due in self._unsaved.items():
            if now >= due:
                self._unsaved[rollout] = now + _RETRY_S
                outbox.store(ReadKey(f'{PREFIX}{rollout}', _TAG_READ))

    def handle(self, answer: StoreAnswer) -> None:
        """
        Take an answer of the store.

        After a failure the next attempt starts with a read, which shows
        whether a write whose answer was lost took effect.
        """
        if isinstance(answer, KeysListed):
            self._next_list = self._context.clock.now() + _LIST_INTERVAL_S
            stored = {key: value for key, _, value in answer.rows}
            for key, value in stored.items():
                self._learn(key.removeprefix(PREFIX), value)
            self._find_unsaved(stored)
        elif isinstance(answer, KeyRead):
            self._write(answer)
        elif isinstance(answer, SwapDone) and answer.succeeded:
            self._unsaved.pop(answer.key.removeprefix(PREFIX), None)
        elif isinstance(answer, SwapDone | StoreFailed):
            self._retry(answer.key.removeprefix(PREFIX))

    def _retry(self, rollout: str) -> None:
        """Schedule the next attempt, apart from those of other keepers."""
        if rollout in self._unsaved:
            wait = self._context.random.uniform(0, _RETRY_S)
            self._unsaved[rollout] = self._context.clock.now() + wait

    def _write(self, answer: KeyRead) -> None:
        """Write what a record lacks, unless it is whole."""
        rollout = answer.key.removeprefix(PREFIX)
        self._learn(rollout, answer.value)
        entries = self._verdicts.entries(rollout)
        if set(entries) == set(decode_record(answer.value)):
            self._unsaved.pop(rollout, None)
            return
        self._context.outbox.store(
            CompareAndSwap(
                answer.key,
                answer.revision,
                encode_record(entries),
                _TAG_SWAP,
            ),
        )

    def _learn(self, rollout: str, value: bytes | None) -> None:
        """Add the verdicts of a record to the book."""
        for section, verdict in decode_record(value):
            if self._verdicts.add(rollout, section, verdict):
                self.learned.append((rollout, section, verdict))

    def _find_unsaved(self, stored: dict[str, bytes]) -> None:
        """Schedule writes for the verdicts that the store lacks."""
        now = self._context.clock.now()
        for rollout in self._verdicts.rollouts():
            have = set(decode_record(stored.get(f'{PREFIX}{rollout}')))
            if set(self._verdicts.entries(rollout)) - have:
                wait = self._context.random.uniform(0, _RETRY_S)
                self._unsaved.setdefault(rollout, now + wait)


def _prevails(verdict: Verdict, known: Verdict) -> bool:
    """Return whether a domain's verdict replaces its known one."""
    return verdict.verdict == BAD and known.verdict != BAD


def _latest(sections: Sections, name: str) -> int:
    """Return the time of a section's latest verdict."""
    return max(verdict.wall_ms for verdict in sections[name].values())
