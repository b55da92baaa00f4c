"""
Starts the real programs as processes on loopback, until interrupted.

python -m standins.run_fleet --minutes 10
"""

import argparse
import time

from standins.deployment import apply_sections, base_sections
from standins.fleet import ProcessFleet, Targets, make_vms

DOMAINS = ('delta-a', 'delta-b', 'delta-c')
BUDGETS = {'bakers': 1_000_000, 'poor': 200}

_HELP = """
Call the assistant (account bakers; token-poor has few prepaid tokens):
  curl -N {url}/v1/chat/completions -H 'Authorization: Bearer token-bakers' \\
    -d '{{"model": "assistant", "stream": true, "max_tokens": 20,
         "messages": [{{"role": "user", "content": "how long to proof?"}}]}}'
Place an order that is run once, even if it is sent again:
  curl {url}/v1/services/orders/flour -H 'Authorization: Bearer token-bakers' \\
    -H 'Idempotency-Key: order-1' -d '{{"sacks": 3}}'
Show all processes and their events in order of time:
  fuchsiafork status --admin {admin}
  fuchsiafork-timeline --admin {admin}
Show configuration and token budgets in the key-value stand-in:
  fuchsiafork config show --store {store}
  fuchsiafork budget show --store {store}
"""


def main() -> None:
    """Run a fleet and print example commands."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--minutes', type=float, default=10)
    options = parser.parse_args()
    targets = Targets()
    for domain in DOMAINS:
        targets.add_engine(f'engine-{domain}', domain)
        targets.add_service(f'orders-{domain}', domain)
    fleet = ProcessFleet(make_vms(DOMAINS, 2))
    try:
        _serve(fleet, targets, options.minutes)
    except KeyboardInterrupt:
        print('stopping')
    finally:
        fleet.stop()
        targets.stop()


def _serve(fleet: ProcessFleet, targets: Targets, minutes: float) -> None:
    """Start the fleet and keep it running for some minutes."""
    fleet.start()
    apply_sections(fleet.store.url, base_sections(targets, BUDGETS))
    fleet.wait_ready()
    _explain(fleet)
    time.sleep(minutes * 60)


def _explain(fleet: ProcessFleet) -> None:
    """Print the addresses and example commands."""
    print(f'{"VM":12}{"callers":28}{"router admin":24}keeper admin')
    for vm in fleet.vms:
        print(
            f'{vm.name:12}{vm.url:28}{vm.router_admin:24}{vm.keeper_admin}',
        )
    first = fleet.vms[0]
    print(
        _HELP.format(
            url=first.url,
            admin=first.keeper_admin,
            store=fleet.store.url,
        ),
        flush=True,
    )


if __name__ == '__main__':
    main()
