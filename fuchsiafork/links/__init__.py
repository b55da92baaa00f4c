"""Links between keepers and routers: WebSockets with CBOR frames."""

from fuchsiafork.links.dialer import Dialer
from fuchsiafork.links.hub import LinkHub, PeerLink
from fuchsiafork.links.server import LinkServer

__all__ = ('Dialer', 'LinkHub', 'LinkServer', 'PeerLink')
