"""Run `bendwind`, the operators' command-line client."""

import os
import sys

from expression import Result

from bendwind_cli.outcome import ExitCode, Failure
from bendwind_cli.parsing import Help, parse_arguments
from bendwind_cli.run import run_command


def main() -> None:
    """Run the command given by the arguments and exit with its exit code."""
    sys.exit(run_arguments(sys.argv[1:]))


def run_arguments(arguments: list[str]) -> int:
    """Parse and run a command, print its text or a one-line error, and return the exit code."""
    try:
        return _run(arguments)
    except KeyboardInterrupt:
        return _print_failure(Failure(ExitCode.REFUSED, "interrupted"))
    except BrokenPipeError:
        # The reader of the output, such as `head`, has closed the pipe; this prevents the exit from
        # flushing to it.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.DONE


def _run(arguments: list[str]) -> int:
    match parse_arguments(arguments):
        case Result(tag="error", error=line):
            return _print_failure(Failure(ExitCode.USAGE, f"{line} (see bendwind --help)"))
        case Result(ok=Help() as text):
            print(text, flush=True)
            return ExitCode.DONE
        case Result(ok=command):
            return _print_result(run_command(command))


def _print_result(result: Result[str, Failure]) -> int:
    match result:
        case Result(tag="error", error=failure):
            return _print_failure(failure)
        case Result(ok=text):
            print(text, flush=True)
            return ExitCode.DONE


def _print_failure(failure: Failure) -> int:
    line = " ".join(failure.line.split())
    print(f"bendwind: {line}", file=sys.stderr, flush=True)
    return failure.code


if __name__ == "__main__":
    main()
