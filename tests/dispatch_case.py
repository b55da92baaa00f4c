"""Common parts of the tests of an owner of target groups."""

import dataclasses
import unittest

from fuchsiafork import messages
from fuchsiafork.configuration import Document
from fuchsiafork.dispatch import DispatchSystem, FixedVersions
from fuchsiafork.dispatch.router_slots import UNUSED_OBSERVATION
from fuchsiafork.membership import MembershipSystem
from measurements.targets_load import SITES, make_document
from standins.virtual import VirtualClock
from tests.test_kernel import make_context

ROUTER = 'a-1/router'
GOOD = dataclasses.replace(UNUSED_OBSERVATION, sent=True, tokens=5)
BAD = dataclasses.replace(UNUSED_OBSERVATION, sent=True, failed=True)
ONE = 'a-engine-0'
TWO = 'a-engine-1'


def wish(request_id: str, **fields: object) -> messages.AcquireSlot:
    """Return a request for an engine."""
    row = messages.AcquireSlot(
        request_id=request_id,
        route='engine',
        group='engine/0',
        account='x',
        priority=5,
        deadline_s=10,
        prefixes=(),
        exclude=(),
        foreign=False,
        attempt=1,
    )
    return dataclasses.replace(row, **fields)


class OwnerCase(unittest.TestCase):
    """One keeper that owns the groups of domain a: two engines of 8 slots."""

    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.context = make_context('a-1/keeper', self.clock)
        self.membership = MembershipSystem(self.context, '127.0.0.1:1')
        self.membership.local_routers.add(ROUTER)
        self.policy = FixedVersions()
        self.owner = DispatchSystem(self.context, self.membership, self.policy)
        self.running = {ONE: 0, TWO: 0}
        self.ready = {ONE: True, TWO: True}
        self.identities = {ONE: 'one', TWO: 'two'}
        self.silent: set[str] = set()
        self.answers: list[messages.OpenSlot] = []
        self.mail: list[object] = []
        self.configure(make_document(SITES[0]))
        # Past the time in which slots are held back for other domains.
        self.step(6)

    def configure(self, document: Document) -> None:
        """Bring a document into force."""
        self.document = document
        self.policy.configure(document)
        self.owner.configure(document)

    def step(self, seconds: float) -> None:
        """Let time pass, with load reports every 0.25 s."""
        for number in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            self.owner.tick()
            if number % 5 == 4:
                self.report()
            self.collect()

    def report(self) -> None:
        """Deliver the load reports of both engines."""
        for name in set(self.running) - self.silent:
            self.owner.handle(self.report_of(name), '')

    def report_of(self, name: str) -> messages.LoadReport:
        """Return the load report of an engine."""
        return messages.LoadReport(
            name,
            self.identities[name],
            'engine-v1',
            self.ready[name],
            self.running[name],
            8,
            self.clock.now(),
        )

    def collect(self) -> None:
        """Read the outbox; routers answer questions at once."""
        sends, _ = self.context.outbox.drain()
        for send in sends:
            self.mail.append(send.message)
            asked = isinstance(send.message, messages.AskOpenSlots)
            if asked and send.destination not in self.silent:
                answer = messages.OpenSlots(
                    send.destination,
                    tuple(self.answers),
                    send.message.ask_id,
                )
                self.owner.handle(answer, send.destination)

    def ask(self, request_id: str, **fields: object) -> list[object]:
        """Return the messages that a request brings about."""
        self.collect()
        self.mail.clear()
        self.owner.handle(wish(request_id, **fields), ROUTER)
        self.collect()
        return list(self.mail)

    def grant(self, request_id: str, **fields: object) -> messages.SlotAcquired:
        """Return the grant that a request gets at once."""
        (answer,) = self.ask(request_id, **fields)
        assert isinstance(answer, messages.SlotAcquired)
        return answer

    def release(
        self,
        grant: messages.SlotAcquired,
        observation: messages.Observation = GOOD,
        owner_now: str = '',
    ) -> None:
        """Release the slot of a grant."""
        release = messages.ReleaseSlot(
            grant.request_id,
            grant.route,
            'engine/0',
            grant.target,
            grant.version,
            grant.owner,
            observation,
            grant.attempt,
            owner_now,
        )
        self.owner.handle(release, ROUTER)
        self.collect()

    def fill(self, count: int = 16) -> list[messages.SlotAcquired]:
        """Return the grants of as many requests."""
        grants = [self.grant(f'fill{number}') for number in range(count)]
        self.answers = [
            messages.OpenSlot(one.request_id, one.target, attempt=1)
            for one in grants
        ]
        return grants
