"""JSON body of an error response."""

import json

from fuchsiafork.kernel.errors import FuchsiaforkError


def refusal_body(request_id: str, error: FuchsiaforkError) -> bytes:
    """Return the JSON body for a refused request."""
    return json.dumps({
        'error': {
            'code': error.code,
            'type': type(error).__name__.removesuffix('Error'),
            'message': str(error),
            'run_state': error.run_state,
            'retry_safe': error.retry_safe,
        },
        'request_id': request_id,
    }).encode()
