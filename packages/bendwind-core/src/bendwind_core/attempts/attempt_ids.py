"""Assign the ids of one entry node's attempts."""

import msgspec

from bendwind_core.attempts.messages import AttemptId


class AttemptIds(msgspec.Struct):
    """Hold the last sequence number assigned by this incarnation of an entry node."""

    entry: str
    incarnation: int
    last: int = 0


def next_attempt_id(ids: AttemptIds) -> AttemptId:
    """Return a new attempt id with the next sequence number.

    >>> next_attempt_id(AttemptIds("sala-norte-1", 3)).sequence
    1
    """
    ids.last += 1
    return AttemptId(ids.entry, ids.incarnation, ids.last)
