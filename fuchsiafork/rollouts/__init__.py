"""Rollouts: evidence, traffic shares, verdicts, and loading of versions."""

from fuchsiafork.rollouts.loading import LoadingSystem
from fuchsiafork.rollouts.peers import MembershipPeers, Peers
from fuchsiafork.rollouts.system import RolloutSystem

__all__ = ('LoadingSystem', 'MembershipPeers', 'Peers', 'RolloutSystem')
