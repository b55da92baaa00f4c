"""One deployment of the demonstration."""

import dataclasses
from typing import Any

from standins.platform_site import PlatformSite, make_route
from standins.platform_targets import EVENT_TOKENS, Behaviour, PlatformTarget

ENGINES = 6
ACCOUNTS = 10
PREPAID = 400_000
# Small enough that some requests of it are refused in the demonstration.
SMALL_PREPAID = 6_000
BAD_VERSION = 'v2'
BAD_TARGETS = 2
ROLLOUT_S = 6
# Most requests that the engine stand-ins can hold at once.
ENGINE_LIMIT = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """
    What differs between the users.

    :ivar domains: failure domains.
    :ivar vms: gateways in each of them.
    """

    name: str
    domains: tuple[str, ...]
    vms: tuple[int, ...]
    services: int


DEPLOYMENTS = (
    Deployment('qalyub', ('delta-a', 'delta-b', 'delta-c'), (4, 2, 2), 3),
    Deployment(
        'kilele',
        ('kariakoo', 'mikocheni', 'temeke', 'ubungo'),
        (2, 2, 2, 1),
        4,
    ),
)


class DemoSite(PlatformSite):
    """A deployment with its accounts."""

    def __init__(self, deployment: Deployment) -> None:
        """Prepare a deployment."""
        super().__init__()
        self.deployment = deployment
        self.prepaid = {
            f'account-{number}': PREPAID if number else SMALL_PREPAID
            for number in range(ACCOUNTS)
        }

    async def start_all(self) -> None:
        """Start store, replicas and gateways."""
        domains = self.deployment.domains
        engines = [
            PlatformTarget(f'e-{n}', 'engine', domains[n % len(domains)])
            for n in range(ENGINES)
        ]
        for engine in engines:
            engine.behaviour = Behaviour(events=8, delay_s=0.02)
        plain = [
            PlatformTarget(f's-{n}', 'plain', domains[n % len(domains)])
            for n in range(self.deployment.services)
        ]
        for target in plain:
            target.behaviour = Behaviour(delay_s=0.03)
        await self.start(self._configuration(), [*engines, *plain])
        for domain, count in zip(domains, self.deployment.vms, strict=True):
            for number in range(count):
                await self.add_gateway(f'{domain}-{number}', domain)

    async def start_bad_version(self) -> None:
        """Order the services to move to a version that fails."""
        order = {'service': 'plain', 'to': BAD_VERSION, 'durationS': ROLLOUT_S}
        self.store.put('op/rollout/plain', order)
        for number in range(BAD_TARGETS):
            target = PlatformTarget(
                f'bad-{number}',
                'plain',
                self.deployment.domains[number],
            )
            target.behaviour = Behaviour(status=500, delay_s=0.02)
            await self.add_target(target, version=BAD_VERSION)

    def _configuration(self) -> dict[str, Any]:
        """Return the configuration in the operator's form."""
        engine = {'sessionAffinity': True, 'timeoutMs': 8000}
        resumable = {**engine, 'streamResume': True, 'maxAttempts': 2}
        return {
            'version': 1,
            'routes': [
                make_route('/plan/', 'streaming', 'engine', **engine),
                make_route('/ask/', 'streaming', 'engine', **resumable),
                make_route('/order/', 'unsafe', 'plain'),
                make_route('/look/', 'safe', 'plain', maxAttempts=2),
            ],
            'services': [
                {'name': 'plain', 'maxConnections': 110},
                {
                    'name': 'engine',
                    'maxConnections': 370,
                    'engine': {'slots': 64, 'stride': EVENT_TOKENS},
                },
            ],
            'limits': {},
            'tenants': [
                {'name': name, 'apiKeys': [f'key-{name}'], 'prepaid': tokens}
                for name, tokens in self.prepaid.items()
            ],
        }
