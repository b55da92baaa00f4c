"""Common base of the tests of an owner of target groups."""

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
SUCCEEDED = dataclasses.replace(UNUSED_OBSERVATION, sent=True, tokens=5)
FAILED = dataclasses.replace(UNUSED_OBSERVATION, sent=True, failed=True)
ENGINE_1 = 'a-engine-0'
ENGINE_2 = 'a-engine-1'


def acquire_message(request_id: str, **fields: object) -> messages.AcquireSlot:
    """Return a request for a slot on an engine."""
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
    """A keeper that owns the group of domain a: two engines of 8 slots each."""

    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.context = make_context('a-1/keeper', self.clock)
        self.membership = MembershipSystem(self.context, '127.0.0.1:1')
        self.membership.local_routers.add(ROUTER)
        self.policy = FixedVersions()
        self.owner = DispatchSystem(self.context, self.membership, self.policy)
        self.running = {ENGINE_1: 0, ENGINE_2: 0}
        self.ready = {ENGINE_1: True, ENGINE_2: True}
        self.identities = {ENGINE_1: 'one', ENGINE_2: 'two'}
        self.unresponsive: set[str] = set()
        self.open_slots: list[messages.OpenSlot] = []
        self.sent: list[object] = []
        self.configure(make_document(SITES[0]))
        # Until then slots are reserved for grants that a previous owner made
        # to other domains.
        self.run_for(6)

    def configure(self, document: Document) -> None:
        """Apply a configuration document."""
        self.document = document
        self.policy.configure(document)
        self.owner.configure(document)

    def run_for(self, seconds: float) -> None:
        """Advance the clock, with load reports every 0.25 s."""
        for number in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            self.owner.tick()
            if number % 5 == 4:
                self.deliver_reports()
            self.drain_outbox()

    def deliver_reports(self) -> None:
        """Deliver the load reports of the responsive engines."""
        for name in set(self.running) - self.unresponsive:
            self.owner.handle(self.load_report(name), '')

    def load_report(self, name: str) -> messages.LoadReport:
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

    def drain_outbox(self) -> None:
        """Collect the sent messages; routers answer queries at once."""
        sends, _ = self.context.outbox.drain()
        for send in sends:
            self.sent.append(send.message)
            asked = isinstance(send.message, messages.AskOpenSlots)
            if asked and send.destination not in self.unresponsive:
                answer = messages.OpenSlots(
                    send.destination,
                    tuple(self.open_slots),
                    send.message.ask_id,
                )
                self.owner.handle(answer, send.destination)

    def request(self, request_id: str, **fields: object) -> list[object]:
        """Send a request and return the messages sent in consequence."""
        self.drain_outbox()
        self.sent.clear()
        self.owner.handle(acquire_message(request_id, **fields), ROUTER)
        self.drain_outbox()
        return list(self.sent)

    def grant(self, request_id: str, **fields: object) -> messages.SlotAcquired:
        """Send a request and return its immediate grant."""
        (answer,) = self.request(request_id, **fields)
        assert isinstance(answer, messages.SlotAcquired)
        return answer

    def release(
        self,
        grant: messages.SlotAcquired,
        observation: messages.Observation = SUCCEEDED,
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
        self.drain_outbox()

    def fill(self, count: int = 16) -> list[messages.SlotAcquired]:
        """Fill the engines with ``count`` requests and return their grants."""
        grants = [self.grant(f'fill{number}') for number in range(count)]
        self.open_slots = [
            messages.OpenSlot(one.request_id, one.target, attempt=1)
            for one in grants
        ]
        return grants
