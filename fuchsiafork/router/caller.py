"""The caller's side of one HTTP exchange."""

import http
from collections.abc import Callable, Mapping
from typing import Any

from fuchsiafork.router.stall_limit import StallLimit
from fuchsiafork.router.writer import CallerWriter, SlowWriteError

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class CallerGoneError(Exception):
    """The caller closed, or read nothing for the write deadline."""


class TooManyStalledError(OSError):
    """The limit of stalled streams is reached."""


class Caller:
    """Writes one answer, piece by piece, to the caller's socket."""

    def __init__(
        self,
        start_response: StartResponse,
        writer: CallerWriter | None,
        stall_limit: StallLimit,
        note: Callable[..., None],
    ) -> None:
        """Tell ``note(kind, **fields)`` of stalls; ``writer`` for tests."""
        self.started = False
        self.on_stall: Callable[[], None] = _ignore
        self._start_response = start_response
        self._write: Callable[[bytes], Any] | None = None
        self._stall_limit = stall_limit
        self._note = note
        self._entered = False
        if writer is not None:
            writer.on_stall = self._stall
            writer.on_progress = self._progress

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
        except (SlowWriteError, TooManyStalledError) as error:
            self._note('slow_caller_closed', reason=str(error))
            raise CallerGoneError(str(error)) from None
        except OSError as error:
            raise CallerGoneError(str(error)) from None

    def _stall(self) -> None:
        """
        Take a stalled write into account.

        :raises TooManyStalledError: if no more are allowed.
        """
        self._entered = self._stall_limit.try_acquire()
        if not self._entered:
            raise TooManyStalledError(
                f'{self._stall_limit.limit} streams are stalled already',
            )
        self._note('stream_stalled', stalled=self._stall_limit.count)
        self.on_stall()

    def _progress(self) -> None:
        """Count the stream out when its write ended or goes on."""
        if self._entered:
            self._entered = False
            self._stall_limit.release()


def _ignore() -> None:
    """Take no notice."""


def _phrase(status: int) -> str:
    """Return the standard phrase of a status."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return 'Status'


def _title(name: str) -> str:
    """Return a header's name in its customary case."""
    return '-'.join(part.capitalize() for part in name.split('-'))
