"""
One call to a target over a dedicated connection.

Connections are not pooled, so that a late response, after a timeout or a
cancellation, cannot be read as the response to another request.
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
# Limits what the kernel buffers for a stream with a slow caller.
RECEIVE_BUFFER_BYTES = 65_536

_FAILURES = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError)


class ConnectError(Exception):
    """The connection failed before any byte of the request was sent."""


class BrokenCallError(Exception):
    """The call failed after some of the request may have been sent."""


class TargetCall:
    """A connection to a target that carries one request."""

    def __init__(self, url: str) -> None:
        """Prepare a call to a URL of the form ``http://ip:port``."""
        parts = urllib.parse.urlsplit(url)
        receive_buffer = (
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            RECEIVE_BUFFER_BYTES,
        )
        self._connection = HTTPConnection(
            parts.hostname or '',
            parts.port,
            timeout=CONNECT_TIMEOUT_S,
            socket_options=[
                *HTTPConnection.default_socket_options,
                receive_buffer,
            ],
        )
        self._response: HTTPResponse | None = None

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return self._received_response().status

    @property
    def headers(self) -> dict[str, str]:
        """Headers of the response, with names in lower case."""
        pairs = self._received_response().headers.items()
        return {name.lower(): text for name, text in pairs}

    def connect(self) -> None:
        """
        Open the connection.

        :raises ConnectError: if the connection cannot be opened.
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
        Send the request and read the response's status and headers.

        :raises BrokenCallError: if the connection breaks or times out.
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
        Return the next bytes of the body, empty at its end.

        :raises BrokenCallError: if the body ends before it is complete.
        """
        try:
            return self._received_response().read1(limit)
        except _FAILURES as error:
            self.close()
            raise BrokenCallError(str(error)) from None

    def set_timeout(self, seconds: float) -> None:
        """Set the timeout of subsequent reads and writes."""
        sock = self._connection.sock
        if sock is not None:
            sock.settimeout(max(seconds, 0.001))

    def close(self) -> None:
        """Close the connection; the target detects the disconnect."""
        if self._response is not None:
            self._response.close()
        self._connection.close()

    def _received_response(self) -> HTTPResponse:
        """Return the response whose headers were read."""
        if self._response is None:
            raise BrokenCallError('response headers have not been read')
        return self._response


def _with_length(headers: Mapping[str, str], body: bytes) -> dict[str, str]:
    """Return the headers with ``Content-Length`` and ``Connection``."""
    return {
        **headers,
        'Content-Length': str(len(body)),
        'Connection': 'close',
    }
