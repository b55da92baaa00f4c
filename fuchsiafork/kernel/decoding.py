"""Errors of decoders that convert the content of a message."""

# Raised for content of another form than expected: missing fields, other types,
# numbers out of range, or content that is nested too deeply.
DECODE_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)

__all__ = ('DECODE_ERRORS',)
