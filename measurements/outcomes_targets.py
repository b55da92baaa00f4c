"""Targets that count what they run, and answer late, crossed or cut short."""

import collections
import dataclasses
import json
import random
from typing import Any

from fuchsiafork.router.commands import CallTarget, TargetHead

_BYTES_PER_TOKEN = 8
_HISTORY = 50


@dataclasses.dataclass(frozen=True, slots=True)
class TargetFaults:
    """
    Probabilities of what may go wrong with one call.

    :ivar broken_before: the connection breaks and nothing was run.
    :ivar broken_after: the call is run and the connection breaks.
    :ivar late: the answer comes after the request's deadline.
    """

    broken_before: float = 0.01
    broken_after: float = 0.02
    late: float = 0.01
    crossed: float = 0.02
    truncated: float = 0.03
    over_limit: float = 0.01
    error: float = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """One run of one call, as the target counted it."""

    request_id: str
    operation: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """
    What comes back on a connection.

    :ivar head: None for a connection that breaks.
    :ivar body: bytes sent before the end of the stream.
    :ivar tokens: output tokens in the body.
    :ivar complete: the stream ends by the target's rules.
    """

    delay_s: float
    head: TargetHead | None = None
    body: bytes = b''
    tokens: int = 0
    complete: bool = False


def answer_bytes(operation: str, tokens: int) -> bytes:
    """Return the answer of an operation with this many output tokens."""
    return f'{operation}|'.encode() + b'x' * (tokens * _BYTES_PER_TOKEN)


class StandInTarget:
    """An engine or a plain service that records every execution."""

    def __init__(
        self,
        name: str,
        domain: str,
        chance: random.Random,
        faults: TargetFaults,
    ) -> None:
        """Start up and with nothing run."""
        self.name = name
        self.domain = domain
        self.down = False
        self.executions: list[Execution] = []
        self.faults = faults
        self.faults_made: collections.Counter[str] = collections.Counter()
        self._chance = chance
        self._records: dict[str, int] = {}
        self._answers: list[tuple[TargetHead, bytes, int]] = []

    def accept(self, call: CallTarget) -> Response:
        """Return the response to a call that has arrived, run or not."""
        fault = self._pick_fault()
        self.faults_made[fault] += 1
        delay = self._chance.uniform(0.02, 0.3)
        if fault == 'broken_before':
            return Response(delay)
        if fault == 'error':
            head = TargetHead(500, _echo(call))
            return Response(delay, head, b'', 0, complete=True)
        return self._run(call, fault, delay)

    def record_of(self, request_id: str) -> int | None:
        """Return the tokens used by a request, or None if never seen."""
        return self._records.get(request_id)

    def _pick_fault(self) -> str:
        """Return the name of the fault of one call, empty for none."""
        draw = self._chance.random()
        for field in dataclasses.fields(self.faults):
            draw -= getattr(self.faults, field.name)
            if draw < 0:
                return field.name
        return ''

    def _run(self, call: CallTarget, fault: str, delay: float) -> Response:
        """Run a call and return what its caller sees of it."""
        document: dict[str, Any] = json.loads(call.body)
        operation, tokens = document['op'], document['tokens']
        if fault == 'over_limit' and 'max_tokens' in document:
            tokens = document['max_tokens'] * 2
        prompt = document['prompt']
        request_id = call.headers['X-Request-Id']
        self._records[request_id] = prompt + tokens
        self.executions.append(
            Execution(request_id, operation, prompt + tokens),
        )
        head = TargetHead(200, _echo(call))
        body = answer_bytes(operation, tokens)
        self._answers.append((head, body, tokens))
        self._answers = self._answers[-_HISTORY:]
        return self._damage(fault, delay, (head, body, tokens))

    def _damage(
        self,
        fault: str,
        delay: float,
        answer: tuple[TargetHead, bytes, int],
    ) -> Response:
        """Return the response with its fault."""
        head, body, tokens = answer
        if fault == 'broken_after':
            return Response(delay)
        if fault == 'late':
            delay += self._chance.uniform(5, 20)
        if fault == 'crossed' and len(self._answers) > 1:
            head, body, tokens = self._answers[-2]
        if fault == 'truncated':
            kept = self._chance.choice((0, tokens // 2))
            body = body[: kept * _BYTES_PER_TOKEN]
            return Response(delay, head, body, kept)
        return Response(delay, head, body, tokens, complete=True)


def _echo(call: CallTarget) -> dict[str, str]:
    """Return the headers of an answer to a call."""
    return {
        'x-request-id': call.headers['X-Request-Id'],
        'content-type': 'application/json',
    }
