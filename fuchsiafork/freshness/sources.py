"""Which VMs a VM asks whether it knows the newest changes."""

from collections.abc import Sequence

# VMs that are asked, one after the other, while the first ones don't answer.
MAX_SOURCES = 3


def find_sources(
    own_address: str, ranked: Sequence[str], nearest: Sequence[str]
) -> list[str]:
    """
    Return the VMs to ask; a VM that none of them answers asks the store.

    Of the VMs that hold grants, the first one asks the store and the others
    ask it, so that the calls to the store don't grow with the fleet. All other
    VMs ask one that holds grants.

    :param ranked: addresses of the VMs that hold grants, in an order that is
        the same on all VMs.
    :param nearest: the same addresses, those of the own failure domain first.
    """
    if own_address in ranked:
        nearest = ranked[: ranked.index(own_address)]
    return list(nearest[:MAX_SOURCES])


__all__ = ('MAX_SOURCES', 'find_sources')
