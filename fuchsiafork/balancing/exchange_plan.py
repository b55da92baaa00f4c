"""Which VMs exchange load, and whom each of them asks."""

import dataclasses
from collections.abc import Mapping, Sequence

from fuchsiafork.kernel import Clock, rank
from fuchsiafork.prepaid.holder_slots import Occupant

# Key by which the VMs that hold slots are ranked.
RANKING_KEY = 'loads'
# Holders that are asked in one round, at most.
MAX_ASKED = 4
# Time for which a silent VM isn't asked. With 0.5 s each report would wait for
# it again.
SILENCE_S = 0.9
# Time for which an invitation of the collector holds.
INVITATION_TTL_S = 3.0
# Time between two messages that name accounts, whose use is an average over
# some seconds.
RATES_INTERVAL_S = 1.8
# Records of other VMs that are kept at most.
_MAX_RECORDS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangePlan:
    """
    The VMs that one VM may call.

    :ivar holders: all VMs that hold slots.
    :ivar holds_slot: whether this VM is one of them.
    :ivar near: holders of its domain to report to, one after the other; those
        before it in the ranking if it is a holder.
    :ivar far: holders of other domains to report to while none of its own
        answers; none if it is a holder.
    :ivar partners: holders of each other domain, the collector first.
    :ivar followers: the other holders of its domain if it is a holder.
    """

    holders: frozenset[str]
    holds_slot: bool
    near: Sequence[str]
    far: Sequence[str]
    partners: Mapping[str, Sequence[str]]
    followers: Sequence[Occupant]


def make_plan(
    vm: str, domain: str, holders: Mapping[str, Sequence[Occupant]]
) -> ExchangePlan:
    """
    Return whom a VM may call.

    :param holders: VMs that hold slots by domain, ranked for ``RANKING_KEY``.
    """
    all_names = frozenset(
        holder.vm for ranked in holders.values() for holder in ranked
    )
    own = holders.get(domain, ())
    names = [holder.vm for holder in own]
    partners = {
        other: [holder.address for holder in holders[other]]
        for other in rank(domain, holders)
        if other != domain
    }
    if vm in names:
        return ExchangePlan(
            holders=all_names,
            holds_slot=True,
            near=[holder.address for holder in own[: names.index(vm)]],
            far=(),
            partners=partners,
            followers=[holder for holder in own if holder.vm != vm],
        )
    return ExchangePlan(
        holders=all_names,
        holds_slot=False,
        near=[holder.address for holder in own],
        far=[address for ranked in partners.values() for address in ranked],
        partners=partners,
        followers=(),
    )


class Participation:
    """Whether a VM takes part in the exchange."""

    def __init__(self, clock: Clock) -> None:
        """Take no part."""
        self._clock = clock
        self._without_slot = False
        self._invited_until = clock.now()

    @property
    def without_slot(self) -> bool:
        """Whether this VM is one that holds no slot and gets none."""
        return self._without_slot

    @property
    def invited(self) -> bool:
        """Whether the collector wants reports of this VM, a holder."""
        return self._clock.now() < self._invited_until

    def update(self, *, holds_slot: bool, has_vacancy: bool) -> None:
        """
        Record the slots of the VM's domain.

        A VM that starts in a small fleet finds a vacant slot until it has
        claimed one. In a large fleet slots become vacant now and then, which
        changes nothing for the VMs without one. One that claims it is needed
        at once.
        """
        if holds_slot:
            if self._without_slot:
                self.record_invitation()
            self._without_slot = False
        elif not has_vacancy:
            self._without_slot = True

    def record_invitation(self) -> None:
        """Report to the collector for ``INVITATION_TTL_S`` from now on."""
        self._invited_until = self._clock.now() + INVITATION_TTL_S


class SilentVms:
    """VMs that are not called for a while."""

    def __init__(self, clock: Clock) -> None:
        """Start without silent VMs."""
        self._clock = clock
        self._until: dict[str, float] = {}

    def record(self, address: str, seconds: float) -> None:
        """Don't call a VM for some seconds."""
        now = self._clock.now()
        if len(self._until) >= _MAX_RECORDS:
            self._until = {
                silent: until
                for silent, until in self._until.items()
                if until > now
            }
        self._until[address] = now + seconds

    def others(self, addresses: Sequence[str]) -> list[str]:
        """Return the addresses of VMs that may be called."""
        now = self._clock.now()
        return [
            address
            for address in addresses
            if now >= self._until.get(address, now)
        ]


class RatesTiming:
    """When the VMs that are called were last told the use of accounts."""

    def __init__(self, clock: Clock) -> None:
        """Start without calls."""
        self._clock = clock
        self._told_at: dict[str, float] = {}

    def is_due(self, address: str) -> bool:
        """Return whether to tell a VM the use of accounts."""
        told_at = self._told_at.get(address, float('-inf'))
        return self._clock.now() - told_at >= RATES_INTERVAL_S

    def record(self, address: str) -> None:
        """Record that a VM was told."""
        if len(self._told_at) >= _MAX_RECORDS:
            self._told_at.clear()
        self._told_at[address] = self._clock.now()

    def forget(self, address: str) -> None:
        """Tell a VM again that may have lost what it knew."""
        self._told_at.pop(address, None)


__all__ = (
    'MAX_ASKED',
    'RANKING_KEY',
    'RATES_INTERVAL_S',
    'SILENCE_S',
    'ExchangePlan',
    'Participation',
    'RatesTiming',
    'SilentVms',
    'make_plan',
)
