"""Writes answers to callers and limits stalled callers."""

import http
from collections.abc import Callable, Mapping
from typing import Any

from fuchsiafork.router.stall_limit import StallLimit
from fuchsiafork.router.writer import CallerWriter, SlowWriteError

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class CallerGoneError(Exception):
    """The caller disconnected, or read nothing until the write deadline."""


class TooManyStalledError(OSError):
    """The limit of stalled streams is reached."""


class Caller:
    """Writes one answer, chunk by chunk, to the caller's socket."""

    def __init__(
        self,
        start_response: StartResponse,
        writer: CallerWriter | None,
        stall_limit: StallLimit,
        record_event: Callable[..., None],
    ) -> None:
        """Report stalls of ``writer`` by ``record_event(kind, **fields)``."""
        self.started = False
        self.on_stall: Callable[[], None] = _ignore
        self._start_response = start_response
        self._write: Callable[[bytes], Any] | None = None
        self._stall_limit = stall_limit
        self._record_event = record_event
        self._counts_as_stalled = False
        if writer is not None:
            writer.on_stall = self._handle_stall
            writer.on_progress = self._handle_progress

    def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Set status and headers; they are sent with the first chunk."""
        phrase = _reason_phrase(status)
        header_list = [
            (_canonical_name(name), text) for name, text in headers.items()
        ]
        self._write = self._start_response(f'{status} {phrase}', header_list)

    def write(self, chunk: bytes) -> None:
        """
        Send a chunk and wait until the kernel has accepted it.

        :raises CallerGoneError: if the caller has disconnected or makes no
            progress in time.
        """
        if self._write is None:
            raise RuntimeError('begin must be called before write')
        self.started = True
        try:
            self._write(chunk)
        except (SlowWriteError, TooManyStalledError) as error:
            self._record_event('slow_caller_closed', reason=str(error))
            raise CallerGoneError(str(error)) from None
        except OSError as error:
            raise CallerGoneError(str(error)) from None

    def _handle_stall(self) -> None:
        """
        Count a stalled write.

        :raises TooManyStalledError: if the limit is reached.
        """
        self._counts_as_stalled = self._stall_limit.try_acquire()
        if not self._counts_as_stalled:
            raise TooManyStalledError(
                f'{self._stall_limit.limit} streams are already stalled',
            )
        self._record_event('stream_stalled', stalled=self._stall_limit.count)
        self.on_stall()

    def _handle_progress(self) -> None:
        """Stop counting the stream when its write ends or continues."""
        if self._counts_as_stalled:
            self._counts_as_stalled = False
            self._stall_limit.release()


def _ignore() -> None:
    """Do nothing."""


def _reason_phrase(status: int) -> str:
    """Return the standard reason phrase of a status code."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return 'Status'


def _canonical_name(name: str) -> str:
    """Return a header name with each word capitalized."""
    return '-'.join(part.capitalize() for part in name.split('-'))
