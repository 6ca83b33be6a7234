"""Call the operators' HTTP interface of a deployment on behalf of the experiments."""

import contextlib

import msgspec
import trio

from bendwind_bench.deployment import Deployment
from bendwind_bench.http import HttpBrokenError, Message, send_json, send_text

POLL_INTERVAL_S = 0.1
VERSION_METRIC = "bendwind_configuration_version"
ACTIVATION_TIMEOUT_S = 20.0


class IntentRefusedError(Exception):
    """Report that an intent was not accepted, with the answer."""


async def apply_intent(deployment: Deployment, text: str) -> int:
    """Plan and confirm an intent; return its version once it is active on every node."""
    plan = msgspec.json.decode((await post_to_leader(deployment, "/v1/plans", text)).body)
    path = f"/v1/plans/{plan['id']}/confirm"
    outcome = msgspec.json.decode((await post_to_leader(deployment, path, "")).body)
    await wait_until_active(deployment, outcome["version"])
    return outcome["version"]


async def post_to_leader(deployment: Deployment, path: str, body: str) -> Message:
    """Send a request to the voters in turn until the leader accepts it.

    Errors: raises IntentRefusedError if it is refused, or not accepted in ACTIVATION_TIMEOUT_S.
    """
    answer = None
    with trio.move_on_after(ACTIVATION_TIMEOUT_S):
        while True:
            for voter in deployment.layout.voters:
                with contextlib.suppress(OSError, HttpBrokenError):
                    answer = await send_text(voter.operators_address, "POST", path, body)
                    if answer.status in (200, 201):
                        return answer
            if answer is not None and answer.status in (400, 409, 410):
                break
            await trio.sleep(POLL_INTERVAL_S)
    raise IntentRefusedError(f"{path}: {answer and (answer.status, answer.body)}")


async def wait_until_active(deployment: Deployment, version: int) -> None:
    """Wait until this version of the configuration or a newer one is active on every node.

    Nodes that are expected to be down are left out.
    Errors: raises IntentRefusedError that names a node without it after ACTIVATION_TIMEOUT_S.
    """
    for member in deployment.layout.members:
        if deployment.nodes[member.name].is_expected_down:
            continue
        with trio.move_on_after(ACTIVATION_TIMEOUT_S) as scope:
            while await read_version(member.operators_address) < version:
                await trio.sleep(POLL_INTERVAL_S)
        if scope.cancelled_caught:
            raise IntentRefusedError(f"version {version} is not active on {member.name}")


async def read_version(address: str) -> int:
    """Return the active configuration version of a process, -1 if it does not answer."""
    with contextlib.suppress(OSError, HttpBrokenError):
        answer = await send_json(address, "GET", "/v1/status")
        if answer.status == 200:
            return msgspec.json.decode(answer.body)["version"]
    return -1


async def read_version_in_force(address: str) -> int:
    """Return the version that a node itself goes by, -1 if it does not answer.

    The status of a voter tells the version that is accepted, which its node may not have yet.
    """
    with contextlib.suppress(OSError, HttpBrokenError):
        metrics = await read_metrics(address)
        return int(metrics.get(VERSION_METRIC, -1))
    return -1


async def read_metrics(address: str) -> dict[str, float]:
    """Return the sum over all labels of each metric of a process."""
    totals: dict[str, float] = {}
    answer = await send_json(address, "GET", "/metrics")
    for line in answer.body.decode().splitlines():
        if not line or line.startswith("#"):
            continue
        key, _, value = line.rpartition(" ")
        name = key.partition("{")[0]
        totals[name] = totals.get(name, 0.0) + float(value)
    return totals
