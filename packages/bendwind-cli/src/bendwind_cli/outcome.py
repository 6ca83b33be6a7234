"""Define the failures of commands and the exit code of each failure."""

import enum

import msgspec


class ExitCode(enum.IntEnum):
    """List the exit codes of `bendwind`; README.md explains each."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    NO_ANSWER = 3
    UNKNOWN_PLAN = 4
    BAD_TOML = 5
    LOST_RACE = 6
    NO_CREDENTIALS = 7
    OUTCOME_UNKNOWN = 8


class Failure(msgspec.Struct, frozen=True):
    """Hold the reason for a failure in one line; `is_slow` if a server took too long to answer."""

    code: ExitCode
    line: str
    is_slow: bool = False
