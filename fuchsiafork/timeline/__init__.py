"""Time line over the events of all processes."""

from fuchsiafork.timeline.replies import EventsReply, StatusReply

__all__ = ('EventsReply', 'StatusReply')
