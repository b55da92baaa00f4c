"""Membership: which keepers are live and which of them owns a key."""

from fuchsiafork.membership.link_peers import Member
from fuchsiafork.membership.routing_keys import KEY_OWNER, routing_key
from fuchsiafork.membership.system import MembershipSystem

__all__ = ('KEY_OWNER', 'Member', 'MembershipSystem', 'routing_key')
