"""Loopback addresses for programs and stand-ins."""

import contextlib
import secrets
import socket


def free_address() -> str:
    """
    Return a loopback address with a free port.

    The port is below the range of ephemeral ports: an outgoing connection
    could take one of those before the program listens.
    """
    while True:
        address = ('127.0.0.1', 10_000 + secrets.randbelow(22_000))
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(address)
            return f'{address[0]}:{address[1]}'
