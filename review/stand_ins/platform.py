"""Stand in for the platform: application upstreams, clients and the operator."""

import asyncio
import contextlib
import json
import secrets
from urllib.parse import unquote

from stand_ins.fleet import HEARTBEAT_S, CannotRunError
from stand_ins.http import call, format_message, read_message


def new_id():
    return secrets.token_hex(8)


class Upstream:
    """Serve requests as PROTOCOL.md says of a sound upstream, beside one machine's node.

    `first_beat_s` is how long after its start its first heartbeat goes out; the others follow
    every `HEARTBEAT_S`.
    """

    def __init__(
        self,
        machine,
        service,
        record,
        work_s=0.02,
        slots=12,
        first_beat_s=0.0,
        health_paths=("/healthz",),
    ):
        self.machine = machine
        self.service = service
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.first_beat_s = first_beat_s
        self.health_paths = health_paths
        self.id = f"i-{secrets.token_hex(5)}"
        self.state = "ready"
        self.is_leaving = False
        self.sequence = 0
        self.running = 0
        self.runs = []
        self.run_times = []
        self.tasks = set()
        self.server = None
        self.beats = None
        self.beats_acknowledged = 0

    async def start(self):
        host, port = self.machine.split("app")
        self.server = await asyncio.start_server(self._accept, host, port)
        self.beats = asyncio.create_task(self._beat())
        self.record.write(f"upstream {self.id} of {self.service} starts at {host}:{port}")

    async def stop(self):
        """End at once, as a crash does: all connections break and nothing is said."""
        self.record.write(f"upstream {self.id} of {self.service} ends")
        self.beats.cancel()
        self.server.close()
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def _beat(self):
        await asyncio.sleep(self.first_beat_s)
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    def make_beat(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.machine.address("app"),
            "zone": self.machine.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "seq": self.sequence,
        }

    async def beat(self):
        answer = await self.send_beat(self.make_beat())
        if answer is not None and 200 <= answer.status < 300:
            self.beats_acknowledged += 1
        return answer

    async def send_beat(self, beat):
        answer = await call(
            self.machine.address("control"),
            "PUT",
            f"/bendwind/instances/{self.id}",
            [("Content-Type", "application/json")],
            json.dumps(beat).encode(),
            timeout=1.0,
        )
        got = "nothing" if answer is None else answer.status
        self.record.write(
            f"heartbeat {beat['seq']} of {self.id} ({beat['service']}, {beat['state']}): {got}"
        )
        return answer

    async def leave(self):
        """Send the departure and no heartbeat any more; return the answer to the departure."""
        self.is_leaving = True
        self.beats.cancel()
        answer = await call(
            self.machine.address("control"),
            "DELETE",
            f"/bendwind/instances/{self.id}",
            timeout=1.0,
        )
        got = "nothing" if answer is None else answer.status
        self.record.write(f"departure of {self.id}: {got}")
        return answer

    def _load(self):
        return ("Server-Load", f"{self.running},0,{self.slots},100")

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while (request := await read_message(reader)) is not None:
                answer = await self._answer(request)
                writer.write(answer)
                await writer.drain()
        except (OSError, ValueError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self.tasks.discard(task)
            # At the end of the case the loop may be closed already.
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def _answer(self, request):
        method, path, _ = request.first.split()
        if method == "GET" and unquote(path.encode("latin-1").decode()) in self.health_paths:
            is_well = not self.is_leaving
            status = "200 OK" if is_well else "503 Service Unavailable"
            headers = [("Instance-Id", self.id), self._load()]
            return format_message(f"HTTP/1.1 {status}", headers)
        id = request.headers.get("request-id", "")
        echo = [("Request-Id", id), self._load()]
        if not id:
            return format_message("HTTP/1.1 400 Bad Request", [("Not-Executed", "1"), *echo])
        expected = request.headers.get("expect-instance")
        if expected is not None and expected != self.id:
            self.record.write(f"upstream {self.id} rejects {id} meant for {expected}: 421")
            return format_message("HTTP/1.1 421 Misdirected Request", echo)
        if self.running >= self.slots:
            headers = [("Not-Executed", "1"), *echo]
            return format_message("HTTP/1.1 503 Service Unavailable", headers)
        return await self.run(request, method, path, id, echo)

    async def run(self, request, method, path, id, echo):
        self.runs.append(id)
        self.run_times.append(self.record.now())
        self.record.write(f"upstream {self.id} of {self.service} runs {id}: {method} {path}")
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        stamp = ("Server-Stamp", f"{self.id}.{id}")
        return format_message("HTTP/1.1 200 OK", [*echo, stamp], f"{self.id} {path}".encode())


class Operator:
    """Send configurations, and read them back, at any of the machines that keep them."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record

    async def put(self, document, timeout=20.0, machines=None):
        """Send a configuration until it is acknowledged; return False if it is refused as invalid.

        Redirects are followed at most twice.
        """
        body = json.dumps(document, ensure_ascii=False).encode()
        path = "/bendwind/config"
        until = asyncio.get_running_loop().time() + timeout
        while asyncio.get_running_loop().time() < until:
            for machine in machines or self.fleet.cores:
                answer = await self._put_at(machine.address("control"), path, body)
                status = "nothing" if answer is None else answer.status
                self.record.write(f"configuration {document['version']} to {machine.name}: {status}")
                if answer is not None and answer.status == 200:
                    return True
                if answer is not None and answer.status in (400, 409, 412, 413, 422):
                    return False
            await asyncio.sleep(0.3)
        raise CannotRunError(f"configuration {document['version']} is not acknowledged")

    async def _put_at(self, address, path, body):
        headers = [("Content-Type", "application/json")]
        answer = None
        for _ in range(3):
            answer = await call(address, "PUT", path, headers, body, timeout=1.5)
            if answer is None or answer.status != 307:
                return answer
            address = answer.headers["location"].removeprefix("http://").split("/")[0]
        return answer


def make_configuration(version, services, hosts, health_path="/healthz"):
    """Return a configuration; `hosts` maps each host to its routes."""
    return {
        "version": f"r{version}",
        "services": [
            {
                "name": name,
                "health_path": health_path,
                "max_connections": 220,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "virtual_hosts": [{"host": host, "paths": paths} for host, paths in hosts.items()],
    }


def make_route(name, prefix, service, kind="idempotent", timeout_ms=1000):
    return {
        "name": name,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "attempts": 2,
    }


class Client:
    """Send requests on new connections from the machine of one node, and record the answers."""

    def __init__(self, machine, record):
        self.machine = machine
        self.record = record
        self.sent = {}
        self.sent_at = {}
        self.ended_at = {}
        self.answers = {}

    async def send(self, host, path, method="GET", body=b"", timeout_ms=1000):
        id = new_id()
        self.sent[id] = (host, path)
        self.sent_at[id] = self.record.now()
        self.record.write(f"client at {self.machine.name} sends {id}: {method} {host}{path}")
        headers = [("Host", host), ("Request-Id", id), ("Timeout-Ms", str(timeout_ms))]
        answer = await call(
            self.machine.address("outbound"),
            method,
            path,
            headers,
            body,
            timeout=timeout_ms / 1000 + 1.0,
        )
        self.ended_at[id] = self.record.now()
        self.answers[id] = None if answer is None else answer.status
        self.record.write(f"client at {self.machine.name} gets for {id}: {self.answers[id]}")
        return id, answer

    async def send_steadily(self, host, path, every_s, **options):
        """Send one request after another until cancelled, without waiting for the answers."""
        tasks = set()
        try:
            while True:
                task = asyncio.create_task(self.send(host, path, **options))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(every_s)
        finally:
            for task in tasks:
                task.cancel()


async def wait_served(client, host, path, record, timeout=20.0):
    """Wait until requests of a route are served."""
    until = asyncio.get_running_loop().time() + timeout
    while asyncio.get_running_loop().time() < until:
        _, answer = await client.send(host, path)
        if answer is not None and answer.status == 200:
            return
        await asyncio.sleep(0.2)
    raise CannotRunError(f"{host}{path} is not served")
