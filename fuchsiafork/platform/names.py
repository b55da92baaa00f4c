"""Header names, paths and store keys of the platform."""

# Headers. Each client attempt has its own id; a retry gets a new one.
REQUEST_ID = 'x-attempt-id'
# Remaining milliseconds until the deadline of the caller or of the gateway.
TIME_LEFT_MS = 'x-deadline-ms'
# Message authentication code of the response, computed by the target.
ANSWER_MAC = 'x-response-seal'
# Set on a refusal if the target did not run the request.
NOT_RUN = 'x-not-executed'
# Requests a second that a target in need accepts from all VMs together.
RATE_LIMIT = 'server-limit'
# Set to LEAVING in each answer of a leaving target.
TARGET_LEAVING = 'server-leaving'
LEAVING = '1'
# Id of the only target that may accept the request; others refuse it.
EXPECTED_TARGET = 'x-expect-instance'
ACCOUNT = 'x-tenant'
# Prompt tokens and maximum output tokens, separated by a comma.
TOKEN_COUNT = 'x-token-count'  # ruff: ignore[hardcoded-password-string]
# Parts of the prompt in order, as comma-separated ID:TOKENS entries.
PROMPT_PARTS = 'x-prompt-prefix'
# The caller's estimate of the output tokens.
LENGTH_HINT = 'x-length-hint'
# Priority of a request in an engine's batch; 0 is the most urgent.
URGENCY = 'x-request-urgency'
AUTHORIZATION = 'authorization'
LAST_EVENT_ID = 'last-event-id'
RETRY_AFTER = 'retry-after'

# Headers that only the gateway may set; those of a caller are dropped.
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

# Rises with each return of the platform's store from a copy.
STORE_ERA = 'store-era'

READY_PATH = '/api/readiness'

# Keys of the platform's store.
CONFIGURATION_KEY = 'op/config'
OPERATOR_PREFIX = 'op/'
TARGETS_PREFIX = 'servers/'
