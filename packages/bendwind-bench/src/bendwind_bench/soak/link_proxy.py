"""Forward the connections to one upstream, and disturb them as long as a fault lasts."""

from dataclasses import dataclass, field

import trio

from bendwind_bench.soak.schedule import LinkFaultKind

HOST = "127.0.0.1"
READ_SIZE = 65536
DELAY_S = 0.3
THROTTLED_BYTES = 512
THROTTLED_INTERVAL_S = 0.1
SILENCE_POLL_S = 0.05
# A connection whose tail is lost ends in the middle of this many bytes.
KEPT_BYTES = 100


@dataclass(slots=True)
class LinkProxy:
    """Listen on a free port of loopback and forward to the port `target`."""

    target: int
    fault: LinkFaultKind | None = None
    streams: set[trio.SocketStream] = field(default_factory=set)
    silenced: set[trio.SocketStream] = field(default_factory=set)

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; the started value is the port."""
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        task_status.started(listeners[0].socket.getsockname()[1])
        await trio.serve_listeners(self._forward, listeners)

    def begin(self, kind: LinkFaultKind) -> None:
        """Begin a fault; a reset also ends the connections that are open."""
        self.fault = kind
        self.silenced = set(self.streams)
        if kind is LinkFaultKind.RESET:
            for stream in list(self.streams):
                _reset(stream)

    def end(self) -> None:
        """End the fault; what was withheld of silent connections goes on."""
        self.fault = None

    async def _forward(self, client: trio.SocketStream) -> None:
        try:
            server = await trio.open_tcp_stream(HOST, self.target)
        except OSError:
            _reset(client)
            return
        self.streams |= {client, server}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, client, server, LinkFaultKind.SILENCE_REQUESTS)
                nursery.start_soon(self._copy, server, client, LinkFaultKind.SILENCE_ANSWERS)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.streams -= {client, server}
            _reset(client)
            _reset(server)

    async def _copy(self, source, sink, silence: LinkFaultKind) -> None:
        while data := await source.receive_some(READ_SIZE):
            await self._pass_on(sink, data, silence)
        await sink.send_eof()

    async def _pass_on(self, sink: trio.SocketStream, data: bytes, silence: LinkFaultKind) -> None:
        match self.fault:
            case LinkFaultKind.DELAY:
                await trio.sleep(DELAY_S)
            case LinkFaultKind.RESET:
                raise trio.BrokenResourceError("reset by the schedule")
            case LinkFaultKind.LOSE_TAIL if len(data) > KEPT_BYTES:
                await sink.send_all(data[:-KEPT_BYTES])
                raise trio.BrokenResourceError("tail lost by the schedule")
            case LinkFaultKind.THROTTLE:
                await self._throttle(sink, data)
                return
        while self.fault is silence or self._is_silenced(sink):
            await trio.sleep(SILENCE_POLL_S)
        await sink.send_all(data)

    def _is_silenced(self, sink: trio.SocketStream) -> bool:
        return self.fault is LinkFaultKind.SILENCE_OPEN and sink in self.silenced

    async def _throttle(self, sink: trio.SocketStream, data: bytes) -> None:
        for start in range(0, len(data), THROTTLED_BYTES):
            await sink.send_all(data[start : start + THROTTLED_BYTES])
            if self.fault is LinkFaultKind.THROTTLE:
                await trio.sleep(THROTTLED_INTERVAL_S)


def _reset(stream: trio.SocketStream) -> None:
    stream.socket.close()
