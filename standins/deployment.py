"""A small deployment for process tests, measurements and the demo."""

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
    Return a document with one account for each budget.

    The account has the budget's name, its token is ``token-<name>``.
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
    """Return the change that put a whole document into the store."""
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
    """A caller with one client account's token."""

    def __init__(self, account: str) -> None:
        """Call with the account's token; nothing is retried."""
        self._headers = {'Authorization': f'Bearer token-{account}'}
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=CALL_TIMEOUT_S,
            maxsize=64,
        )

    def chat(
        self,
        url: str,
        words: str,
        tokens: int,
        **more: Any,
    ) -> urllib3.BaseHTTPResponse:
        """Return the whole streamed answer of a chat completion."""
        body = {
            'model': 'assistant',
            'messages': [{'role': 'user', 'content': words}],
            'max_tokens': tokens,
            'stream': True,
        }
        return self._pool.request(
            'POST',
            f'{url}/v1/chat/completions',
            headers=self._headers,
            json=body | more,
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


def whole_answer(body: bytes, tokens: int) -> bool:
    """Return whether a streamed answer has all its tokens and its end."""
    return body.count(b'"content"') == tokens and body.endswith(
        b'data: [DONE]\n\n',
    )


def distinct_ids(bodies: Iterable[bytes]) -> bool:
    """Return whether each stream's tokens name one request of its own."""
    seen: set[bytes] = set()
    for body in bodies:
        named = {
            line.partition(b'"content": "')[2].rpartition(b'.')[0]
            for line in body.splitlines()
            if b'"content"' in line
        }
        if len(named) != 1 or named & seen:
            return False
        seen |= named
    return True
