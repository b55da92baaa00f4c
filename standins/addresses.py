"""Loopback addresses for programs and stand-ins."""

import contextlib
import secrets
import socket

_drawn_ports: set[int] = set()


def free_address() -> str:
    """
    Return a loopback address with a free port.

    The port is below the range of ephemeral ports: an outgoing connection
    could take one of those before the program listens. No port is drawn
    twice, since a program may not listen on the first one yet.
    """
    while True:
        port = 10_000 + secrets.randbelow(22_000)
        address = ('127.0.0.1', port)
        if port in _drawn_ports:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(address)
            _drawn_ports.add(port)
            return f'{address[0]}:{address[1]}'
