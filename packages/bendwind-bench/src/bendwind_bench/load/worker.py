"""Send a planned load at its scheduled times and record the results."""

import contextlib
import time
import zlib
from pathlib import Path

import msgspec
import trio

from bendwind_bench.http import HttpBrokenError, Message, create_pool
from bendwind_bench.load.plan import LoadPlan, RequestKind, Send, schedule_sends
from bendwind_bench.load.sample import Outcome, Sample, create_sample
from bendwind_bench.upstream.stand_in import make_body
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds

_OUTCOMES = {
    "not-run": Outcome.NOT_RUN,
    "unknown": Outcome.UNKNOWN,
    "refused": Outcome.REFUSED,
}
_NO_ANSWER = 0
TIMER_RESOLUTION_S = 0.001
MAX_ADDRESSES = 3


def classify(send: Send, request_body: bytes, answer: Message) -> tuple[Outcome, str]:
    """Return the outcome of an answer and its reason, which may be empty."""
    outcome = answer.find(b"bendwind-outcome")
    if outcome:
        return _OUTCOMES.get(outcome, Outcome.BROKEN), answer.find(b"bendwind-reason") or outcome
    if answer.find(b"bendwind-shed") == "not-run":
        return Outcome.NOT_RUN, "shed by the upstream"
    if answer.find(b"bench-request") != send.request:
        return Outcome.BROKEN, f"answer to request {answer.find(b'bench-request') or '(none)'}"
    if answer.find(b"bench-body-crc") != str(zlib.crc32(request_body)):
        return Outcome.BROKEN, "the upstream received a different body"
    if answer.status != 200:
        return Outcome.FAILED, f"status {answer.status}"
    if answer.body != make_body(send.request, send.answer_bytes):
        return Outcome.BROKEN, "unexpected answer body"
    return Outcome.WHOLE, ""


def list_headers(send: Send, kind: RequestKind) -> list[tuple[bytes, bytes]]:
    """Return the headers by which a node and a stand-in know what is sent."""
    headers = [
        (b"Bendwind-Service", kind.service.encode()),
        (b"Bench-Request", send.request.encode()),
        (b"Bench-Send", str(send.number).encode()),
        (b"Bench-Answer-Bytes", str(send.answer_bytes).encode()),
    ]
    if send.chunked:
        headers.append((b"Bench-Chunked", b"1"))
    if kind.keyed:
        headers.append((b"Idempotency-Key", send.request.encode()))
    return headers


class Worker:
    """Send the load of one process; hold its connections and samples."""

    def __init__(self, plan: LoadPlan):
        self.plan = plan
        groups = [plan.entries, *plan.direct.values(), *(kind.addresses for kind in plan.kinds)]
        addresses = {address for group in groups for address in group}
        self.pools = {address: create_pool(address) for address in addresses}
        self.samples: list[Sample] = []
        self.in_flight = 0
        self.started = 0.0

    async def run(self) -> list[Sample]:
        """Send all requests and return the samples in order of completion."""
        sends = schedule_sends(self.plan)
        self.started = trio.current_time() + self.plan.start_at - time.time()
        async with trio.open_nursery() as nursery:
            for send in sends:
                await _wait_until(self.started + send.at_s)
                if self.in_flight >= self.plan.most_open:
                    self._record(
                        send, Outcome.UNKNOWN, _NO_ANSWER, "not sent: too many requests in flight"
                    )
                    continue
                self.in_flight += 1
                nursery.start_soon(self._send, send)
        for pool in self.pools.values():
            pool.close()
        return self.samples

    def _elapsed_ms(self, send: Send) -> Milliseconds:
        return (trio.current_time() - self.started - send.at_s) * MILLISECONDS_PER_SECOND

    async def _send(self, send: Send) -> None:
        kind = self.plan.kinds[send.kind]
        body = make_body(send.request, kind.request_bytes)
        delay_s = self.plan.client_delay_ms / MILLISECONDS_PER_SECOND
        late_ms = self._elapsed_ms(send)
        outcome, status, reason, call = Outcome.UNKNOWN, _NO_ANSWER, "no answer in time", ""
        with trio.move_on_after(self.plan.timeout_ms / MILLISECONDS_PER_SECOND):
            try:
                await trio.sleep(delay_s)
                answer = await self._exchange(send, kind, body)
                await trio.sleep(delay_s)
                status, call = answer.status, answer.find(b"bendwind-call")
                outcome, reason = classify(send, body, answer)
            except HttpBrokenError as error:
                reason = f"connection ended: {error}"
            except OSError:
                outcome, reason = Outcome.NOT_RUN, "no connection"
        self.in_flight -= 1
        self._record(send, outcome, status, reason, call, late_ms)

    async def _exchange(self, send: Send, kind: RequestKind, body: bytes) -> Message:
        headers = list_headers(send, kind)
        for address in self._list_addresses(send, kind)[:-1]:
            with contextlib.suppress(OSError):
                return await self.pools[address].request(kind.method, kind.path, headers, body)
        last = self._list_addresses(send, kind)[-1]
        return await self.pools[last].request(kind.method, kind.path, headers, body)

    def _list_addresses(self, send: Send, kind: RequestKind) -> list[str]:
        # A caller that cannot connect tries the next address, which is safe since nothing was sent.
        known = kind.addresses or self.plan.direct.get(kind.service) or self.plan.entries
        first = known.index(send.address)
        return (known[first:] + known[:first])[:MAX_ADDRESSES]

    def _record(self, send: Send, outcome: Outcome, status: int, reason: str, call="", late_ms=0.0):
        kind = self.plan.kinds[send.kind]
        latency_ms = self._elapsed_ms(send)
        sample = create_sample(send, kind, latency_ms, outcome, status, reason, call, late_ms)
        self.samples.append(sample)


async def _wait_until(time_s: float) -> None:
    # Timers of the event loop have a resolution of a millisecond, so the rest is a busy wait.
    await trio.sleep_until(time_s - TIMER_RESOLUTION_S)
    while trio.current_time() < time_s:
        await trio.lowlevel.checkpoint()


async def send_load(plan: LoadPlan) -> list[Sample]:
    """Send a plan's load from this process."""
    return await Worker(plan).run()


def run_worker(plan: Path, out: Path) -> None:
    """Send the load of a plan file and write its samples."""
    samples = trio.run(send_load, msgspec.json.decode(plan.read_bytes(), type=LoadPlan))
    out.write_bytes(msgspec.json.encode(samples))
