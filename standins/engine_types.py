"""Settings and rows of the engine model."""

import collections
import dataclasses
import enum


class State(enum.StrEnum):
    """State of a request in the engine."""

    PREFILL = 'prefill'
    RUNNING = 'running'
    PAUSED = 'paused'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


ACTIVE = frozenset((State.PREFILL, State.RUNNING))
KEPT = ACTIVE | {State.PAUSED}


class EngineError(Exception):
    """The engine did not take a request."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """
    Size and speed of an engine; times are in seconds.

    :ivar capacity: streams past which the engine falls over.
    :ivar cache_blocks: prefixes that the cache has memory for.
    :ivar step_s: time of a step with an empty batch.
    :ivar stream_s: time that each stream adds to a step.
    :ivar prefill_tokens: prompt tokens worked on in one step.
    :ivar block_tokens: prompt tokens that one prefix covers.
    :ivar restart_s: time without service after the engine fell over.
    :ivar load_s: time without service while a version is loaded.
    :ivar report_lag_s: age of the load report.
    :ivar event_lag_s: delay of cache events.
    :ivar event_gap: probability that a batch of cache events is lost.
    :ivar checks_fence: whether orders with an old fencing number fail.
    """

    capacity: int = 8
    cache_blocks: int = 64
    step_s: float = 0.02
    stream_s: float = 0.002
    prefill_tokens: int = 512
    block_tokens: int = 64
    restart_s: float = 20.0
    load_s: float = 10.0
    report_lag_s: float = 0.5
    event_lag_s: float = 0.3
    event_gap: float = 0.0
    checks_fence: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """
    A request as the engine receives it.

    :ivar prefixes: hashes of the prompt's prefixes, longest last.
    :ivar priority: 0 is served first.
    """

    request_id: str
    prompt_tokens: int = 1
    output_tokens: int = 1
    prefixes: tuple[int, ...] = ()
    priority: int = 5
    route: str = ''


@dataclasses.dataclass(slots=True)
class Record:
    """
    What the engine knows of one request id.

    :ivar tokens: tokens generated so far.
    :ivar executions: how often the id was submitted.
    :ivar first_token: clock time of the first token, -1 before it.
    """

    submission: Submission
    version: str
    started: float
    prefill_left: int
    cached_tokens: int
    fails: bool
    state: State = State.PREFILL
    tokens: int = 0
    executions: int = 1
    first_token: float = -1.0
    ended: float = -1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The engine's own view of its load at one time."""

    identity: str
    version: str
    role: str
    ready: bool
    running: int
    capacity: int


class ReportHistory:
    """Reports of the near past, for a reader that sees them late."""

    def __init__(self) -> None:
        """Start empty."""
        self._rows: collections.deque[tuple[float, Report]] = (
            collections.deque()
        )

    def note(self, moment: float, report: Report) -> None:
        """Keep a report from its time on."""
        if not self._rows or self._rows[-1][1] != report:
            self._rows.append((moment, report))

    def at(self, moment: float) -> Report:
        """Return the report of a time, and forget older ones."""
        while len(self._rows) > 1 and self._rows[1][0] <= moment:
            self._rows.popleft()
        return self._rows[0][1]


def token_text(request_id: str, index: int) -> str:
    """Return the text of one token, which names its request."""
    return f'{request_id}.{index} '
