"""Verdicts on rollouts, in memory and in the key-value store."""

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
_RETRY_INTERVAL_S = 1.0
# Records are listed again at this interval, so that another keeper writes a
# verdict whose writer failed, even long after a store outage.
_LIST_INTERVAL_S = 30.0
# Greatest number of sections in the record of a rollout, the latest ones.
_MAX_SECTIONS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """
    One failure domain's verdict on a rollout section.

    :ivar wall_ms: Unix time of the verdict in milliseconds.
    """

    verdict: str
    reason: str
    domain: str
    wall_ms: int


_FIELDS = tuple(field.name for field in dataclasses.fields(Verdict))

VerdictsBySection = dict[str, dict[str, Verdict]]


class VerdictRegistry:
    """Verdicts by rollout, section digest and issuing failure domain."""

    def __init__(self) -> None:
        """Start without verdicts."""
        self._rollouts: dict[str, VerdictsBySection] = {}

    def add(self, rollout: str, section: str, verdict: Verdict) -> bool:
        """
        Add a verdict and return whether it changed the registry.

        A ``bad`` verdict of a domain replaces its earlier ``good`` one, never
        the reverse.
        """
        sections = self._rollouts.setdefault(rollout, {})
        domains = sections.setdefault(section, {})
        known = domains.get(verdict.domain)
        if known is not None and not _replaces(verdict, known):
            return False
        domains[verdict.domain] = verdict
        while len(sections) > _MAX_SECTIONS:
            oldest = min(sections, key=lambda name: _latest_ms(sections, name))
            sections.pop(oldest)
        return section in sections

    def in_force(self, rollout: str, section: str) -> Verdict | None:
        """Return the earliest ``bad`` verdict if any, else the earliest one."""
        domains = self._rollouts.get(rollout, {}).get(section, {})
        return min(
            domains.values(),
            key=lambda verdict: (
                verdict.verdict != BAD,
                verdict.wall_ms,
                verdict.domain,
            ),
            default=None,
        )

    def entries(self, rollout: str) -> list[tuple[str, Verdict]]:
        """
        Return all section digests and verdicts of a rollout, in fixed order.

        Messages are sent in this order. A seeded run is only repeatable if
        the order doesn't depend on the hashes of strings.
        """
        found = [
            (section, verdict)
            for section, domains in self._rollouts.get(rollout, {}).items()
            for verdict in domains.values()
        ]
        return sorted(found, key=lambda entry: (entry[0], entry[1].domain))

    def rollouts(self) -> list[str]:
        """Return the names of the rollouts with a verdict."""
        return sorted(self._rollouts)


def encode_record(entries: Iterable[tuple[str, Verdict]]) -> bytes:
    """Return a rollout's verdicts in their stored form."""
    rows = [
        {'section': section, **dataclasses.asdict(verdict)}
        for section, verdict in entries
    ]
    rows.sort(key=operator.itemgetter('section', 'domain'))
    return json.dumps(rows).encode()


def decode_record(value: bytes | None) -> list[tuple[str, Verdict]]:
    """Return the verdicts of a record, none if it is unreadable."""
    try:
        rows = json.loads(value or b'[]')
        return [
            (str(row['section']), Verdict(*(row[name] for name in _FIELDS)))
            for row in rows
        ]
    except (ValueError, TypeError, LookupError):
        return []


class VerdictRecorder:
    """Synchronizes the registry of verdicts with the store's records."""

    def __init__(self, context: Context, verdicts: VerdictRegistry) -> None:
        """Schedule the first read of all records for the first tick."""
        self.new_verdicts: list[tuple[str, str, Verdict]] = []
        self._context = context
        self._verdicts = verdicts
        self._next_list = 0.0
        # Rollout -> time of the next attempt to write its record.
        self._write_due: dict[str, float] = {}

    def save(self, rollout: str) -> None:
        """Write the registry's verdicts on a rollout to the store."""
        self._write_due[rollout] = 0.0
        self.tick()

    def tick(self) -> None:
        """Send the reads that are due; their answers lead to writes."""
        now = self._context.clock.now()
        outbox = self._context.outbox
        if now >= self._next_list:
            self._next_list = now + _RETRY_INTERVAL_S
            outbox.store(ListKeys(PREFIX, _TAG_LIST))
        for rollout, due in self._write_due.items():
            if now >= due:
                self._write_due[rollout] = now + _RETRY_INTERVAL_S
                outbox.store(ReadKey(f'{PREFIX}{rollout}', _TAG_READ))

    def handle(self, answer: StoreAnswer) -> None:
        """
        Handle an answer of the store.

        The attempt after a failure starts with a read, which shows whether a
        write whose answer was lost took effect.
        """
        if isinstance(answer, KeysListed):
            self._next_list = self._context.clock.now() + _LIST_INTERVAL_S
            stored = {key: value for key, _, value in answer.rows}
            for key, value in stored.items():
                self._add_stored(key.removeprefix(PREFIX), value)
            self._schedule_missing(stored)
        elif isinstance(answer, KeyRead):
            self._write(answer)
        elif isinstance(answer, SwapDone) and answer.succeeded:
            self._write_due.pop(answer.key.removeprefix(PREFIX), None)
        elif isinstance(answer, SwapDone | StoreFailed):
            self._retry(answer.key.removeprefix(PREFIX))

    def _retry(self, rollout: str) -> None:
        """Schedule the next attempt with jitter against other keepers."""
        if rollout in self._write_due:
            delay_s = self._context.random.uniform(0, _RETRY_INTERVAL_S)
            self._write_due[rollout] = self._context.clock.now() + delay_s

    def _write(self, answer: KeyRead) -> None:
        """Write the verdicts that a record lacks, if any."""
        rollout = answer.key.removeprefix(PREFIX)
        self._add_stored(rollout, answer.value)
        entries = self._verdicts.entries(rollout)
        if set(entries) == set(decode_record(answer.value)):
            self._write_due.pop(rollout, None)
            return
        self._context.outbox.store(
            CompareAndSwap(
                answer.key,
                answer.revision,
                encode_record(entries),
                _TAG_SWAP,
            ),
        )

    def _add_stored(self, rollout: str, value: bytes | None) -> None:
        """Add the verdicts of a record to the registry."""
        for section, verdict in decode_record(value):
            if self._verdicts.add(rollout, section, verdict):
                self.new_verdicts.append((rollout, section, verdict))

    def _schedule_missing(self, stored: dict[str, bytes]) -> None:
        """Schedule writes of verdicts that the store lacks."""
        now = self._context.clock.now()
        for rollout in self._verdicts.rollouts():
            stored_verdicts = set(
                decode_record(stored.get(f'{PREFIX}{rollout}'))
            )
            if set(self._verdicts.entries(rollout)) - stored_verdicts:
                delay_s = self._context.random.uniform(0, _RETRY_INTERVAL_S)
                self._write_due.setdefault(rollout, now + delay_s)


def _replaces(verdict: Verdict, known: Verdict) -> bool:
    """Return whether a domain's verdict replaces its known verdict."""
    return verdict.verdict == BAD and known.verdict != BAD


def _latest_ms(sections: VerdictsBySection, name: str) -> int:
    """Return the time of a section's latest verdict."""
    return max(verdict.wall_ms for verdict in sections[name].values())
