"""Tests of the parsing of callers' requests."""

import hashlib
import json
import unittest

from fuchsiafork.configuration import parse_document
from fuchsiafork.kernel import FuchsiaforkError
from fuchsiafork.router.directory import Directory
from fuchsiafork.router.parsing import IncomingRequest, parse_request
from standins.deployment import base_sections
from standins.fleet import Targets, document_text
from standins.virtual import VirtualClock


class ParsingCase(unittest.TestCase):
    """A directory with the account ``bakers``."""

    def setUp(self) -> None:
        """Index a small document."""
        text = document_text(base_sections(Targets(), {'bakers': 1000}))
        self.directory = Directory(parse_document(text), 1, 'a')
        self.clock = VirtualClock()

    def parse(self, body: object, **headers: str):
        """Return the request of a chat body."""
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        incoming = IncomingRequest(
            request_id='r',
            method='POST',
            path='/v1/chat/completions',
            query='',
            headers={'authorization': 'Bearer token-bakers', **headers},
            body=raw,
        )
        return parse_request(incoming, self.directory, self.clock)

    def code(self, body: object, **headers: str) -> int:
        """Return the error code for a body."""
        with self.assertRaises(FuchsiaforkError) as caught:
            self.parse(body, **headers)
        return caught.exception.code


class TestChat(ParsingCase):
    """Chat completions."""

    def test_tools_count_as_prompt(self) -> None:
        """Guards against overspending by fields that become prompt tokens."""
        chat = {
            'model': 'assistant',
            'messages': [{'role': 'user', 'content': 'x'}],
        }
        plain = self.parse(chat).prompt_tokens
        tools = [{'type': 'function', 'function': {'name': 'y' * 500}}]
        wide = self.parse({**chat, 'tools': tools}).prompt_tokens
        self.assertGreaterEqual(wide - plain, 500)

    def test_malformed_bodies_get_codes(self) -> None:
        """Guards against an unexplained 500 for bad input."""
        messages = [{'role': 'user', 'content': 'x'}]
        for body in (
            b'',
            b'\xff',
            [],
            {'model': 'assistant'},
            {'model': 'assistant', 'messages': messages, 'n': 2},
            {'model': 'assistant', 'messages': messages, 'max_tokens': 0},
            {'model': 'assistant', 'messages': messages, 'max_tokens': 'a'},
        ):
            self.assertIn(self.code(body), {2002, 2004}, body)

    def test_unknown_token_and_route_have_different_codes(self) -> None:
        """Guards against a refusal with the wrong cause."""
        body = {'model': 'other', 'messages': [{'content': 'x'}]}
        self.assertEqual(self.code(body), 2004)
        self.assertEqual(self.code(body, authorization='Bearer no'), 2001)
        self.assertEqual(self.code(body, authorization=''), 2001)

    def test_deadline_must_be_a_number(self) -> None:
        """Guards against a deadline that is silently ignored."""
        body = {
            'model': 'assistant',
            'messages': [{'role': 'user', 'content': 'x'}],
        }
        for given in ('soon', 'nan', 'inf'):
            bad = {'x-request-deadline': given}
            self.assertEqual(self.code(body, **bad), 2002, given)
        wall = self.clock.wall() + 3
        given_wall = {'x-request-deadline': str(wall)}
        near = self.parse(body, **given_wall)
        self.assertAlmostEqual(near.deadline, self.clock.now() + 3)

    def test_token_is_kept_as_digest_only(self) -> None:
        """Guards against bearer tokens in the configuration or its index."""
        digest = hashlib.sha256(b'token-bakers').hexdigest()
        account = self.directory.document.accounts['bakers']
        self.assertEqual(account.token_sha256, digest)
        request = self.parse({
            'model': 'assistant',
            'messages': [{'role': 'user', 'content': 'x'}],
        })
        self.assertNotIn('authorization', request.headers)
