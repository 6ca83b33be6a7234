"""Define the base class of all immutable records that are stored or sent."""

import msgspec


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Hold immutable data that compares by value and is encoded as an array.

    >>> class Point(Record, frozen=True, array_like=True):
    ...     x: int
    >>> Point(3) == Point(3)
    True
    """
