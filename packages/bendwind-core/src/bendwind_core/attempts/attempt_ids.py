"""Number the attempts of one entry node."""

import msgspec

from bendwind_core.attempts.messages import AttemptId


class AttemptIds(msgspec.Struct):
    """Hold the last sequence number given out by this run of an entry node."""

    entry: str
    incarnation: int
    last: int = 0


def next_attempt_id(ids: AttemptIds) -> AttemptId:
    """Give out the next attempt id.

    >>> next_attempt_id(AttemptIds("sala-norte-1", 3)).sequence
    1
    """
    ids.last += 1
    return AttemptId(ids.entry, ids.incarnation, ids.last)
