"""Ask a deployment's operators' HTTP for what the experiments need."""

import contextlib

import msgspec
import trio

from bendwind_bench.deployment import Deployment
from bendwind_bench.http import HttpBrokenError, Message, send_json, send_text

POLL_S = 0.1
IN_FORCE_WITHIN_S = 20.0


class IntentRefusedError(Exception):
    """Report an intent that was not accepted, with the answer."""


async def apply_intent(deployment: Deployment, text: str) -> int:
    """Plan and confirm an intent, wait until it is in force everywhere, return its version."""
    plan = msgspec.json.decode((await _ask_leader(deployment, "/v1/plans", text)).body)
    path = f"/v1/plans/{plan['id']}/confirm"
    outcome = msgspec.json.decode((await _ask_leader(deployment, path, "")).body)
    await wait_in_force(deployment, outcome["version"])
    return outcome["version"]


async def _ask_leader(deployment: Deployment, path: str, body: str) -> Message:
    answer = None
    with trio.move_on_after(IN_FORCE_WITHIN_S):
        while True:
            for voter in deployment.layout.voters:
                with contextlib.suppress(OSError, HttpBrokenError):
                    answer = await send_text(voter.operators_address, "POST", path, body)
                    if answer.status in (200, 201):
                        return answer
            if answer is not None and answer.status in (400, 409, 410):
                break
            await trio.sleep(POLL_S)
    raise IntentRefusedError(f"{path}: {answer and (answer.status, answer.body)}")


async def wait_in_force(deployment: Deployment, version: int) -> None:
    """Wait until every running node has this version of the configuration or a newer one.

    Errors: raises IntentRefusedError naming a node that has not after a long time.
    """
    for member in deployment.layout.members:
        if deployment.nodes[member.name].is_expected_down:
            continue
        with trio.move_on_after(IN_FORCE_WITHIN_S) as scope:
            while await read_version(member.operators_address) < version:
                await trio.sleep(POLL_S)
        if scope.cancelled_caught:
            raise IntentRefusedError(f"version {version} is not in force at {member.name}")


async def read_version(address: str) -> int:
    """Return the version that a process has in force, -1 when it does not answer."""
    with contextlib.suppress(OSError, HttpBrokenError):
        answer = await send_json(address, "GET", "/v1/status")
        if answer.status == 200:
            return msgspec.json.decode(answer.body)["version"]
    return -1


async def read_metrics(address: str) -> dict[str, float]:
    """Return the sum of each metric of a process over its labels."""
    totals: dict[str, float] = {}
    answer = await send_json(address, "GET", "/metrics")
    for line in answer.body.decode().splitlines():
        if not line or line.startswith("#"):
            continue
        key, _, value = line.rpartition(" ")
        name = key.partition("{")[0]
        totals[name] = totals.get(name, 0.0) + float(value)
    return totals
