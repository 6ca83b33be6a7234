"""Wait until nodes serve each kind of request, and let lost claims start anew."""

import contextlib
import uuid
from collections.abc import Sequence
from dataclasses import dataclass

import trio

from bendwind_bench.deployment import Deployment
from bendwind_bench.http import HttpBrokenError, create_pool, send_json
from bendwind_bench.load import RequestKind
from bendwind_core.core import Seconds

OK = 200
POLL_INTERVAL_S = 0.1
# Longer than a request may wait, so that a refusal is read.
SEND_TIMEOUT_S = 8.0
# Claims count as lost 30 s after their last holder has gone.
CLAIM_LOSS_TIMEOUT_S = 45.0
ACCEPT_INTERVAL_S = 1.0
CLAIM_UNAVAILABLE = "claim-unavailable"


@dataclass(slots=True)
class ServiceWait:
    """Send requests of one kind to one node until one is served; hold the last outcome."""

    node: str
    address: str
    kind: RequestKind
    is_served: bool = False
    last: str = "nothing was sent"

    async def run(self) -> None:
        """Send requests one after another until one is served."""
        while True:
            await self._send(uuid.uuid4().hex)
            if self.is_served:
                return
            await trio.sleep(POLL_INTERVAL_S)

    def describe(self) -> str:
        """Return a line on what is not served."""
        return f"{self.kind.method} {self.kind.path} at {self.node}: {self.last}"

    async def _send(self, key: str) -> None:
        headers = [(b"Bendwind-Service", self.kind.service.encode())]
        if self.kind.keyed:
            headers.append((b"Idempotency-Key", key.encode()))
        pool = create_pool(self.address)
        with trio.move_on_after(SEND_TIMEOUT_S):
            try:
                answer = await pool.request(self.kind.method, self.kind.path, headers)
                self.is_served = answer.status == OK
                self.last = answer.find(b"bendwind-reason") or str(answer.status)
            except (OSError, HttpBrokenError) as error:
                self.last = f"no answer: {error!r}"
        pool.close()


async def wait_until_served(
    deployment: Deployment, kinds: Sequence[RequestKind], timeout_s: Seconds
) -> list[ServiceWait]:
    """Wait until each node serves each kind; return what is not served after the timeout."""
    waits = [
        ServiceWait(member.name, member.callers_address, kind)
        for member in deployment.layout.members
        for kind in kinds
    ]
    with trio.move_on_after(timeout_s):
        async with trio.open_nursery() as nursery:
            for wait in waits:
                nursery.start_soon(wait.run)
    return [wait for wait in waits if not wait.is_served]


async def accept_claim_loss(deployment: Deployment, service: str) -> bool:
    """Return whether the claims of a service counted as lost and an operator let them go."""
    path = f"/v1/services/{service}/accept-claim-loss"
    with trio.move_on_after(CLAIM_LOSS_TIMEOUT_S):
        while True:
            for voter in deployment.layout.voters:
                with contextlib.suppress(OSError, HttpBrokenError):
                    if (await send_json(voter.operators_address, "POST", path)).status == OK:
                        return True
            await trio.sleep(ACCEPT_INTERVAL_S)
    return False
