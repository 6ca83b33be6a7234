"""Run `bendwind`, the operators' command-line client."""

import os
import sys

from expression import Result

from bendwind_cli.outcome import ExitCode, Failure
from bendwind_cli.parsing import Help, parse_arguments
from bendwind_cli.run import run_command


def main() -> None:
    """Run the command that the arguments name and exit with its code."""
    sys.exit(run_arguments(sys.argv[1:]))


def run_arguments(arguments: list[str]) -> int:
    """Parse and run a command, print its text or one line of error, and return the exit code."""
    try:
        return _run(arguments)
    except KeyboardInterrupt:
        return _fail(Failure(ExitCode.REFUSED, "interrupted"))
    except BrokenPipeError:
        # The reader of our output, such as `head`, has gone; keep the exit from flushing to it.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.DONE


def _run(arguments: list[str]) -> int:
    match parse_arguments(arguments):
        case Result(tag="error", error=line):
            return _fail(Failure(ExitCode.USAGE, f"{line} (see bendwind --help)"))
        case Result(ok=Help() as text):
            print(text, flush=True)
            return ExitCode.DONE
        case Result(ok=command):
            return _finish(run_command(command))


def _finish(result: Result[str, Failure]) -> int:
    match result:
        case Result(tag="error", error=failure):
            return _fail(failure)
        case Result(ok=text):
            print(text, flush=True)
            return ExitCode.DONE


def _fail(failure: Failure) -> int:
    line = " ".join(failure.line.split())
    print(f"bendwind: {line}", file=sys.stderr, flush=True)
    return failure.code


if __name__ == "__main__":
    main()
