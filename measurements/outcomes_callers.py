"""Callers that retry under the same key at other routers, and check."""

import dataclasses
import hashlib
import json
import random
from collections.abc import Callable

from fuchsiafork.kernel import FuchsiaforkError
from fuchsiafork.router.commands import Answer, Request
from measurements.outcomes_router import VirtualRouter
from measurements.outcomes_targets import answer_bytes
from standins.virtual import Scheduler

_TIMEOUT_S = 8.0
_PROMPT = 20
_LIMIT = 100
MAX_TRIES = 12


@dataclasses.dataclass(slots=True)
class Operation:
    """
    What a caller wants done once.

    :ivar tries: request id, run state and code of each refused attempt.
    :ivar answered: an answer was handed over as whole.
    """

    name: str
    engine: bool
    idempotent: bool
    key: str
    tokens: int
    leaves: bool
    domain: str
    tries: list[tuple[str, str, int]] = dataclasses.field(default_factory=list)
    answered: bool = False
    truncated: bool = False
    crossed: bool = False
    attempts: int = 0

    @property
    def bound(self) -> int:
        """Tokens that its request reserves."""
        return _PROMPT + _LIMIT_OF[self.name] if self.engine else 1

    def is_whole(self, body: bytes) -> bool:
        """Return whether a body is the whole answer, or cut at the limit."""
        limit = _LIMIT_OF[self.name]
        whole = answer_bytes(self.name, self.tokens)
        return body in {whole, answer_bytes(self.name, limit)}


# Output limit by operation name; large answers have a larger one.
_LIMIT_OF: dict[str, int] = {}


def make_operation(
    number: int,
    chance: random.Random,
    domain: str,
) -> Operation:
    """Return a random operation of the mix."""
    kind = chance.choices(
        ('engine', 'large', 'lookup', 'payment'),
        weights=(40, 2, 18, 40),
    )[0]
    tokens = chance.randint(5, 80) if kind == 'engine' else 1
    if kind == 'large':
        tokens = 9000
    name = f'{kind}{number}'
    _LIMIT_OF[name] = 10_000 if kind == 'large' else _LIMIT
    keyed = kind in {'payment', 'large'} or chance.random() < 0.7
    return Operation(
        name=name,
        engine=kind in {'engine', 'large'},
        idempotent=kind != 'payment',
        key=hashlib.sha256(name.encode()).hexdigest() if keyed else '',
        tokens=tokens,
        leaves=kind == 'engine' and chance.random() < 0.02,
        domain=domain,
    )


def make_request(operation: Operation, now: float, domain: str) -> Request:
    """Return the request of an operation for a router of a domain."""
    kind = 'engine' if operation.engine else 'service'
    prompt = _PROMPT if operation.engine else 0
    document = {'op': operation.name, 'tokens': operation.tokens}
    body = json.dumps(document | {'prompt': prompt}).encode()
    limit = _LIMIT_OF[operation.name]
    return Request(
        request_id='',
        account='mill',
        budget='flour',
        route=kind,
        groups=(f'{kind}:{domain}',),
        priority=1,
        method='POST',
        path='/',
        headers={},
        body=body,
        engine=operation.engine,
        idempotent=operation.idempotent,
        key=operation.key,
        fingerprint=hashlib.sha256(body).hexdigest(),
        prompt_tokens=prompt,
        output_limit=limit if operation.engine else 0,
        flat_tokens=0 if operation.engine else 1,
        deadline=now + (60 if limit > _LIMIT else _TIMEOUT_S),
    )


class Caller:
    """Drives one operation over the routers until it is answered."""

    def __init__(
        self,
        operation: Operation,
        scheduler: Scheduler,
        pick: Callable[[str], VirtualRouter | None],
        chance: random.Random,
        *,
        keyed: bool,
    ) -> None:
        """Start now; ``pick`` returns a live router near a domain."""
        self.operation = operation
        self._scheduler = scheduler
        self._pick = pick
        self._chance = chance
        self._keyed = keyed
        self._attempt()

    def _attempt(self) -> None:
        """Send the operation's request to a router."""
        operation = self.operation
        router = self._pick(operation.domain)
        if router is None:
            self._again(1.0)
            return
        operation.attempts += 1
        request = make_request(
            operation,
            self._scheduler.clock.now(),
            router.identity.domain,
        )
        if not self._keyed:
            request = dataclasses.replace(request, key='')
        router.submit(
            request,
            self._end,
            leaves=operation.leaves and operation.attempts == 1,
        )

    def _end(
        self,
        request_id: str,
        ended: Answer | FuchsiaforkError | None,
        delivered: bytes,
    ) -> None:
        """Check an answer, or try again where that is safe."""
        operation = self.operation
        if isinstance(ended, Answer):
            self._check(ended, delivered)
            return
        if ended is None:
            # The connection broke; only a key makes a retry safe.
            if operation.key or not self._keyed:
                self._again(0.2)
            return
        operation.tries.append((request_id, ended.run_state, ended.code))
        safe = ended.retry_safe or (operation.key and operation.leaves)
        if operation.idempotent and ended.run_state == 'run':
            safe = bool(operation.key)
        if safe or not self._keyed:
            self._again(ended.retry_after or 0.5)

    def _check(self, answer: Answer, delivered: bytes) -> None:
        """Compare an answer with the one that the operation must get."""
        operation = self.operation
        if answer.status != 200:
            return
        body = delivered if answer.relayed else answer.body
        operation.answered = True
        if not body.startswith(f'{operation.name}|'.encode()):
            operation.crossed = True
        elif not operation.is_whole(body):
            operation.truncated = True

    def _again(self, wait: float) -> None:
        """Try once more after a while, a bounded number of times."""
        if self.operation.attempts < MAX_TRIES:
            delay = wait * self._chance.uniform(0.8, 2.0)
            self._scheduler.call_later(delay, self._attempt)
