"""The callers' HTTP interface, as a WSGI application."""

import functools
import threading
from collections.abc import Callable, Iterable
from typing import Any

from cheroot.errors import MaxSizeExceeded

from fuchsiafork.kernel import Clock, EventRing, FuchsiaforkError
from fuchsiafork.kernel.errors import (
    BadRequestError,
    OutcomeUnknownError,
    RequestTooLargeError,
    StoppingError,
)
from fuchsiafork.kernel.refusals import refusal_body
from fuchsiafork.router.caller import Caller, StartResponse
from fuchsiafork.router.commands import Answer, Request, SharedState
from fuchsiafork.router.directory import Directory
from fuchsiafork.router.driver import Driver
from fuchsiafork.router.metrics import RouterMetrics
from fuchsiafork.router.parsing import IncomingRequest, parse_request
from fuchsiafork.router.request_ids import RequestIds
from fuchsiafork.router.stall_limit import StallLimit

_CHUNK_BYTES = 65_536
_JSON = 'application/json'
# Key of the WSGI environment under which the server passes the writer.
WRITER_KEY = 'fuchsiafork.writer'


class Application:
    """Serves callers; each request occupies one worker thread."""

    def __init__(
        self,
        ids: RequestIds,
        shared: SharedState,
        make_driver: Callable[[Caller], Driver],
        metrics: RouterMetrics,
        body_limit: int,
        stall_limit: StallLimit,
    ) -> None:
        """Serve each caller with a driver from ``make_driver``."""
        self.directory: Directory | None = None
        self.stopping = False
        self._ids = ids
        self._shared = shared
        self._make_driver = make_driver
        self._metrics = metrics
        self._body_limit = body_limit
        self._stall_limit = stall_limit
        self._open_paths: dict[str, str] = {}
        self._idle = threading.Condition()

    @property
    def open_requests(self) -> dict[str, str]:
        """Path of each request that is being served, by request id."""
        return dict(self._open_paths)

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait for all requests to end and return whether they did in time."""
        with self._idle:
            return self._idle.wait_for(lambda: not self._open_paths, timeout_s)

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Serve one request according to WSGI."""
        request_id = self._ids.next_id()
        caller = Caller(
            start_response,
            environ.get(WRITER_KEY),
            self._stall_limit,
            functools.partial(self._record_event, request_id),
        )
        with self._idle:
            self._open_paths[request_id] = environ['PATH_INFO']
        self._metrics.in_flight.inc()
        try:
            self._serve(request_id, environ, caller)
        finally:
            self._metrics.in_flight.dec()
            with self._idle:
                self._open_paths.pop(request_id)
                self._idle.notify_all()
        return ()

    def _record_event(self, request_id: str, kind: str, **fields: Any) -> None:
        """Record an event of a request."""
        self._events.record(kind, request_id=request_id, **fields)

    @property
    def _events(self) -> EventRing:
        """The event ring of the process."""
        return self._shared.events

    @property
    def _clock(self) -> Clock:
        """The clock of the process."""
        return self._shared.clock

    def _serve(
        self,
        request_id: str,
        environ: dict[str, Any],
        caller: Caller,
    ) -> None:
        """Answer or refuse one request."""
        started_at = self._clock.now()
        request: Request | None = None
        try:
            request = self._admit(request_id, environ)
            answer = self._make_driver(caller).run(request, self._shared)
        except FuchsiaforkError as error:
            self._refuse(request_id, request, caller, error)
        except Exception as error:
            # It is unknown how far the request was processed.
            unknown = OutcomeUnknownError(f'internal error: {error!r}')
            self._refuse(request_id, request, caller, unknown)
        else:
            self._record_answer(request, answer, self._clock.now() - started_at)
            if not answer.relayed:
                _send_replay(caller, answer)

    def _admit(self, request_id: str, environ: dict[str, Any]) -> Request:
        """
        Return the request if it is well formed and permitted.

        :raises FuchsiaforkError: if it is not.
        """
        if self.stopping:
            raise StoppingError('the router is stopping', retry_after=1)
        directory = self.directory
        if directory is None:
            raise StoppingError('no configuration yet', retry_after=1)
        incoming = IncomingRequest(
            request_id=request_id,
            method=environ['REQUEST_METHOD'],
            path=environ['PATH_INFO'],
            query=environ.get('QUERY_STRING', ''),
            headers=_read_headers(environ),
            body=self._read_body(environ),
        )
        request = parse_request(incoming, directory, self._clock)
        self._events.record(
            'request_received',
            request_id=request_id,
            account=request.account,
            route=request.route,
            revision=directory.revision,
        )
        return request

    def _read_body(self, environ: dict[str, Any]) -> bytes:
        """Read and return the body, within the size limit."""
        content_length = environ.get('CONTENT_LENGTH') or '0'
        if not content_length.isdecimal():
            raise BadRequestError(
                f'Content-Length is not a number: {content_length!r}'
            )
        if int(content_length) > self._body_limit:
            raise RequestTooLargeError(
                f'body of {content_length} bytes is over the limit'
            )
        body = bytearray()
        while chunk := _read_chunk(environ):
            body.extend(chunk)
            if len(body) > self._body_limit:
                raise RequestTooLargeError(
                    f'body is over {self._body_limit} bytes'
                )
        return bytes(body)

    def _record_answer(
        self,
        request: Request,
        answer: Answer,
        seconds: float,
    ) -> None:
        """Count and record an answer."""
        self._metrics.requests.labels(request.route, answer.version).inc()
        tokens = _billed_tokens(request, answer)
        self._metrics.tokens.labels(request.account).inc(tokens)
        self._metrics.duration.labels(request.route).observe(seconds)
        self._events.record(
            'request_answered',
            request_id=request.request_id,
            account=request.account,
            route=request.route,
            version=answer.version,
            status=answer.status,
            tokens=tokens,
        )

    def _refuse(
        self,
        request_id: str,
        request: Request | None,
        caller: Caller,
        error: FuchsiaforkError,
    ) -> None:
        """Send the caller the error of a refused or failed request."""
        self._metrics.refusals.labels(error.code, error.run_state).inc()
        self._events.record(
            'request_refused',
            request_id=request_id,
            account=request.account if request else '',
            route=request.route if request else '',
            code=error.code,
            run_state=error.run_state,
            reason=str(error),
        )
        body = refusal_body(request_id, error)
        if caller.started:
            # The status and headers have already been sent, so only a broken
            # connection can signal the error.
            raise ConnectionAbortedError(f'{error.code}: {error}')
        headers = {
            'content-type': _JSON,
            'content-length': str(len(body)),
            'x-request-id': request_id,
            'x-run-state': error.run_state,
        }
        if error.retry_after is not None:
            headers['retry-after'] = str(max(1, round(error.retry_after)))
        if self.stopping:
            headers['connection'] = 'close'
        caller.begin(error.status, headers)
        caller.write(body)


def _billed_tokens(request: Request, answer: Answer) -> int:
    """Return the tokens billed for an answer; a replay costs nothing."""
    if not answer.relayed:
        return 0
    return answer.tokens if request.engine else request.flat_tokens


def _send_replay(caller: Caller, answer: Answer) -> None:
    """Send the recorded answer of an earlier request with the same key."""
    headers = {
        'content-type': answer.content_type,
        'content-length': str(len(answer.body)),
        'x-request-id': answer.request_id,
        'x-first-request-id': answer.first_request_id,
        'x-target-version': answer.version,
    }
    caller.begin(answer.status, headers)
    caller.write(answer.body)


def _read_headers(environ: dict[str, Any]) -> dict[str, str]:
    """Return the request's headers, names in lower case."""
    headers = {
        name.removeprefix('HTTP_').replace('_', '-').lower(): text
        for name, text in environ.items()
        if name.startswith('HTTP_')
    }
    if environ.get('CONTENT_TYPE'):
        headers['content-type'] = environ['CONTENT_TYPE']
    return headers


def _read_chunk(environ: dict[str, Any]) -> bytes:
    """Return the next bytes of the body, empty at its end."""
    try:
        return environ['wsgi.input'].read(_CHUNK_BYTES)
    except (TimeoutError, ValueError) as error:
        # The caller was too slow, or a chunk header is malformed.
        raise BadRequestError(f'the body is incomplete: {error}') from None
    except MaxSizeExceeded as error:
        raise RequestTooLargeError(str(error)) from None
    except OSError as error:
        if error.errno is None:
            # cheroot raises this for a chunk that is over the limit.
            raise RequestTooLargeError(str(error)) from None
        raise BadRequestError(f'the body is incomplete: {error}') from None
