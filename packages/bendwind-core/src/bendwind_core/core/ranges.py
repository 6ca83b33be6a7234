"""State the ranges of all numbers that come from outside a process, or are stored or sent.

A type carries its range, so that a decoder refuses a number that the rest cannot hold: the control
log holds integers of 64 bits, and neither a deadline nor a rate may be infinite or NaN.
"""

import sys
from typing import Annotated

from msgspec import Meta

MIN_INT64 = -(2**63)
MAX_INT64 = 2**63 - 1
# In milliseconds 31,000 years. Doubles of this size still tell whole numbers apart, and sums and
# products of a few of them stay finite.
MAX_AMOUNT = 1e15
# One in 30 years. Quotients by it stay finite, also by a small part of it.
MIN_RATE_PER_S = 1e-9
# No sender keeps to less than a millisecond.
MIN_TIME_LIMIT_MS = 1.0
# Far above the slots of any deployment; a larger value comes from a faulty sender.
MAX_SLOTS = 1_000_000
MAX_PORT = 65_535
# One week; no upstream takes this long to warm up.
MAX_WARM_UP_MS = 604_800_000
# In the year 2286; no run of an upstream has started later.
MAX_BORN_MS = 9_999_999_999_999

Int64 = Annotated[int, Meta(ge=MIN_INT64, le=MAX_INT64)]
# A limit of any size, which is lowered to MAX_INT64 where it is taken over.
AnyCount = Annotated[int, Meta(ge=0)]
AtLeastOne = Annotated[int, Meta(ge=1)]
# An integer of an entry of the control log, which holds whatever earlier releases accepted.
Storable = Annotated[int, Meta(ge=MIN_INT64)]
# A count, size, number, version or position, or a rank of which 0 is the most urgent.
Count = Annotated[int, Meta(ge=0, le=MAX_INT64)]
# 64 bits without a sign, as digests and random ids have. msgspec states no bound above 63 bits;
# frames and files hold no integer above 64 bits.
Unsigned64 = Annotated[int, Meta(ge=0)]
# The order of an upstream's announcements, 0 for none; MAX_SEQUENCE is one above 63 bits.
SequenceNumber = Storable
MAX_SEQUENCE = MAX_INT64 + 1
# The millisecond at which a process started, or more. Numbers that begin with a multiple of it have
# to stay below 64 bits.
Incarnation = Annotated[int, Meta(ge=0, le=MAX_BORN_MS)]

Port = Annotated[int, Meta(ge=0, le=MAX_PORT)]
Slots = Annotated[int, Meta(ge=0, le=MAX_SLOTS)]
BornMs = Annotated[int, Meta(ge=0, le=MAX_BORN_MS)]
WarmUpMs = Annotated[float, Meta(ge=0, le=MAX_WARM_UP_MS)]

# A quantity, rate or time of any size, which is lowered to MAX_AMOUNT where it is used.
AnyAmount = Annotated[float, Meta(ge=0)]
PositiveAmount = Annotated[float, Meta(gt=0)]
# A limit on the time that a sender takes.
TimeLimitMs = Annotated[float, Meta(ge=MIN_TIME_LIMIT_MS)]
# Any number that is neither infinite nor NaN, such as a time that derives from a configuration.
Finite = Annotated[float, Meta(ge=-sys.float_info.max, le=sys.float_info.max)]
# Any number from there on but NaN, such as a limit that is infinite once it has been lifted.
Measure = Annotated[float, Meta(ge=-sys.float_info.max)]
# A finite difference, such as the time left until a deadline that may have passed.
SignedAmount = Annotated[float, Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
