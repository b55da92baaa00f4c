"""The caller's side of one HTTP exchange."""

import http
import socket
from collections.abc import Callable, Mapping
from typing import Any

StartResponse = Callable[[str, list[tuple[str, str]]], Any]

# Bounds what the kernel holds for a caller that reads slowly.
SEND_BUFFER_BYTES = 65_536


class CallerGoneError(Exception):
    """The caller closed, or read nothing for the write deadline."""


class Caller:
    """Writes one answer, piece by piece, to the caller's socket."""

    def __init__(
        self,
        start_response: StartResponse,
        sock: socket.socket | None,
        write_deadline_s: float,
    ) -> None:
        """Bound the socket's buffer and the time of one write."""
        self.started = False
        self._start_response = start_response
        self._write: Callable[[bytes], Any] | None = None
        if sock is not None:
            sock.settimeout(write_deadline_s)
            sock.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_SNDBUF,
                SEND_BUFFER_BYTES,
            )

    def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Set status and headers; they go out with the first piece."""
        phrase = _phrase(status)
        rows = [(_title(name), text) for name, text in headers.items()]
        self._write = self._start_response(f'{status} {phrase}', rows)

    def write(self, piece: bytes) -> None:
        """
        Send a piece and wait until the kernel has taken it.

        :raises CallerGoneError: if it doesn't in time.
        """
        if self._write is None:
            raise RuntimeError('begin comes before write')
        self.started = True
        try:
            self._write(piece)
        except OSError as error:
            raise CallerGoneError(str(error)) from None


def _phrase(status: int) -> str:
    """Return the standard phrase of a status."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return 'Status'


def _title(name: str) -> str:
    """Return a header's name in its customary case."""
    return '-'.join(part.capitalize() for part in name.split('-'))
