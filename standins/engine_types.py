"""Settings, requests and load reports of the engine model."""

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
UNFINISHED = ACTIVE | {State.PAUSED}


class EngineError(Exception):
    """The engine did not accept a request."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """
    Size and speed of an engine; times are in seconds.

    :ivar capacity: concurrent streams beyond which the engine crashes.
    :ivar cache_blocks: capacity of the cache in prefixes.
    :ivar step_s: time of a step with an empty batch.
    :ivar stream_s: time that each stream adds to a step.
    :ivar prefill_tokens: prompt tokens processed in one step.
    :ivar block_tokens: prompt tokens that one prefix covers.
    :ivar restart_s: downtime after a crash.
    :ivar load_s: downtime while a version is loaded.
    :ivar report_lag_s: age of the load report.
    :ivar event_lag_s: delay of cache events.
    :ivar event_gap: probability that a batch of cache events is lost.
    :ivar checks_fence: whether orders with a stale fencing number are refused.
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
    A request to the engine.

    :ivar prefixes: hashes of the prompt's prefixes, longest last.
    :ivar priority: prefill order, 0 is served first.
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
    The engine's record of one request id.

    :ivar prefill_left: prompt tokens still to process.
    :ivar fails: whether the request will fail half-way.
    :ivar tokens: tokens generated so far.
    :ivar executions: number of times the id was submitted.
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
    """The engine's load at one time."""

    identity: str
    version: str
    role: str
    ready: bool
    running: int
    capacity: int


class ReportHistory:
    """Recent load reports, for a reader that sees them with a lag."""

    def __init__(self) -> None:
        """Start empty."""
        self._timed_reports: collections.deque[tuple[float, Report]] = (
            collections.deque()
        )

    def add(self, moment: float, report: Report) -> None:
        """Add the report valid from a time on; an unchanged one is ignored."""
        if not self._timed_reports or self._timed_reports[-1][1] != report:
            self._timed_reports.append((moment, report))

    def report_at(self, moment: float) -> Report:
        """Return the report valid at a time, and drop older ones."""
        while (
            len(self._timed_reports) > 1 and self._timed_reports[1][0] <= moment
        ):
            self._timed_reports.popleft()
        return self._timed_reports[0][1]


def token_text(request_id: str, index: int) -> str:
    """Return the text of one token, which contains the request id."""
    return f'{request_id}.{index} '
