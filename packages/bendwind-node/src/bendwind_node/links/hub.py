"""Manage the links of one process: accept links, dial on demand, send and receive messages."""

from collections.abc import Callable

import msgspec
import trio
from expression import Result
from websockets.exceptions import ConnectionClosed, InvalidHandshake
from websockets.trio.connection import Connection
from websockets.trio.server import serve

from bendwind_core.core import Seconds
from bendwind_core.messages import (
    Frame,
    Hello,
    IncarnationQuery,
    IncarnationReply,
    PeerMessage,
    decode_frame,
)
from bendwind_core.timeline import EventKind, Recorder
from bendwind_core.world import Instance
from bendwind_node.failure import describe_task
from bendwind_node.guarded_tasks import record_task_failure
from bendwind_node.links.dialing import PeerConnect
from bendwind_node.links.framing import MAX_FRAME_BYTES
from bendwind_node.links.later_runs import LaterRuns
from bendwind_node.links.link import DEFAULT_LINK_MBPS, MAX_QUEUED_MESSAGES, Link, Receiver
from bendwind_node.links.liveness import (
    CHECK_TIMEOUT,
    check_link,
    find_next_check,
    find_pong_timeout,
    flush_links,
)
from bendwind_node.links.traffic import LinkTraffic
from bendwind_node.security import Keys, read_identity
from bendwind_node.streams import DirectListener, open_direct_stream

DIAL_TIMEOUT_S: Seconds = 1.0
# Only the dialer pings. The work that depends on a link has its own deadlines.
PING_INTERVAL_S: Seconds = 20.0
MAX_UNSENT = 256


# Messages to one peer are similar, so the last few kilobytes predict the next message well. A
# larger window would cost memory for each link.
# Source: RFC 7692, with the library's settings for small windows.
COMPRESSION = "deflate"


class Address(msgspec.Struct, frozen=True):
    """Hold the address at which a peer listens; its data centre is empty if unknown."""

    host: str
    port: int
    data_centre: str = ""


class LinkHub(msgspec.Struct, eq=False):
    """Manage every link of this process, at most one dialed and one accepted for each peer.

    `compresses_far` enables compression of links to other data centres.
    `dialing` holds, for each peer that is being dialed, the messages to send once its link opens.
    `unreachable_peers` are the peers whose dial failed and with which no link has opened since.
    `traffic` carries the messages of the open links.
    `reply_awaited` is set when a link begins to wait for a message or pong.
    Units: `link_mbps` is the rate of the instance's own network link, in megabits per second.
    """

    own: Instance
    receiver: Receiver
    traffic: LinkTraffic
    recorder: Recorder
    make_hello: Callable[[int], Hello]
    keys: Keys | None
    silence_ms: int | None = None
    compresses_far: bool = False
    link_mbps: float = DEFAULT_LINK_MBPS
    find_registered_incarnation: Callable[[str], int] = lambda name: 0
    nursery: trio.Nursery | None = None
    next_epoch: int = 1
    addresses: dict[str, Address] = msgspec.field(default_factory=dict)
    dialed: dict[str, Link] = msgspec.field(default_factory=dict)
    accepted: dict[str, Link] = msgspec.field(default_factory=dict)
    dialing: dict[str, list[PeerMessage]] = msgspec.field(default_factory=dict)
    unreachable_peers: set[str] = msgspec.field(default_factory=set)
    reply_awaited: trio.Event = msgspec.field(default_factory=trio.Event)

    def set_address(self, peer: str, host: str, port: int, data_centre: str = "") -> None:
        """Set the address at which a peer is dialed."""
        self.addresses[peer] = Address(host, port, data_centre)

    def find_link(self, peer: str) -> Link | None:
        """Return an open link to the peer, preferably the dialed one."""
        return self.dialed.get(peer) or self.accepted.get(peer)

    def has_dialed_link(self, peer: Instance) -> bool:
        """Return whether an open dialed link leads to this incarnation of a peer."""
        link = self.dialed.get(peer.name)
        return link is not None and link.is_open and link.peer.incarnation == peer.incarnation

    def send(self, peer: str, message: PeerMessage) -> bool:
        """Send over any open link, or dial if the address is known; return False if dropped."""
        link = self.find_link(peer)
        if link is not None:
            return link.send(message)
        return self.send_dialed(peer, message)

    def send_dialed(self, peer: str, message: PeerMessage) -> bool:
        """Send over the link that this process dialed; dial first if there is none."""
        link = self.dialed.get(peer)
        if link is not None:
            return link.send(message)
        unsent = self.dialing.get(peer)
        if unsent is None:
            return self._start_dialing(peer, message)
        if len(unsent) >= MAX_UNSENT:
            return False
        unsent.append(message)
        return True

    def _start_dialing(self, peer: str, message: PeerMessage) -> bool:
        address = self.addresses.get(peer)
        if address is None or self.nursery is None:
            return False
        self.dialing[peer] = [message]
        self.nursery.start_soon(self._dial, peer, address)
        return True

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Accept and dial links until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self._run_liveness_checks)
            await serve(
                self._accept,
                listeners=[DirectListener(listener, self.silence_ms) for listener in listeners],
                ssl=None if self.keys is None else self.keys.server,
                # Only the dialer knows the distance, so it decides whether to offer compression.
                compression=COMPRESSION,
                ping_interval=None,
                max_size=MAX_FRAME_BYTES,
            )

    async def _accept(self, socket: Connection) -> None:
        try:
            await self._serve_accepted(socket)
        except Exception as error:
            # The library would log it as text. It closes the link, as after a lost connection.
            record_task_failure(self.recorder, error, describe_task(self._accept))

    async def _serve_accepted(self, socket: Connection) -> None:
        hello = None
        with trio.move_on_after(DIAL_TIMEOUT_S):
            hello = await self._answer_hello(socket)
        if hello is not None:
            await self._run_link(socket, hello, hello.epoch, is_dialed=False)

    async def _answer_hello(self, socket: Connection) -> Hello | None:
        try:
            hello = await self._receive_hello(socket)
            if hello is None or not self._has_matching_certificate(socket, hello):
                return None
            if not self._is_newer(hello):
                # If a later run of the peer has the link, this one has to know that it is ignored.
                reply = IncarnationReply(self._find_incarnation(hello.sender.name))
                await socket.send(self.traffic.encode([reply]))
                return None
            await self._send_hello(socket, hello.epoch)
        except (ConnectionClosed, trio.BrokenResourceError):
            return None
        return hello

    def _has_matching_certificate(self, socket: Connection, hello: Hello) -> bool:
        """Return whether the peer's certificate names the sender; True if links have no TLS."""
        if self.keys is None:
            return True
        identity = read_identity(socket.stream)
        if identity is not None and identity.is_instance(hello.sender.name):
            return True
        detail = f"{identity} claimed to be {hello.sender.name}"
        self.recorder.record(EventKind.PEER_REFUSED, detail=detail)
        return False

    def _is_newer(self, hello: Hello) -> bool:
        old = self.accepted.get(hello.sender.name)
        if old is None:
            return True
        return (hello.sender.incarnation, hello.epoch) > (old.peer.incarnation, old.epoch)

    async def _dial(self, peer: str, address: Address) -> None:
        epoch = self.next_epoch
        self.next_epoch += 1
        ssl_context = None if self.keys is None else self.keys.client
        scheme = "ws" if ssl_context is None else "wss"
        try:
            with trio.fail_after(DIAL_TIMEOUT_S):
                stream = await open_direct_stream(address.host, address.port, self.silence_ms)
            async with PeerConnect(
                f"{scheme}://{address.host}:{address.port}/",
                stream=stream,
                ssl=ssl_context,
                server_hostname=None if ssl_context is None else peer,
                compression=self._find_compression(address),
                proxy=None,
                open_timeout=DIAL_TIMEOUT_S,
                close_timeout=DIAL_TIMEOUT_S,
                ping_interval=PING_INTERVAL_S,
                ping_timeout=PING_INTERVAL_S,
                max_size=MAX_FRAME_BYTES,
            ) as socket:
                hello = None
                with trio.move_on_after(DIAL_TIMEOUT_S):
                    await self._send_hello(socket, epoch)
                    hello = await self._receive_hello(socket, peer)
                if hello is not None and hello.sender.name == peer:
                    await self._run_link(socket, hello, epoch, is_dialed=True)
        except (
            OSError,
            trio.TooSlowError,
            ConnectionClosed,
            InvalidHandshake,
            trio.BrokenResourceError,
        ) as error:
            self._record_unreachable(peer, error)
        finally:
            unsent = self.dialing.pop(peer, None)
            if unsent is not None:
                self.receiver.dial_failed(peer, tuple(unsent))

    def _find_compression(self, address: Address) -> str | None:
        is_far = address.data_centre != self.own.data_centre
        return COMPRESSION if self.compresses_far and is_far else None

    def _record_unreachable(self, peer: str, error: Exception) -> None:
        # A dead peer is dialed several times per second; only the first failure is recorded.
        if peer not in self.unreachable_peers:
            self.unreachable_peers.add(peer)
            self.recorder.record(EventKind.DIAL_FAILED, detail=f"{peer}: {error!r}")

    async def _send_hello(self, socket: Connection, epoch: int) -> None:
        await socket.send(self.traffic.encode([self.make_hello(epoch)]))

    async def _receive_hello(self, socket: Connection, peer: str = "") -> Hello | None:
        match decode_frame(await socket.recv()):
            case Result(tag="ok", ok=Frame(messages=(Hello() as hello,))):
                return hello
            case Result(tag="ok", ok=Frame(messages=(IncarnationQuery(name=name),))):
                reply = IncarnationReply(self._find_incarnation(name))
                await socket.send(self.traffic.encode([reply]))
            case Result(tag="ok", ok=Frame(messages=(IncarnationReply() as reply,))) if peer:
                self.traffic.later_runs.note(peer, reply)
        return None

    def _find_incarnation(self, name: str) -> int:
        links = (table.get(name) for table in (self.dialed, self.accepted))
        linked = [link.peer.incarnation for link in links if link is not None]
        return max([self.find_registered_incarnation(name), *linked])

    async def _run_link(
        self, socket: Connection, hello: Hello, epoch: int, is_dialed: bool
    ) -> None:
        """Run an open link until either end closes it."""
        send_channel, receive_channel = trio.open_memory_channel[PeerMessage](MAX_QUEUED_MESSAGES)
        with trio.CancelScope() as scope:
            is_compressed = bool(socket.protocol.extensions)
            link = Link(
                hello.sender,
                epoch,
                is_dialed,
                send_channel,
                scope,
                socket.ping,
                is_compressed,
                self._handle_reply_awaited,
            )
            self._open(link, hello)
            try:
                await self.traffic.exchange(link, socket, receive_channel)
            finally:
                self._close(link)

    def _open(self, link: Link, hello: Hello) -> None:
        table = self.dialed if link.is_dialed else self.accepted
        old = table.get(link.peer.name)
        if old is not None:
            old.close("replaced")
            self._close(old)
        table[link.peer.name] = link
        self.unreachable_peers.discard(link.peer.name)
        detail = f"{link.peer.name}, compressed" if link.is_compressed else link.peer.name
        self.recorder.record(EventKind.LINK_OPENED, detail=detail)
        self.receiver.link_opened(link, hello)
        if link.is_dialed:
            for message in self.dialing.pop(link.peer.name, ()):
                link.send(message)

    def _close(self, link: Link) -> None:
        table = self.dialed if link.is_dialed else self.accepted
        if table.get(link.peer.name) is not link:
            return
        del table[link.peer.name]
        link.is_open = False
        reason = f": {link.close_reason}" if link.close_reason else ""
        self.recorder.record(EventKind.LINK_CLOSED, detail=link.peer.name + reason)
        self.receiver.link_closed(link)

    async def _run_liveness_checks(self) -> None:
        """Ping dialed links on which a reply is awaited, and close those that send no pong."""
        # The task waits for an event: polling ten times per second took 100 of the 855 scheduler
        # rounds that a node with few calls made in 10 s.
        while True:
            await self.reply_awaited.wait()
            self.reply_awaited = trio.Event()
            while (due := find_next_check(self.dialed.values())) is not None:
                await trio.sleep_until(due)
                self._start_due_checks(trio.current_time())

    def _handle_reply_awaited(self) -> None:
        self.reply_awaited.set()

    def _start_due_checks(self, now: Seconds) -> None:
        for link in tuple(self.dialed.values()):
            if link.check_due_at is not None and now >= link.check_due_at:
                link.is_being_checked = True
                timeout = find_pong_timeout(self.link_mbps)
                self.nursery.start_soon(check_link, link, timeout)

    async def flush(self) -> None:
        """Wait briefly until peers have received what was sent over the links that they dialed."""
        await flush_links(tuple(self.accepted.values()))

    def check(self, peer: str) -> None:
        """Ping a peer that others consider gone, and close its dialed link if no pong comes."""
        link = self.dialed.get(peer)
        if link is not None and self.nursery is not None:
            self.nursery.start_soon(check_link, link, CHECK_TIMEOUT)


def create_link_hub(
    own: Instance,
    receiver: Receiver,
    recorder: Recorder,
    make_hello: Callable[[int], Hello],
    keys: Keys | None = None,
    silence_ms: int | None = None,
    *,
    compresses_far: bool = False,
    link_mbps: float = DEFAULT_LINK_MBPS,
) -> LinkHub:
    """Return a hub without links; without keys, its links are not encrypted.

    Units: `silence_ms` is the time after which a link whose peer acknowledges nothing is closed,
    in milliseconds; `link_mbps` is the rate of the instance's own network link, in megabits per
    second.
    """
    traffic = LinkTraffic(receiver, recorder, LaterRuns(own, recorder))
    return LinkHub(
        own,
        receiver,
        traffic,
        recorder,
        make_hello,
        keys,
        silence_ms,
        compresses_far,
        link_mbps,
    )
