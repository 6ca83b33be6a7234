"""Run a case: 1 if its rule was broken, 0 if it held, 2 if the case could not run."""

import asyncio
import os
import signal
import traceback

from stand_ins.fleet import CannotRunError, Fleet, Record

LONGEST_S = 110.0


def _stop(number, frame):
    raise CannotRunError(f"signal {number}")


def run_case(folder, rule, play, **machines):
    """Start a fleet, play the case and return its exit code.

    `play(fleet, record)` returns what broke the rule, as a list of texts.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, _stop)
    record = Record(folder / "record.txt")
    record.write(f"TROUBLE={os.environ.get('TROUBLE', '1')}")
    fleet = None
    try:
        fleet = Fleet(**machines)
        broken = asyncio.run(asyncio.wait_for(play(fleet, record), LONGEST_S))
    except Exception as error:
        traceback.print_exc()
        record.say(f"the case could not run: {error!r}")
        return 2
    finally:
        if fleet is not None:
            fleet.close()
    for text in broken[:20]:
        record.write(f"{rule}: {text}")
    record.say(f"{rule}: {'held' if not broken else f'broken {len(broken)} times'}")
    return 1 if broken else 0
