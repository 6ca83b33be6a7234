"""Name what encoders raise, and describe it in a bounded form."""

import msgspec

# For integers beyond 64 bits, for texts that are not Unicode, for values of other types, and for
# values nested too deeply.
ENCODE_ERRORS = (msgspec.MsgspecError, OverflowError, ValueError, TypeError, RecursionError)
_MAX_REASON_CHARACTERS = 200


def describe_reason(error: Exception) -> str:
    """Return the text of an exception in ASCII, cut to a bounded length."""
    return ascii(str(error)[:_MAX_REASON_CHARACTERS])
