"""The keeper process, one per VM: runs the systems that make decisions."""

from fuchsiafork.keeper.node import KeeperNode

__all__ = ('KeeperNode',)
