"""Which processes are live, and which of them is home to what."""

from fuchsiafork.membership.contacts import Member
from fuchsiafork.membership.homes import HOME, home_key
from fuchsiafork.membership.system import MembershipSystem

__all__ = ('HOME', 'Member', 'MembershipSystem', 'home_key')
