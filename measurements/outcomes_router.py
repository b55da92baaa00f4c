"""A router in virtual time that runs the request generator."""

import dataclasses
import functools
import random
from collections.abc import Callable, Generator
from typing import Any

from fuchsiafork.kernel import (
    EventRing,
    FuchsiaforkError,
    HybridClock,
    Identity,
    Outbox,
)
from fuchsiafork.router import commands
from fuchsiafork.router.late_replies import late_reply
from fuchsiafork.router.request_ids import NUMBER_SEPARATOR, RequestIds
from fuchsiafork.router.retry_budget import RetryBudget
from measurements.outcomes_targets import Response, StandInTarget
from standins.virtual import VirtualNetwork

Serve = Callable[
    [commands.Request, commands.SharedState],
    Generator[commands.Command, Any, commands.Answer],
]
End = Callable[[str, commands.Answer | FuchsiaforkError | None, bytes], None]

RESEND_S = 0.5
_HOP_S = 0.001
_BACKGROUND = '.background'
_INSTANT = (commands.SendMessage, commands.DropAnswer, commands.Spawn)
_TOKEN_S = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class Carried:
    """A router's message on the link to its keeper, with its destination."""

    message: Any
    destination: str


@dataclasses.dataclass(slots=True)
class Job:
    """
    A request that is being served.

    :ivar turn: number of the command that is waited for; a continuation of
        an earlier one is ignored.
    :ivar leaves: the caller closes its connection in mid-answer.
    """

    request_id: str
    steps: Generator[commands.Command, Any, commands.Answer | None]
    end: End
    leaves: bool
    turn: int = 0
    asked_id: str = ''
    expects: tuple[type, ...] = ()
    response: Response | None = None
    delivered: bytes = b''


class VirtualRouter:
    """Carries out the commands of its requests in virtual time."""

    def __init__(
        self,
        identity: Identity,
        network: VirtualNetwork,
        targets: dict[str, StandInTarget],
        chance: random.Random,
        serve: Serve,
    ) -> None:
        """Start without a keeper link."""
        self.identity = identity
        self.outbox = Outbox()
        self.keeper = ''
        self.dead = False
        self.jobs: dict[str, Job] = {}
        self.unacknowledged: dict[tuple[str, type], tuple[float, Any]] = {}
        self._network = network
        self._targets = targets
        self._chance = chance
        self._serve = serve
        self._ids = RequestIds(identity)
        clock = network.scheduler.clock
        self._shared = commands.SharedState(
            vm=identity.vm,
            clock=clock,
            random=chance,
            events=EventRing(HybridClock(identity.node, clock)),
            retry_budget=RetryBudget(),
        )

    @property
    def start(self) -> str:
        """The prefix of this start's request ids."""
        name = self.identity.node.replace('/', '.')
        return f'{name}.{self.identity.incarnation}'

    def holds(self, grant_id: str, acknowledged_by: type) -> bool:
        """Return whether a grant is open, as its owner would ask."""
        ending = (grant_id, acknowledged_by)
        base = base_of(grant_id)
        running = {base, base + _BACKGROUND}
        return not running.isdisjoint(self.jobs) or (
            ending in self.unacknowledged
        )

    def submit(
        self, request: commands.Request, end: End, *, leaves: bool
    ) -> str:
        """Return the id under which a request is served from now on."""
        request_id = self._ids.next_id()
        request = dataclasses.replace(request, request_id=request_id)
        job = Job(
            request_id,
            self._serve(request, self._shared),
            end,
            leaves,
        )
        self.jobs[request_id] = job
        self._resume(job, job.turn, None)
        return request_id

    def kill(self) -> None:
        """Break all callers' connections."""
        self.dead = True
        jobs, self.jobs = self.jobs, {}
        for job in jobs.values():
            job.end(job.request_id, None, b'')

    def receive(self, message: Any, sender: str, destination: str) -> None:
        """Take a reply or an acknowledgement."""
        request_id = message.request_id
        durable = getattr(message, 'durable', True)
        if durable:
            self.unacknowledged.pop((request_id, type(message)), None)
        job = self.jobs.get(base_of(request_id))
        if job is None:
            self._give_back(message)
        elif job.asked_id == request_id and isinstance(message, job.expects):
            self._resume(job, job.turn, message)
            return
        self._network.flush(self.identity.node)

    def answer(self, message: Any) -> None:
        """Take no store answers; a router has no store."""

    def tick(self) -> None:
        """Repeat what has not been acknowledged."""
        now = self._network.scheduler.clock.now()
        for key, (due, tell) in tuple(self.unacknowledged.items()):
            if now >= due:
                self.unacknowledged[key] = (now + RESEND_S, tell)
                self._send(tell.message, tell.destination)

    def _resume(self, job: Job, turn: int, reply: Any) -> None:
        """Go on with a request once this router is not paused."""
        if self.dead or turn != job.turn:
            return
        if self.identity.node in self._network.paused:
            again = functools.partial(self._resume, job, turn, reply)
            self._later(0.05, again)
            return
        job.expects = ()
        job.turn += 1
        try:
            self._advance(job, reply)
        except StopIteration as stop:
            self._finish(job, stop.value)
        except FuchsiaforkError as error:
            self._finish(job, error)
        self._network.flush(self.identity.node)

    def _advance(self, job: Job, reply: Any) -> None:
        """Carry out commands up to the next one that takes time."""
        command = job.steps.send(reply)
        while isinstance(command, _INSTANT):
            if isinstance(command, commands.SendMessage):
                self._tell(command)
            elif isinstance(command, commands.Spawn):
                self._spawn(command)
            command = job.steps.send(None)
        self._start(command, job)

    def _spawn(self, command: commands.Spawn) -> None:
        """Run commands that no caller waits for."""
        name = command.request_id + _BACKGROUND
        job = Job(name, command.steps, _ignore, leaves=False)
        self.jobs[name] = job
        self._resume(job, job.turn, None)

    def _finish(
        self,
        job: Job,
        ended: commands.Answer | FuchsiaforkError | None,
    ) -> None:
        """Hand the end of a request to its caller."""
        self.jobs.pop(job.request_id, None)
        job.end(job.request_id, ended, job.delivered)

    def _give_back(self, message: Any) -> None:
        """Give a grant back whose request has ended."""
        tell = late_reply(message)
        if tell is None or tell.acknowledged_by is None:
            return
        if (message.request_id, tell.acknowledged_by) in self.unacknowledged:
            return
        self._tell(tell)

    def _tell(self, command: commands.SendMessage) -> None:
        """Send a message, and again until it is acknowledged."""
        if command.acknowledged_by is not None:
            key = (command.message.request_id, command.acknowledged_by)
            now = self._network.scheduler.clock.now()
            self.unacknowledged[key] = (now + RESEND_S, command)
        self._send(command.message, command.destination)

    def _send(self, message: Any, destination: str) -> None:
        """Send a message over the link to the keeper, if there is one."""
        if self.keeper:
            self.outbox.send(self.keeper, Carried(message, destination))

    def _later(self, delay: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay in virtual seconds."""
        self._network.scheduler.call_later(delay, callback)

    def _reply_later(self, job: Job, delay: float, reply: Any) -> None:
        """Resume a request with a reply after a delay."""
        self._later(
            delay,
            functools.partial(self._resume, job, job.turn, reply),
        )

    @functools.singledispatchmethod
    def _start(self, command: Any, job: Job) -> None:
        """Begin a command whose reply comes later."""
        raise TypeError(f'unknown command {command!r}')

    @_start.register
    def _(self, command: commands.Sleep, job: Job) -> None:
        self._reply_later(job, command.seconds, None)

    @_start.register
    def _(self, command: commands.RequestReply, job: Job) -> None:
        job.asked_id = command.message.request_id
        job.expects = command.expects
        self._send(command.message, command.destination)
        self._reply_later(job, command.timeout_s, None)

    @_start.register
    def _(self, command: commands.ReadTargetRecord, job: Job) -> None:
        target = self._targets[command.target]
        if not self._reaches(target):
            self._reply_later(job, command.timeout_s, None)
            return
        tokens = target.record_of(command.request_id)
        record = commands.TargetRecord(tokens is not None, tokens or 0)
        self._reply_later(job, 2 * _HOP_S, record)

    @_start.register
    def _(self, command: commands.CallTarget, job: Job) -> None:
        target = self._targets[command.target]
        if not self._reaches(target):
            self._reply_later(job, _HOP_S, commands.ConnectFailed())
            return
        job.response = target.accept(command)
        job.delivered = b''
        remaining = command.deadline - self._network.scheduler.clock.now()
        delay = job.response.delay_s
        head: Any = job.response.head
        if head is None or delay >= remaining:
            head = commands.TargetBroken()
        self._reply_later(job, min(delay, max(0.0, remaining)), head)

    @_start.register
    def _(self, command: commands.RelayStream, job: Job) -> None:
        response = job.response
        assert response is not None  # ruff: ignore[assert]
        relayed, delivered = relay(command, response, leaves=job.leaves)
        job.delivered = delivered
        self._reply_later(job, relayed.tokens * _TOKEN_S, relayed)

    def _reaches(self, target: StandInTarget) -> bool:
        """Return whether a connection to a target can be opened."""
        pair = frozenset((self.identity.domain, target.domain))
        return not target.down and pair not in self._network.partitioned_pairs


def relay(
    command: commands.RelayStream,
    response: Response,
    *,
    leaves: bool,
) -> tuple[commands.RelayResult, bytes]:
    """Return what is seen of a stream, and the bytes for the caller."""
    limit = command.token_limit - command.prompt_tokens
    cut = command.token_limit > 0 and response.tokens > limit
    tokens = limit if cut else response.tokens
    body = response.body
    if cut:
        body = body[: len(body) - 8 * (response.tokens - limit)]
    gone = leaves and tokens > 1
    if gone and not command.drain:
        tokens //= 2
        body = body[: len(body) // 2]
    complete = (
        response.complete and not cut and not (gone and not command.drain)
    )
    whole = complete or (cut and not gone)
    kept = body if whole and len(body) <= command.max_body_bytes else b''
    seen = commands.RelayResult(
        tokens=command.prompt_tokens + tokens,
        complete=complete,
        over_limit=cut and not gone,
        reached_caller=bool(body),
        caller_gone=gone,
        body=kept,
        replayable=bool(kept),
    )
    return seen, body


def carry(node: Any, message: Any, sender: str, destination: str) -> None:
    """Give a keeper a message that may come over a router's link."""
    if isinstance(message, Carried):
        node.receive(message.message, sender, message.destination)
    else:
        node.receive(message, sender, destination)


def base_of(request_id: str) -> str:
    """Return a request id without the suffix of a slot or an attempt."""
    start, separator, number = request_id.partition(NUMBER_SEPARATOR)
    return start + separator + number.partition('.')[0]


def _ignore(request_id: str, ended: Any, delivered: bytes) -> None:
    """Take the end of commands that no caller waits for."""
