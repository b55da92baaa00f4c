"""
One call to a target over a connection of its own.

A connection is never pooled: an answer that arrives late, after a time-out
or a cancel, then has no connection on which it could reach another request.
"""

import http.client
import io
import socket
import urllib.parse
from collections.abc import Mapping

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.response import HTTPResponse

CONNECT_TIMEOUT_S = 1.0
# Bounds what the kernel holds for a stream whose caller is slow.
RECEIVE_BUFFER_BYTES = 65_536

_FAILURES = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError)


class ConnectError(Exception):
    """No byte of the request was sent."""


class BrokenCallError(Exception):
    """The call broke after the first byte may have been sent."""


class TargetCall:
    """A connection to a target that carries one request."""

    def __init__(self, url: str) -> None:
        """Prepare a call to ``http://ip:port``."""
        parts = urllib.parse.urlsplit(url)
        bound = (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._connection = HTTPConnection(
            parts.hostname or '',
            parts.port,
            timeout=CONNECT_TIMEOUT_S,
            socket_options=[*HTTPConnection.default_socket_options, bound],
        )
        self._response: HTTPResponse | None = None

    @property
    def status(self) -> int:
        """The answer's status."""
        return self._answer().status

    @property
    def headers(self) -> dict[str, str]:
        """The answer's headers, names in lower case."""
        pairs = self._answer().headers.items()
        return {name.lower(): text for name, text in pairs}

    def connect(self) -> None:
        """
        Open the connection.

        :raises ConnectError: if the target can't be reached.
        """
        try:
            self._connection.connect()
        except _FAILURES as error:
            self.close()
            raise ConnectError(str(error)) from None

    def send(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> None:
        """
        Send the request and read the answer's head.

        :raises BrokenCallError: if the connection breaks or time runs out.
        """
        self.set_timeout(timeout_s)
        try:
            self._connection.request(
                method,
                path,
                body=io.BytesIO(body) if body else None,
                headers=_with_length(headers, body),
                preload_content=False,
                decode_content=False,
            )
            self._response = self._connection.getresponse()
        except _FAILURES as error:
            self.close()
            raise BrokenCallError(str(error)) from None

    def read(self, limit: int) -> bytes:
        """
        Return the next bytes of the body, none at its end.

        :raises BrokenCallError: if the body ends before it is whole.
        """
        try:
            return self._answer().read1(limit)
        except _FAILURES as error:
            self.close()
            raise BrokenCallError(str(error)) from None

    def set_timeout(self, seconds: float) -> None:
        """Bound the next reads and writes."""
        sock = self._connection.sock
        if sock is not None:
            sock.settimeout(max(seconds, 0.001))

    def close(self) -> None:
        """Close the connection; the target sees its caller gone."""
        if self._response is not None:
            self._response.close()
        self._connection.close()

    def _answer(self) -> HTTPResponse:
        """Return the answer whose head was read."""
        if self._response is None:
            raise BrokenCallError('no answer yet')
        return self._response


def _with_length(headers: Mapping[str, str], body: bytes) -> dict[str, str]:
    """Return the headers with the body's length."""
    return {
        **headers,
        'Content-Length': str(len(body)),
        'Connection': 'close',
    }
