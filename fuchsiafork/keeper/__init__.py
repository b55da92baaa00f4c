"""The keeper: one per VM, composes all deciding systems."""

from fuchsiafork.keeper.node import KeeperNode

__all__ = ('KeeperNode',)
