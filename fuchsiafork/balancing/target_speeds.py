"""How fast targets work, as their answers to this VM show."""

import collections
import dataclasses

from fuchsiafork.kernel import Clock

# Time after which half of what a target showed is forgotten. One VM of a large
# fleet sends a request to a given target every 10 to 40 s.
HALF_LIFE_S = 60.0
# Targets and services that are kept, those used last.
MAX_KEPT = 1024
# Largest multiple of the expected time that one answer counts as. A caller that
# reads slowly makes its answer arrive late.
MAX_FACTOR = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Prior:
    """
    Seconds for a unit of work while nothing is known.

    :ivar units: work that the prior counts as.
    """

    seconds: float
    units: float


# 50 prompt tokens a millisecond; 4 ms for an output token.
_PROMPT = _Prior(2e-5, 10_000.0)
_OUTPUT = _Prior(0.004, 200.0)
_SERVICE = _Prior(1.0, 1.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Speed:
    """
    Speed of a target.

    :ivar prompt_token_s: seconds to prefill a prompt token.
    :ivar output_token_s: seconds between two output tokens of a request.
    :ivar service_factor: time of service as a multiple of the expected one.
    """

    prompt_token_s: float = _PROMPT.seconds
    output_token_s: float = _OUTPUT.seconds
    service_factor: float = _SERVICE.seconds


class _Pace:
    """Seconds for a unit of work, as an average that forgets."""

    __slots__ = ('_at', '_seconds', '_units')

    def __init__(self) -> None:
        """Start without work."""
        self._seconds = 0.0
        self._units = 0.0
        self._at = 0.0

    def add(self, seconds: float, units: float, now: float) -> None:
        """Add work and its time."""
        kept = 0.5 ** ((now - self._at) / HALF_LIFE_S)
        self._at = now
        self._seconds = kept * self._seconds + seconds
        self._units = kept * self._units + units

    def seconds(self, prior: float, prior_units: float, now: float) -> float:
        """Return the seconds for a unit."""
        kept = 0.5 ** ((now - self._at) / HALF_LIFE_S)
        seconds = kept * self._seconds + prior * prior_units
        return seconds / (kept * self._units + prior_units)


class _Paces:
    """The paces of one target, or of all targets of a service."""

    __slots__ = ('output', 'prompt', 'service')

    def __init__(self) -> None:
        """Start without work."""
        self.prompt = _Pace()
        self.output = _Pace()
        self.service = _Pace()


_Table = collections.OrderedDict[str, _Paces]


class TargetSpeeds:
    """Speeds by target, with the mean of its service as prior."""

    def __init__(self, clock: Clock) -> None:
        """Start without answers."""
        self._clock = clock
        self._services: _Table = collections.OrderedDict()
        self._targets: _Table = collections.OrderedDict()

    def __len__(self) -> int:
        """Return the number of targets with answers."""
        return len(self._targets)

    def speed(self, service: str, lifetime: str) -> Speed:
        """Return the speed of a target."""
        prior = self._services.get(service)
        if prior is None:
            return Speed()
        own = self._targets.get(lifetime, _UNKNOWN)
        now = self._clock.now()
        return Speed(
            _combine(own.prompt, prior.prompt, _PROMPT, now),
            _combine(own.output, prior.output, _OUTPUT, now),
            _combine(own.service, prior.service, _SERVICE, now),
        )

    def record_first_event(
        self, service: str, lifetime: str, tokens: int, seconds: float
    ) -> None:
        """
        Record the time in which a target prefilled prompts.

        :param tokens: tokens of the prompt and of those ahead of it.
        """
        if tokens <= 0:
            return
        expected = self.speed(service, lifetime).prompt_token_s
        counted = _bounded(seconds, expected * tokens)
        for paces in self._paces(service, lifetime):
            paces.prompt.add(counted, tokens, self._clock.now())

    def record_silence(
        self, service: str, lifetime: str, tokens: int, seconds: float
    ) -> None:
        """
        Record that a target sent no event before the end of an attempt.

        It counts if the target is slower than expected, and not for its
        service: targets that fail say nothing of the speed of the others.
        """
        expected_s = self.speed(service, lifetime).prompt_token_s * tokens
        if tokens > 0 and seconds > expected_s:
            counted = _bounded(seconds, expected_s)
            paces = _use(self._targets, lifetime)
            paces.prompt.add(counted, tokens, self._clock.now())

    def record_output(
        self, service: str, lifetime: str, tokens: int, seconds: float
    ) -> None:
        """Record the time in which a target generated output tokens."""
        if tokens <= 0:
            return
        expected = self.speed(service, lifetime).output_token_s
        counted = _bounded(seconds, expected * tokens)
        for paces in self._paces(service, lifetime):
            paces.output.add(counted, tokens, self._clock.now())

    def record_service(
        self, service: str, lifetime: str, expected_s: float, seconds: float
    ) -> None:
        """Record the time of service of a request that did not wait."""
        if expected_s <= 0:
            return
        expected = self.speed(service, lifetime).service_factor
        counted = _bounded(seconds / expected_s, expected)
        for paces in self._paces(service, lifetime):
            paces.service.add(counted, 1.0, self._clock.now())

    def _paces(self, service: str, lifetime: str) -> tuple[_Paces, _Paces]:
        """Return the paces of a service and of a target, to add work."""
        return _use(self._services, service), _use(self._targets, lifetime)


_UNKNOWN = _Paces()


def _combine(own: _Pace, service: _Pace, prior: _Prior, now: float) -> float:
    """Return the seconds for a unit of a target's work."""
    mean = service.seconds(prior.seconds, prior.units, now)
    return own.seconds(mean, prior.units, now)


def _bounded(seconds: float, expected_s: float) -> float:
    """Return a time, or the largest multiple of the expected one."""
    return min(max(0.0, seconds), MAX_FACTOR * expected_s)


def _use(table: _Table, key: str) -> _Paces:
    """Return the paces of a key, which then counts as used last."""
    paces = table.pop(key, None) or _Paces()
    table[key] = paces
    if len(table) > MAX_KEPT:
        table.popitem(last=False)
    return paces


__all__ = ('MAX_FACTOR', 'MAX_KEPT', 'Speed', 'TargetSpeeds')
