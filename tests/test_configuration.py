"""Tests of the configuration document: syntax, rules and sections."""

import unittest

from fuchsiafork.configuration import parse_document, sections
from fuchsiafork.kernel.errors import (
    ConfigurationConflictError,
    ConfigurationError,
)

TOKEN_A = 'a' * 64
TOKEN_B = 'b' * 64

SAMPLE = f"""
[budget:ovens]
owner = money
opening_tokens = 1000
[account:delta]
owner = money
budget = ovens
token_sha256 = {TOKEN_A}
routes = plans
[account:crumb]
owner = money
budget = ovens
token_sha256 = {TOKEN_B}
[pool:assistant]
owner = models
kind = engine
[pool:orders]
owner = models
kind = service
[version:a1]
owner = models
pool = assistant
[version:a2]
owner = models
pool = assistant
[version:o1]
owner = models
pool = orders
[route:plans]
owner = models
pool = assistant
version = a1
[target:t1]
owner = models
url = http://10.0.0.1:80
domain = delta
version = a1
capacity = 8
[target:t2]
owner = models
url = http://10.0.0.2:80
domain = delta
version = a2
capacity = 8
# Switches the plans to the new weights.
[rollout:r1]
owner = models
route = plans
old = a1
new = a2
start = 2027-01-01T00:00:00Z
deadline = 2027-01-01T01:00:00Z
"""

SECOND_ROLLOUT = """
[rollout:r2]
owner = models
route = plans
old = a1
new = a2
start = 2027-01-01T00:30:00Z
deadline = 2027-01-01T02:00:00Z
"""

# Replaced text, its replacement, and a pattern that the error must match.
INVALID_EDITS = (
    ('kind = engine', 'kin = engine', r'\[pool:assistant\] kin: unknown key'),
    ('budget = ovens', 'budget = x', r'delta\] budget: no section \[budget:x'),
    ('routes = plans', 'routes = a b', r'delta\] routes: .*\[route:b\]'),
    (TOKEN_B, TOKEN_A, r'crumb\] token_sha256: same as in \[account:delta'),
    ('10.0.0.2', '10.0.0.1', r'\[target:t2\] url: same as in \[target:t1\]'),
    ('version = a1', 'version = o1', r'plans\] version: .o1. is not a ver'),
    ('new = a2', 'new = o1', r'\[rollout:r1\] new: .o1. is not a version'),
    ('new = a2', 'new = a1', r'\[rollout:r1\]: old and new must differ'),
    ('T01:', 'T00:', r'\[rollout:r1\]: deadline must be after start'),
    ('00Z\n', '00\n', r'\[rollout:r1\] start: '),
    ('= 1000', '= -1', r'ovens\] opening_tokens: '),
    ('= 1000', f'= {2**53 + 1}', r'ovens\] opening_tokens: '),
    ('capacity = 8', 'capacity = 0', r'\[target:t1\] capacity: '),
    ('[pool:', '[pond:', r'\[pond:assistant\]: unknown section'),
    ('[version:a2]', '[version:a1]', r'\[version:a1\]: line .* twice'),
    ('kind = engine', 'kind=engine\nkind=x', r'\] kind: line .* twice'),
    ('[version:a2]', '[version:A2]', r'\[version:A2\]: String should match'),
    ('[budget:ovens]', 'x', r'line 2: no section header'),
    ('[budget:ovens]', '[DEFAULT]', r'\[DEFAULT\]: unknown section'),
    ('kind = engine', 'kind engine', r'line \d+: neither a key nor'),
    ('\n[rollout:r1]', f'{SECOND_ROLLOUT}[rollout:r1]', r'r2\] start: overl'),
)


class TestValidation(unittest.TestCase):
    """Validation of a document."""

    def test_every_error_has_location_reason_and_code(self) -> None:
        """Guards against accepting an invalid document."""
        self.assertEqual(parse_document(SAMPLE).accounts['crumb'].routes, ())
        for old, new, expected in INVALID_EDITS:
            with self.subTest(replaced=old, by=new):
                self.assertIn(old, SAMPLE)
                with self.assertRaisesRegex(ConfigurationError, expected) as e:
                    parse_document(SAMPLE.replace(old, new, 1), 'x.ini')
                for line in str(e.exception).splitlines():
                    self.assertRegex(line, r'^x\.ini: .*\(code 1201\)$')

    def test_all_errors_are_listed_together(self) -> None:
        """Guards against reporting only the first error of a document."""
        text = SAMPLE.replace('= 8', '= 0').replace('= engine', '= e')
        with self.assertRaises(ConfigurationError) as caught:
            parse_document(text)
        self.assertEqual(len(str(caught.exception).splitlines()), 3)

    def test_sum_of_budgets_is_bounded(self) -> None:
        """Guards against a sum that JSON readers round."""
        text = SAMPLE.replace('= 1000', f'= {2**53}')
        extra_budget = '[budget:b2]\nowner = money\nopening_tokens = 1\n'
        parse_document(text)
        with self.assertRaisesRegex(ConfigurationError, r'b2\] opening.*sum'):
            parse_document(f'{text}\n{extra_budget}')


class TestSections(unittest.TestCase):
    """Splitting a document and replacing the sections of one owner."""

    def setUp(self) -> None:
        self.all_sections = sections.split_sections(SAMPLE)
        self.team_sections = sections.owned_by(self.all_sections, 'money')
        self.base_digests = sections.digests(self.team_sections)

    def test_split_and_join_keep_the_document(self) -> None:
        """Guards against losing sections or comments."""
        joined = sections.join_sections(self.all_sections)
        self.assertEqual(parse_document(joined), parse_document(SAMPLE))
        self.assertEqual(sections.split_sections(joined), self.all_sections)
        self.assertIn('# Switches the plans', self.all_sections['rollout:r1'])
        with self.assertRaisesRegex(ConfigurationError, 'start its line'):
            sections.split_sections(' [pool:x]\nowner = y\n')

    def test_only_the_owners_sections_change(self) -> None:
        """Guards against changing the sections of another owner."""
        wanted = {
            **self.team_sections,
            'budget:new': '[budget:new]\nowner = money\n',
        }
        wanted.pop('account:crumb')
        after = sections.replace_owned(
            self.all_sections, 'money', wanted, self.base_digests
        )
        changed = set(after) ^ set(self.all_sections)
        self.assertEqual(changed, {'budget:new', 'account:crumb'})

    def test_stale_base_is_a_conflict_with_the_difference(self) -> None:
        """Guards against silently undoing a concurrent change."""
        text = self.all_sections['budget:ovens'].replace('1000', '2000')
        changed = {**self.all_sections, 'budget:ovens': text}
        with self.assertRaises(ConfigurationConflictError) as caught:
            sections.replace_owned(
                changed, 'money', self.team_sections, self.base_digests
            )
        message = str(caught.exception)
        self.assertIn('-opening_tokens = 2000', message)
        self.assertIn('+opening_tokens = 1000', message)
        self.assertNotIn('token_sha256', message)
        with self.assertRaises(ConfigurationConflictError):
            sections.replace_owned(self.all_sections, 'money', {}, {})
        same = sections.replace_owned(
            self.all_sections, 'money', self.team_sections, {}
        )
        self.assertEqual(same, self.all_sections)

    def test_sections_of_others_cannot_be_replaced(self) -> None:
        """Guards against overwriting the sections of another owner."""
        pool = '[pool:orders]\nowner = money\nkind = engine\n'
        with self.assertRaisesRegex(ConfigurationConflictError, 'another'):
            sections.replace_owned(
                self.all_sections,
                'money',
                {**self.team_sections, 'pool:orders': pool},
                self.base_digests,
            )
        with self.assertRaisesRegex(ConfigurationError, 'is not .money.'):
            sections.replace_owned(
                self.all_sections, 'money', self.all_sections, self.base_digests
            )
