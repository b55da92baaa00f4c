"""A small model of targets that batch, prefill prompts and cache parts."""

import collections
import dataclasses

from fuchsiafork.balancing import PromptParts

# Time that one step of the model covers.
STEP_S = 0.005


@dataclasses.dataclass(slots=True)
class ModelRequest:
    """
    A request at a target of the model.

    :ivar output_tokens: tokens that its answer will have.
    :ivar prefill_left: tokens of its prompt that are not prefilled yet.
    :ivar written: output tokens that it has.
    :ivar first_event_at: time of its first event, seconds.
    """

    parts: PromptParts
    output_tokens: float
    sent_at: float = 0.0
    prefill_left: float = 0.0
    written: float = 0.0
    first_event_at: float | None = None
    ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ModelSettings:
    """
    Capacity of a target of the model.

    :ivar prefill_rate: prompt tokens a second, for all its requests together.
    :ivar output_rate: output tokens a second, for each of its requests.
    :ivar cache_tokens: tokens of prompt parts that it keeps.
    """

    slots: int = 64
    prefill_rate: float = 55_000.0
    output_rate: float = 345.0
    event_tokens: int = 8
    cache_tokens: int = 200_000


class ModelTarget:
    """
    A target that advances in steps of virtual time.

    :ivar prefilled: prompt tokens prefilled so far.
    :ivar repeated: those of them that belong to shared parts.
    """

    def __init__(self, settings: ModelSettings) -> None:
        """Start idle, with an empty cache."""
        self._settings = settings
        self._waiting: collections.deque[ModelRequest] = collections.deque()
        self._running: list[ModelRequest] = []
        self._cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.prefilled = 0
        self.repeated = 0

    @property
    def in_flight(self) -> int:
        """Number of requests that wait or run."""
        return len(self._waiting) + len(self._running)

    def send(self, request: ModelRequest, now: float) -> None:
        """Queue a request."""
        request.sent_at = now
        self._waiting.append(request)

    def advance(self, now: float) -> None:
        """Run one step that ends now."""
        while self._waiting and len(self._running) < self._settings.slots:
            self._admit(self._waiting.popleft())
        budget = self._settings.prefill_rate * STEP_S
        for request in self._running:
            used = min(budget, request.prefill_left)
            budget -= used
            if request.prefill_left > used:
                request.prefill_left -= used
            elif request.prefill_left:
                request.prefill_left = 0.0
                self._keep(request.parts)
            else:
                self._write(request, now)
        self._running = [one for one in self._running if not one.ended]

    def _admit(self, request: ModelRequest) -> None:
        """Give a request a place; what the cache holds needs no prefill."""
        parts = request.parts
        missing = sum(parts.tokens)
        for part_id, tokens in parts.shared:
            if part_id not in self._cache:
                break
            missing -= tokens
        request.prefill_left = missing
        self.prefilled += missing
        self.repeated += missing - parts.tokens[-1]
        self._running.append(request)

    def _write(self, request: ModelRequest, now: float) -> None:
        """Write the tokens of one step, up to the end of the answer."""
        request.written += self._settings.output_rate * STEP_S
        begun = request.written >= self._settings.event_tokens
        if begun and request.first_event_at is None:
            request.first_event_at = now
        if request.written >= request.output_tokens:
            request.first_event_at = request.first_event_at or now
            request.ended = True

    def _keep(self, parts: PromptParts) -> None:
        """Keep the parts of a prompt; drop those used longest ago."""
        for part_id, tokens in zip(parts.ids, parts.tokens, strict=True):
            self._cache.pop(part_id, None)
            self._cache[part_id] = tokens
        kept = sum(self._cache.values())
        while kept > self._settings.cache_tokens:
            kept -= self._cache.popitem(last=False)[1]


__all__ = (
    'STEP_S',
    'ModelRequest',
    'ModelSettings',
    'ModelTarget',
)
