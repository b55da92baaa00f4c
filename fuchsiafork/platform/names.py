"""Header names, paths and keys of the platform."""

# Headers. A client attempt has an id of its own; a retry has another one.
REQUEST_ID = 'x-attempt-id'
# Milliseconds that the caller, or this system, still waits.
TIME_LEFT_MS = 'x-deadline-ms'
# Message authentication code over the answer, made by the target.
ANSWER_MAC = 'x-response-seal'
# Says that a refusing target has not run the request.
NOT_RUN = 'x-not-executed'
# Makes any other target than the named one refuse the request.
EXPECTED_TARGET = 'x-expect-instance'
ACCOUNT = 'x-tenant'
# Prompt tokens and the most output tokens, separated by a comma.
TOKEN_COUNT = 'x-token-count'  # ruff: ignore[hardcoded-password-string]
# Parts of the prompt in order, as ID:TOKENS entries.
PROMPT_PARTS = 'x-prompt-prefix'
# Rank of a request in an engine's batch, 0 first.
URGENCY = 'x-request-urgency'
AUTHORIZATION = 'authorization'
LAST_EVENT_ID = 'last-event-id'
RETRY_AFTER = 'retry-after'

# Headers that only this system may set; a caller's are dropped.
OWN_HEADERS = frozenset((
    ACCOUNT,
    AUTHORIZATION,
    EXPECTED_TARGET,
    TIME_LEFT_MS,
    URGENCY,
    'x-expect-version',
    'x-hold',
    'x-pin-ms',
    'x-kv-backup',
    'kv-from',
    'kv-fetch',
))

READY_PATH = '/api/readiness'

# Keys of the platform's store.
CONFIGURATION_KEY = 'op/config'
OPERATOR_PREFIX = 'op/'
TARGETS_PREFIX = 'servers/'
