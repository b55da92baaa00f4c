"""HTTP stand-in of a model engine with a chat completions API."""

import json
import random
import threading
import time
import urllib.parse
from collections.abc import Iterator
from typing import Any

from fuchsiafork.adapters.prefixes import prefix_hashes, prompt_text
from standins.engine_model import EngineModel
from standins.engine_types import (
    EngineError,
    EngineSettings,
    Record,
    State,
    Submission,
    token_text,
)
from standins.engine_versions import FenceError, Order
from standins.http_server import Call, Result, StandinServer, json_result

BYTES_PER_TOKEN = 4
SPARE_THREADS = 56

_INACTIVE = frozenset(
    (State.DONE, State.FAILED, State.CANCELLED, State.PAUSED),
)
_EVENT_STREAM = 'text/event-stream'


class BrokenStreamError(Exception):
    """Raised to break the connection in the middle of an answer."""


class EngineServer:
    """
    Serves an engine model over HTTP in real time.

    :ivar users: the ``user`` field of each request, by request id.
    :ivar resumable: whether paused streams can be resumed.
    """

    def __init__(
        self,
        name: str,
        settings: EngineSettings | None = None,
        version: str = 'v1',
        seed: int = 1,
        port: int = 0,
    ) -> None:
        """Create a server on loopback; port 0 selects a free port."""
        self.model = EngineModel(
            name,
            time.monotonic,
            random.Random(seed),
            settings,
            version,
        )
        self.lock = threading.Lock()
        self.users: dict[str, str] = {}
        # Each stream occupies a thread, as does each call that controls one.
        threads = self.model.settings.capacity + SPARE_THREADS
        self.server = StandinServer(self._handle, port, threads)
        self.resumable = True
        self._padding: dict[str, str] = {}
        self._latest_reader: dict[str, int] = {}
        self._routes = {
            ('POST', '/v1/chat/completions'): self._chat_completion,
            ('GET', '/load'): self._load,
            ('GET', '/cache/events'): self._cache_events,
            ('POST', '/orders'): self._order,
            ('GET', '/orders'): self._order_state,
        }

    def started_unix_times(self, version: str) -> list[float]:
        """Return the Unix times at which requests of a version started."""
        offset = time.time() - time.monotonic()
        with self.lock:
            return [
                record.started + offset
                for record in self.model.records.values()
                if record.version == version
            ]

    def _handle(self, call: Call) -> Result:
        """Answer one call."""
        serve = self._routes.get((call.method, call.path))
        if serve is not None:
            return serve(call)
        if call.path.startswith('/v1/requests/'):
            return self._request_operation(call)
        return json_result({'error': 'no such path'}, 404)

    def _chat_completion(self, call: Call) -> Result:
        """Run a chat completion."""
        body = call.json()
        request_id = call.headers.get('x-request-id', '')
        echo = (('X-Request-Id', request_id),)
        self.users[request_id] = str(body.get('user', ''))
        try:
            with self.lock:
                self.model.submit(_to_submission(request_id, body))
                self._padding[request_id] = 'x' * int(
                    body.get('standin_token_bytes', 0),
                )
        except EngineError as error:
            return json_result({'error': str(error)}, 503, echo)
        if body.get('stream'):
            chunks = self._stream(request_id, 0)
            return Result(200, chunks, _EVENT_STREAM, echo)
        return self._full_answer(request_id, echo)

    def _full_answer(
        self,
        request_id: str,
        echo: tuple[tuple[str, str], ...],
    ) -> Result:
        """Return the answer without streaming once the request has ended."""
        record = self._wait_for_tokens(request_id, -1)
        if record.state is not State.DONE:
            return json_result({'error': record.state}, 500, echo)
        text = ''.join(
            token_text(request_id, index) for index in range(record.tokens)
        )
        choice = {'message': {'role': 'assistant', 'content': text}}
        answer = {'choices': [choice], 'usage': _usage(record)}
        return json_result(answer, headers=echo)

    def _stream(self, request_id: str, start: int) -> Iterator[bytes]:
        """Yield the events of a stream from a token position on."""
        with self.lock:
            reader = self._latest_reader.get(request_id, 0) + 1
            self._latest_reader[request_id] = reader
        try:
            yield from self._stream_tokens(request_id, start)
        except GeneratorExit:
            with self.lock:
                # After a pause or resume there is a later reader.
                if self._latest_reader[request_id] == reader:
                    self.model.cancel(request_id)
            raise
        if self._latest_reader[request_id] != reader:
            return
        record = self.model.records[request_id]
        if record.state is not State.DONE:
            raise BrokenStreamError(request_id)
        yield _to_event({'choices': [], 'usage': _usage(record)})
        yield b'data: [DONE]\n\n'

    def _stream_tokens(self, request_id: str, start: int) -> Iterator[bytes]:
        """Yield an event for each token until the request has ended."""
        sent = start
        while True:
            record = self._wait_for_tokens(request_id, sent)
            # Other threads advance the record, so its state is read before
            # its tokens: an ended request gets no further tokens.
            ended = record.state in _INACTIVE
            generated = record.tokens
            for index in range(sent, generated):
                yield _to_chunk(
                    token_text(request_id, index)
                    + self._padding.get(request_id, ''),
                )
            sent = generated
            if ended:
                return

    def _wait_for_tokens(self, request_id: str, sent: int) -> Record:
        """Wait until a request has new tokens or has ended."""
        while True:
            with self.lock:
                self.model.advance()
                record = self.model.records.get(request_id)
                if record is None:
                    raise BrokenStreamError(request_id)
                has_new_tokens = 0 <= sent < record.tokens
                if has_new_tokens or record.state in _INACTIVE:
                    return record
            time.sleep(self.model.settings.step_s / 2)

    def _load(self, call: Call) -> Result:
        """Return the load report, which lags behind."""
        with self.lock:
            report = self.model.report()
        return json_result({
            'identity': report.identity,
            'version': report.version,
            'role': report.role,
            'ready': report.ready,
            'running': report.running,
            'capacity': report.capacity,
        })

    def _cache_events(self, call: Call) -> Result:
        """Return the cache events after a sequence number."""
        after = urllib.parse.parse_qs(call.query).get('after', ['0'])[0]
        with self.lock:
            self.model.advance()
            batches = [
                batch
                for batch in self.model.cache.events()
                if batch.last > int(after)
            ]
        stored = [part for batch in batches for part in batch.stored]
        evicted = [part for batch in batches for part in batch.evicted]
        return json_result({
            'first': batches[0].first if batches else 0,
            'last': batches[-1].last if batches else int(after),
            'stored': stored,
            'evicted': evicted,
        })

    def _order(self, call: Call) -> Result:
        """Execute an order to load a version or change role."""
        body = call.json()
        order = Order(
            order_id=str(body.get('order_id', '')),
            fence=int(body.get('fence', 0)),
            version=str(body.get('version', '')),
            role=str(body.get('role', '')),
        )
        try:
            with self.lock:
                self.model.order(order)
        except FenceError as error:
            return json_result({'error': str(error)}, 409)
        return json_result({'order_id': order.order_id}, 202)

    def _order_state(self, call: Call) -> Result:
        """Return the last order and whether its version is loaded."""
        with self.lock:
            self.model.advance()
            order = self.model.last_order
            state = {
                'order_id': order.order_id,
                'fence': order.fence,
                'version': self.model.version,
                'role': self.model.role,
                'ready': self.model.ready,
            }
        return json_result(state)

    def _request_operation(self, call: Call) -> Result:
        """Return a request's state, or pause, resume or cancel it."""
        parts = call.path.removeprefix('/v1/requests/').split('/')
        request_id = parts[0]
        if call.method == 'GET':
            return self._record(request_id)
        action = parts[1] if len(parts) > 1 else ''
        if action == 'resume':
            return self._resume(request_id, call)
        with self.lock:
            operations = {
                'pause': self.model.pause,
                'cancel': self.model.cancel,
            }
            done = action in operations and operations[action](request_id)
            if done and action == 'pause':
                self.model.counts['paused'] += 1
                self._latest_reader[request_id] = (
                    self._latest_reader.get(request_id, 0) + 1
                )
        return json_result({'done': done}, 200 if done else 409)

    def _resume(self, request_id: str, call: Call) -> Result:
        """Continue a paused stream from a token position."""
        from_token = urllib.parse.parse_qs(call.query).get('from', ['0'])[0]
        try:
            with self.lock:
                self._resume_record(request_id)
        except EngineError as error:
            return json_result({'error': str(error)}, 409)
        chunks = self._stream(request_id, int(from_token))
        echo = (('X-Request-Id', request_id),)
        return Result(200, chunks, _EVENT_STREAM, echo)

    def _resume_record(self, request_id: str) -> None:
        """
        Put a paused stream back into the batch.

        :raises EngineError: if the engine no longer has the stream.
        """
        if not self.resumable:
            raise EngineError('the stream was dropped')
        self.model.resume(request_id)
        self.model.counts['resumed'] += 1

    def _record(self, request_id: str) -> Result:
        """Return state and token count of a request."""
        with self.lock:
            self.model.advance()
            record = self.model.records.get(request_id)
            memory_s = time.monotonic() - self.model.started_at
        answer = {'state': 'unknown', 'tokens': 0, 'memory_s': memory_s}
        if record is not None:
            answer['state'] = record.state
            used = record.submission.prompt_tokens + record.tokens
            answer['tokens'] = used
        return json_result(answer)


def _to_submission(request_id: str, body: dict[str, Any]) -> Submission:
    """
    Return the submission of a chat completion request.

    ``standin_output_tokens`` sets the length of the answer, by default
    ``max_tokens``.
    """
    text = prompt_text(body.get('messages', ()))
    limit = int(body.get('max_tokens', 16))
    requested = int(body.get('standin_output_tokens', limit))
    return Submission(
        request_id=request_id,
        prompt_tokens=max(1, len(text) // BYTES_PER_TOKEN),
        output_tokens=max(1, min(limit, requested)),
        prefixes=prefix_hashes(text),
        priority=int(body.get('priority', 5)),
        route=str(body.get('model', '')),
    )


def _usage(record: Record) -> dict[str, int]:
    """Return the token counts of an answer."""
    return {
        'prompt_tokens': record.submission.prompt_tokens,
        'completion_tokens': record.tokens,
    }


def _to_chunk(text: str) -> bytes:
    """Return one token as an event of the stream."""
    return _to_event({'choices': [{'delta': {'content': text}}]})


def _to_event(value: dict[str, Any]) -> bytes:
    """Return a JSON object as a server-sent event."""
    return b'data: ' + json.dumps(value).encode() + b'\n\n'
