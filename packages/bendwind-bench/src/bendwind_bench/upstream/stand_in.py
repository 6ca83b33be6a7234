"""Run a stand-in upstream: HTTP, the upstream protocol and the benchmark's control requests."""

import signal
import socket
import time
import zlib
from functools import partial

import h11
import msgspec
import trio

from bendwind_bench.http import HttpBrokenError, HttpStream, Message, send_json
from bendwind_bench.upstream.executor import Executor, Job
from bendwind_bench.upstream.settings import Change, UpstreamSettings
from bendwind_core.core import MILLISECONDS_PER_SECOND

ANNOUNCE_INTERVAL_S = 1.0
DRAIN_TIMEOUT_S = 20.0
ATTEMPTS_PATH = "/.bendwind/attempts/"
SHED = (b"Bendwind-Shed", b"not-run")
RATE_LIMIT = b"Bendwind-Rate-Limit"
LEAVING = b"Bendwind-Leaving"
MISSING_ID = "-"
OK = 200
SURPLUS = b"HTTP/1.1 200 OK\r\nBench-Request: surplus\r\nContent-Length: 7\r\n\r\nsurplus"
NANOSECONDS_PER_MILLISECOND = 1_000_000

Answer = tuple[int, list[tuple[bytes, bytes]], bytes]


def make_body(request: str, size: int) -> bytes:
    """Return the body for a request; it contains the request's id, so that mix-ups are detected.

    >>> make_body("r7", 5)
    b'r7.r7'
    """
    unit = f"{request}.".encode()
    return (unit * (size // len(unit) + 1))[:size]


class StandIn:
    """Serve the connections of a stand-in and announce it to its node."""

    def __init__(self, settings: UpstreamSettings):
        self.settings = settings
        self.executor = Executor(settings)
        self.connections = 0
        self.born_ms = time.time_ns() // NANOSECONDS_PER_MILLISECOND
        self.announcements = 0
        self.nursery: trio.Nursery | None = None

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer the requests of one connection, in order."""
        self.connections += 1
        counters = self.executor.counters
        counters.most_connections = max(counters.most_connections, self.connections)
        http = HttpStream(stream, h11.SERVER)
        try:
            while (request := await http.receive()) is not None:
                if not await self._handle_request(http, request):
                    break
        except (h11.ProtocolError, trio.BrokenResourceError, HttpBrokenError):
            pass
        finally:
            self.connections -= 1
            await trio.aclose_forcefully(stream)

    async def _handle_request(self, http: HttpStream, request: Message) -> bool:
        target = request.head.target.decode()
        if target.startswith(ATTEMPTS_PATH):
            answer = self._cancel(target.removeprefix(ATTEMPTS_PATH))
        elif target == "/.bendwind/health":
            answer = (200 if self.executor.healthy else 503, [], b"")
        elif target == "/.bendwind/load":
            answer = self._report_load()
        elif target.startswith("/.bench/"):
            answer = self._handle_control(target, request)
        else:
            self.executor.record_arrival(*_find_ids(request))
            status, headers, body = await self._run(http, request)
            answer = status, [*headers, *self._make_notice()], body
            if self.executor.should_add_surplus():
                return await _send_answer(http, request, answer, SURPLUS)
        return await _send_answer(http, request, answer)

    def _make_notice(self) -> list[tuple[bytes, bytes]]:
        """Return the headers with the rate limit and the leaving notice, sent with every answer."""
        limit = self.executor.limit.per_second
        notice = [] if limit is None else [(RATE_LIMIT, f"{limit:g}".encode())]
        return [*notice, (LEAVING, b"1")] if self.executor.is_leaving else notice

    def _cancel(self, attempt: str) -> Answer:
        job = self.executor.jobs.get(attempt)
        if job is None:
            return 404, [], b""
        job.cancel()
        return 204, [], b""

    def _report_load(self) -> Answer:
        self.executor.counters.loads += 1
        statistics = self.executor.limiter.statistics()
        override = self.executor.reported_in_flight
        load = {
            "in_flight": statistics.borrowed_tokens if override < 0 else override,
            "queued": statistics.tasks_waiting,
            "slots": self.settings.slots,
        }
        return 200, [(b"Content-Type", b"application/json")], msgspec.json.encode(load)

    def _handle_control(self, target: str, request: Message) -> Answer:
        if target == "/.bench/counters":
            return 200, [], msgspec.json.encode(self.executor.counters)
        if target != "/.bench/changes":
            return 404, [], b""
        for change in msgspec.json.decode(request.body, type=list[Change]):
            self.nursery.start_soon(self._apply_later, change)
        return 204, [], b""

    async def _apply_later(self, change: Change) -> None:
        await trio.sleep(change.at_ms / MILLISECONDS_PER_SECOND)
        self.executor.apply(change)
        if change.draining is not None:
            await self.announce()

    async def _run(self, http: HttpStream, request: Message) -> Answer:
        executor = self.executor
        if executor.should_shed():
            executor.counters.shed += 1
            return 503, [SHED], b""
        name, send = _find_ids(request)
        if executor.should_fail():
            executor.record_run(name, send)
            executor.counters.failed += 1
            return 500, _echo(name, request), b""
        attempt = request.find(b"bendwind-attempt")
        job = Job(attempt)
        if attempt:
            executor.jobs[attempt] = job
        try:
            return await self._run_in_slot(http, request, job, name, send)
        finally:
            executor.jobs.pop(attempt, None)

    async def _run_in_slot(self, http, request, job: Job, name: str, send: str) -> Answer:
        executor = self.executor
        remaining = request.find(b"bendwind-timeout-ms")
        wait_s = float(remaining) / MILLISECONDS_PER_SECOND if remaining else float("inf")
        with trio.move_on_after(wait_s):
            await executor.acquire_slot(job)
            try:
                if job.is_cancelled:
                    return 503, [SHED], b""
                executor.record_run(name, send)
                if not await executor.run_job(job, partial(_wait_closed, http.stream.socket)):
                    executor.counters.cancelled += 1
                    return 503, _echo(name, request), b""
                size = int(request.find(b"bench-answer-bytes") or 0)
                return 200, _echo(name, request), make_body(name, size)
            finally:
                executor.limiter.release_on_behalf_of(job)
        if job.ends_at == 0.0:
            executor.counters.shed += 1
            return 503, [SHED], b""
        executor.counters.cancelled += 1
        return 504, _echo(name, request), b""

    async def announce(self) -> None:
        """Announce the stand-in to its node; if the node is unreachable, the next call retries."""
        node = self.executor.node
        if not node:
            return
        state = "draining" if self.executor.draining else "ready"
        keys = ("name", "service", "host", "slots", "connections")
        body = {key: getattr(self.settings, key) for key in keys}
        self.announcements += 1
        body |= {"state": state, "born_ms": self.born_ms, "sequence": self.announcements}
        body["port"] = self.settings.announced_port or self.settings.port
        is_draining = self.executor.draining
        if not is_draining:
            self.executor.record_drain_notice(is_draining=False)
        with trio.move_on_after(ANNOUNCE_INTERVAL_S):
            try:
                answer = await send_json(node, "POST", "/v1/upstreams", body)
            except (OSError, HttpBrokenError):
                return
            if is_draining and answer.status == OK:
                self.executor.record_drain_notice(is_draining=True)

    async def announce_periodically(self) -> None:
        """Announce the stand-in every ANNOUNCE_INTERVAL_S."""
        while True:
            await self.announce()
            await trio.sleep(ANNOUNCE_INTERVAL_S)

    async def drain_and_withdraw(self) -> None:
        """Drain, wait for the requests in flight and withdraw the announcement."""
        self.executor.draining = True
        await self.announce()
        with trio.move_on_after(DRAIN_TIMEOUT_S):
            await trio.sleep(ANNOUNCE_INTERVAL_S)
            while self.executor.limiter.statistics().borrowed_tokens:
                await trio.sleep(0.05)
        if self.executor.node:
            with trio.move_on_after(ANNOUNCE_INTERVAL_S):
                try:
                    path = f"/v1/upstreams/{self.settings.name}?born_ms={self.born_ms}"
                    await send_json(self.executor.node, "DELETE", path)
                except (OSError, HttpBrokenError):
                    return


def _find_ids(request: Message) -> tuple[str, str]:
    """Return the name of a request and the number of its send."""
    return request.find(b"bench-request") or MISSING_ID, request.find(b"bench-send") or MISSING_ID


def _echo(name: str, request: Message) -> list[tuple[bytes, bytes]]:
    digest = zlib.crc32(request.body)
    return [(b"Bench-Request", name.encode()), (b"Bench-Body-Crc", str(digest).encode())]


async def _send_answer(
    http: HttpStream, request: Message, answer: Answer, surplus: bytes = b""
) -> bool:
    status, headers, body = answer
    is_chunked = request.find(b"bench-chunked") == "1"
    length = str(len(body)).encode()
    framing = (b"Transfer-Encoding", b"chunked") if is_chunked else (b"Content-Length", length)
    if status != 204:
        headers = [*headers, framing]
    events = [h11.Response(status_code=status, headers=headers)]
    if body and request.head.method != b"HEAD":
        events.append(h11.Data(data=body))
    await http.send(*events, h11.EndOfMessage(), surplus=surplus)
    if http.state.our_state is not h11.DONE:
        return False
    http.state.start_next_cycle()
    return True


async def _wait_closed(sock) -> None:
    await trio.lowlevel.wait_readable(sock)
    if await sock.recv(1, socket.MSG_PEEK):
        await trio.sleep_forever()


async def run_upstream(settings: UpstreamSettings, task_status=trio.TASK_STATUS_IGNORED) -> None:
    """Run a stand-in until SIGTERM, then drain it and withdraw its announcement."""
    stand_in = StandIn(settings)
    async with trio.open_nursery() as nursery:
        stand_in.nursery = nursery
        listeners = await trio.open_tcp_listeners(settings.port, host=settings.host, backlog=512)
        task_status.started(listeners[0].socket.getsockname()[1])
        nursery.start_soon(trio.serve_listeners, stand_in.serve, listeners)
        nursery.start_soon(stand_in.announce_periodically)
        with trio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                await stand_in.drain_and_withdraw()
                nursery.cancel_scope.cancel()
                return
