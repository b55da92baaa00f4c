"""Tests of the addresses that stand-ins and programs under test get."""

import unittest

from standins.addresses import free_address
from standins.platform_site import free_port

DRAWS = 1000
FIRST_EPHEMERAL_PORT = 32_768


class TestAddresses(unittest.TestCase):
    """Ports on loopback."""

    def test_no_address_is_drawn_twice(self) -> None:
        """Guards against two programs of a fleet with one address."""
        drawn = [free_address() for _ in range(DRAWS)]
        self.assertEqual(len(set(drawn)), DRAWS)

    def test_ports_are_not_taken_by_outgoing_connections(self) -> None:
        """Guards against a port that is taken before a gateway listens."""
        for _ in range(DRAWS // 10):
            self.assertLess(free_port(), FIRST_EPHEMERAL_PORT)
