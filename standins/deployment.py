"""Configuration and callers of a small deployment."""

import secrets
from collections.abc import Iterable
from typing import Any

import urllib3

from fuchsiafork.adapters.store import StoreClient
from fuchsiafork.configuration import Change, ConfigurationStore
from fuchsiafork.configuration.sections import split_sections
from standins.fleet import Targets, account_section, document_text

Sections = dict[str, dict[str, str]]

CALL_TIMEOUT_S = 30.0


def base_sections(targets: Targets, budgets: dict[str, int]) -> Sections:
    """
    Return a configuration document with one client account for each budget.

    The account has the name of its budget; its bearer token is
    ``token-<name>``.
    """
    sections: Sections = {
        'pool:assistant': {'owner': 'platform', 'kind': 'engine'},
        'pool:orders': {'owner': 'platform', 'kind': 'service'},
        'version:v1': {'owner': 'platform', 'pool': 'assistant'},
        'version:orders-v1': {'owner': 'platform', 'pool': 'orders'},
        'route:assistant': {
            'owner': 'platform',
            'pool': 'assistant',
            'version': 'v1',
            'prompt_bytes_per_token': '1',
        },
        'route:orders': {
            'owner': 'platform',
            'pool': 'orders',
            'version': 'orders-v1',
        },
    }
    for name, tokens in budgets.items():
        sections[f'budget:{name}'] = {
            'owner': 'sales',
            'opening_tokens': str(tokens),
        }
        sections[f'account:{name}'] = account_section(f'token-{name}', name)
    return sections | targets.sections()


def apply_sections(store_url: str, sections: Sections) -> Change:
    """Replace the configuration document in the store and return the change."""
    text = document_text(sections)
    change = Change(
        change_id=secrets.token_hex(8),
        owner='stand-ins',
        author='stand-ins',
        wall_s=0,
        revision=0,
    )
    store = ConfigurationStore(StoreClient([store_url]))
    return store.apply(change, lambda _: split_sections(text))


class CallerClient:
    """HTTP client that authenticates as one client account."""

    def __init__(self, account: str) -> None:
        """Use the account's bearer token; calls aren't retried."""
        self._headers = {'Authorization': f'Bearer token-{account}'}
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=CALL_TIMEOUT_S,
            maxsize=64,
        )

    def chat(
        self,
        url: str,
        prompt: str,
        tokens: int,
        **extra_fields: Any,
    ) -> urllib3.BaseHTTPResponse:
        """Return the answer of a streamed chat completion, read to its end."""
        body = {
            'model': 'assistant',
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': tokens,
            'stream': True,
        }
        return self._pool.request(
            'POST',
            f'{url}/v1/chat/completions',
            headers=self._headers,
            json=body | extra_fields,
        )

    def order(
        self,
        url: str,
        key: str,
        body: dict[str, Any],
    ) -> urllib3.BaseHTTPResponse:
        """Return the answer of a non-idempotent call."""
        return self._pool.request(
            'POST',
            f'{url}/v1/services/orders/flour',
            headers={**self._headers, 'Idempotency-Key': key},
            json=body,
        )

    def look_up(self, url: str) -> urllib3.BaseHTTPResponse:
        """Return the answer of an idempotent call."""
        return self._pool.request(
            'GET',
            f'{url}/v1/services/orders/stock',
            headers=self._headers,
        )


def is_complete_answer(body: bytes, tokens: int) -> bool:
    """Return whether a streamed answer has all its tokens and its end mark."""
    return body.count(b'"content"') == tokens and body.endswith(
        b'data: [DONE]\n\n',
    )


def have_distinct_request_ids(bodies: Iterable[bytes]) -> bool:
    """Return whether each answer names exactly one request, all different."""
    seen_ids: set[bytes] = set()
    for body in bodies:
        request_ids = {
            line.partition(b'"content": "')[2].rpartition(b'.')[0]
            for line in body.splitlines()
            if b'"content"' in line
        }
        if len(request_ids) != 1 or request_ids & seen_ids:
            return False
        seen_ids |= request_ids
    return True
