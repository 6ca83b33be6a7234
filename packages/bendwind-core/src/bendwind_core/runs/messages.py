"""Define the messages by which nodes report runs of upstreams and learn what was reported."""

from bendwind_core.core import Record, Unsigned64
from bendwind_core.runs.record import RunRecord

# A process sends fewer numbered messages in its life.
_NUMBERS_PER_INCARNATION = 1 << 20


def find_first_number(incarnation: int) -> int:
    """Return the number that a process begins with.

    An answer to an earlier process of the same name may reach this one, which never sent its
    number.
    """
    return incarnation * _NUMBERS_PER_INCARNATION


class ReportRuns(Record, frozen=True, array_like=True, tag="runs"):
    """Report runs of the upstreams on the sender's instance to a voter; `number` is repeated."""

    number: Unsigned64
    records: tuple[RunRecord, ...]


class RunsRecorded(Record, frozen=True, array_like=True, tag="runs-recorded"):
    """Confirm that the control log holds what a ReportRuns said, or something newer.

    `refused` names the upstreams whose records no entry of the log can hold.
    """

    number: Unsigned64
    refused: tuple[str, ...] = ()


class ForwardRuns(Record, frozen=True, array_like=True, tag="runs-forwarded"):
    """Pass reports of several nodes on from a voter to the leader."""

    number: Unsigned64
    records: tuple[RunRecord, ...]


class ForwardedRecorded(Record, frozen=True, array_like=True, tag="forwarded-recorded"):
    """Confirm a ForwardRuns as RunsRecorded confirms a ReportRuns."""

    number: Unsigned64


class QueryRuns(Record, frozen=True, array_like=True, tag="runs?"):
    """Query the runs that were reported for the sender's instance, also by its earlier runs."""

    number: Unsigned64


class RunsAnswer(Record, frozen=True, array_like=True, tag="runs!"):
    """Answer a QueryRuns with everything that was confirmed before the query was sent."""

    number: Unsigned64
    records: tuple[RunRecord, ...]
