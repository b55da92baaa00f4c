"""The outstanding work of targets, as one VM knows it."""

from collections.abc import Mapping

from fuchsiafork.balancing.costs import TargetLoad, WorkCost
from fuchsiafork.kernel import Clock

# Age above which the work of the other VMs counts as unknown.
MAX_FLEET_AGE_S = 2.0

_IDLE = TargetLoad()


class OutstandingWork:
    """The work of one request of this VM at one target, until it ends."""

    def __init__(self, view: 'LoadView', lifetime: str, cost: WorkCost) -> None:
        """Start with the expected work; see ``LoadView.begin``."""
        self._view = view
        self._lifetime = lifetime
        self._cost = cost
        self._started = False
        self._written = 0
        self._ended = False

    @property
    def lifetime(self) -> str:
        """Id of the start of the target that does the work."""
        return self._lifetime

    @property
    def load(self) -> TargetLoad:
        """What is left of the work."""
        return _IDLE if self._ended else TargetLoad(1, *self.remaining)

    @property
    def remaining(self) -> tuple[int, float, float]:
        """Prompt tokens, output tokens and seconds that are left."""
        cost = self._cost
        prompt_tokens = 0 if self._started else cost.prompt_tokens
        output_tokens = max(0.0, cost.output_tokens - self._written)
        return prompt_tokens, output_tokens, cost.seconds

    def record_output(self, tokens: int) -> None:
        """
        Record that the target has prefilled the prompt and writes.

        :param tokens: output tokens generated so far.
        """
        self._started = True
        self._written = max(self._written, tokens)

    def end(self) -> None:
        """Remove the work; further calls have no effect."""
        self._ended = True
        self._view.discard(self)


class LoadView:
    """Outstanding work by target, keyed by the id of the target's start."""

    def __init__(self, clock: Clock) -> None:
        """Start without work; that of other VMs is unknown."""
        self._clock = clock
        # By target, in the order of their start.
        self._own: dict[str, dict[OutstandingWork, None]] = {}
        self._others: Mapping[str, TargetLoad] = {}
        # Time at which the view of the other VMs was taken.
        self._fleet_at: float | None = None

    @property
    def fleet_known(self) -> bool:
        """Whether the work of the other VMs is known."""
        return self.fleet_age_s <= MAX_FLEET_AGE_S

    @property
    def fleet_age_s(self) -> float:
        """Age of what is known of the other VMs, infinite if nothing is."""
        if self._fleet_at is None:
            return float('inf')
        return self._clock.now() - self._fleet_at

    def begin(self, lifetime: str, cost: WorkCost) -> OutstandingWork:
        """Add the work of a request that is sent to a target."""
        work = OutstandingWork(self, lifetime, cost)
        self._own.setdefault(lifetime, {})[work] = None
        return work

    def discard(self, work: OutstandingWork) -> None:
        """Remove the work of a request."""
        works = self._own.get(work.lifetime, {})
        works.pop(work, None)
        if not works:
            self._own.pop(work.lifetime, None)

    def apply_fleet(
        self, loads: Mapping[str, TargetLoad], age_s: float
    ) -> None:
        """
        Replace the work of the other VMs.

        :param loads: their outstanding work, without that of this VM.
        :param age_s: age of the oldest part of it.
        """
        self._others = loads
        self._fleet_at = self._clock.now() - age_s

    def own_loads(self) -> dict[str, TargetLoad]:
        """Return the outstanding work of this VM's requests by target."""
        return {lifetime: self.own_load(lifetime) for lifetime in self._own}

    def own_load(self, lifetime: str) -> TargetLoad:
        """Return the outstanding work of this VM's requests at a target."""
        works = self._own.get(lifetime)
        if not works:
            return _IDLE
        prompt_tokens = 0
        output_tokens = seconds = 0.0
        # Adding up loads would create two objects a request for each choice.
        for work in works:
            prompt, output, service_s = work.remaining
            prompt_tokens += prompt
            output_tokens += output
            seconds += service_s
        return TargetLoad(len(works), prompt_tokens, output_tokens, seconds)

    def others_load(self, lifetime: str) -> TargetLoad:
        """Return the outstanding work of other VMs' requests at a target."""
        if not self.fleet_known:
            return _IDLE
        return self._others.get(lifetime, _IDLE)

    def load(self, lifetime: str) -> TargetLoad:
        """Return the outstanding work of a target, as far as it is known."""
        return self.own_load(lifetime) + self.others_load(lifetime)


__all__ = ('MAX_FLEET_AGE_S', 'LoadView', 'OutstandingWork')
