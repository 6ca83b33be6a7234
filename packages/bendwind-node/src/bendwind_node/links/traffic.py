"""Send and receive the messages of open links."""

import math
from collections.abc import Callable

import msgspec
import trio
from expression import Result
from websockets.exceptions import ConnectionClosed
from websockets.trio.connection import Connection

from bendwind_core.core import Seconds
from bendwind_core.messages import (
    Frame,
    IncarnationReply,
    PeerMessage,
    RefusedMessage,
    encode_frame,
    read_frame,
)
from bendwind_core.timeline import EventKind, HybridTime, Recorder
from bendwind_node.links.framing import Unsendable, divide_messages, is_part_of_attempt
from bendwind_node.links.later_runs import LaterRuns
from bendwind_node.links.link import Link, Receiver

IDLE_LINK_TIMEOUT: Seconds = 60.0
MAX_BATCH = 64


class LinkTraffic(msgspec.Struct, eq=False):
    """Carry the messages of all links of this process.

    `later_runs` is told what peers know of later runs of this process.
    `find_version` returns this process's configuration version, which it states in its frames.
    `unsendable_count` is the number of messages dropped because no frame can hold them.
    """

    receiver: Receiver
    recorder: Recorder
    later_runs: LaterRuns
    find_version: Callable[[], int] = lambda: 0
    unsendable_count: int = 0

    def encode(self, messages: list[PeerMessage]) -> bytes:
        """Encode messages as one frame."""
        stamp = self.recorder.timestamp()
        frame = Frame(stamp.physical_ms, stamp.logical, tuple(messages), self.find_version())
        return encode_frame(frame)

    async def exchange(
        self, link: Link, socket: Connection, receive_channel: trio.MemoryReceiveChannel
    ) -> None:
        """Send and receive the messages of an open link until either end closes it."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write, link, socket, receive_channel)
            await self._read(link, socket)
            nursery.cancel_scope.cancel()

    async def _read(self, link: Link, socket: Connection) -> None:
        while link.is_open:
            try:
                data = await socket.recv()
            except (ConnectionClosed, trio.BrokenResourceError, trio.ClosedResourceError):
                return
            match read_frame(data):
                case Result(tag="ok", ok=read) if self._may_drop(link, read.refused):
                    self._deliver(link, read.frame)
                case Result(tag="ok"):
                    return
                case Result(error=reason):
                    self.recorder.record(EventKind.FRAME_REFUSED, detail=reason)
                    return

    def _may_drop(self, link: Link, refused: tuple[RefusedMessage, ...]) -> bool:
        """Record what cannot be taken; return whether the link goes on without it."""
        for message in refused:
            is_needed = message.kind is None or is_part_of_attempt(message.kind)
            if is_needed and not message.is_end_taken:
                self.recorder.record(EventKind.FRAME_REFUSED, detail=message.reason)
                return False
            if message.kind not in link.refused_kinds:
                link.refused_kinds.add(message.kind)
                detail = f"from {link.peer.name}: {message.kind.__name__}: {message.reason}"
                self.recorder.record(EventKind.MESSAGE_REFUSED, detail=detail)
        return True

    def _deliver(self, link: Link, frame: Frame) -> None:
        self.recorder.observe(HybridTime(frame.physical_ms, frame.logical))
        link.record_reply()
        if frame.version > self.find_version():
            self.receiver.handle_version(link, frame.version)
        for message in frame.messages:
            if isinstance(message, IncarnationReply):
                self.later_runs.note(link.peer.name, message)
            elif link.is_open:
                self.receiver.receive(link, message)

    async def _write(
        self, link: Link, socket: Connection, receive_channel: trio.MemoryReceiveChannel
    ) -> None:
        while link.is_open:
            first = await self._next_message(link, receive_channel)
            if first is None:
                link.close("idle")
                return
            batch = [first, *_pop_queued_messages(receive_channel)]
            try:
                for frame in divide_messages(batch, self.encode):
                    if isinstance(frame, Unsendable):
                        self._drop(link, frame)
                    elif link.is_open:
                        await socket.send(frame)
                link.unwritten_count -= len(batch)
            except (ConnectionClosed, trio.BrokenResourceError, trio.ClosedResourceError):
                link.close()
                return

    def _drop(self, link: Link, unsendable: Unsendable) -> None:
        """Drop a message for good; an attempt that lacks it ends together with the link."""
        self.unsendable_count += 1
        kind = type(unsendable.message)
        if kind not in link.unsendable_kinds:
            link.unsendable_kinds.add(kind)
            detail = f"to {link.peer.name}: {unsendable}"
            self.recorder.record(EventKind.MESSAGE_NOT_SENT, detail=detail)
        if unsendable.is_part_of_attempt:
            link.close(f"cannot send {kind.__name__}")

    async def _next_message(
        self, link: Link, receive_channel: trio.MemoryReceiveChannel
    ) -> PeerMessage | None:
        """Return the next message to send, None if this process no longer needs the link."""
        while True:
            with trio.move_on_after(IDLE_LINK_TIMEOUT if link.is_dialed else math.inf):
                return await receive_channel.receive()
            if self.receiver.is_idle(link.peer.name):
                return None


def _pop_queued_messages(receive_channel: trio.MemoryReceiveChannel) -> list[PeerMessage]:
    messages: list[PeerMessage] = []
    while len(messages) < MAX_BATCH:
        try:
            messages.append(receive_channel.receive_nowait())
        except trio.WouldBlock:
            break
    return messages
