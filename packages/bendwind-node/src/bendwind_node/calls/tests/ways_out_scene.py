"""Hold a request in each state in which a node can hold one, and have events come over it."""

import trio
import trio.testing

from bendwind_core.attempts.owner_events import Tick
from bendwind_core.customers import create_customer_table
from bendwind_core.routing import set_routing
from bendwind_core.world import Customer, digest_key
from bendwind_node.calls.caller_h11 import H11Server
from bendwind_node.calls.request_account import RequestAccount
from bendwind_node.calls.tests.fakes import CallTestCluster, announce
from bendwind_node.calls.tests.ways_out import Event, Held
from bendwind_node.calls.tests.ways_out_parts import (
    BODY,
    WATCHED_AFTER_S,
    Gate,
    make_request,
    make_routing,
)

# Between the node and its caller; a long answer must not fit into them.
SMALL_BUFFER = 32 * 1024

# The rest of a body that is being read does not follow.
_ENDS_BODY = frozenset(
    (
        Event.NEXT_IN,
        Event.NEXT_IN_AT_STOP,
        Event.GRACE_ENDS,
        Event.FAULT,
        Event.HALF_CLOSE,
        Event.LEAVES,
    )
)


class Scene:
    """Hold one request at a node, with two owners beside it."""

    def __init__(self, nursery, held, upstream, *, has_fault):
        self.held = held
        self.upstream = upstream
        self.bench = CallTestCluster(nursery)
        self.has_fault = has_fault
        self.fault = trio.Event()
        self.shutdown = trio.Event()
        self.scope = trio.CancelScope()
        self.quota = Gate(is_open=held is not Held.TOKEN)
        self.claims = Gate(is_open=held is not Held.CLAIMING)
        self.account = RequestAccount("callers", self.bench.entry.recorder)
        self.owners = []
        self.stream = None
        self.service = None

    async def start(self, nursery, port):
        bench = self.bench
        bench.entry.quotas = self.quota
        bench.entry.claims = self.claims
        bench.membership.customers = create_customer_table(
            (Customer("norte", (digest_key(b"k1"),)),)
        )
        set_routing(bench.entry.routes, make_routing(1))
        count = 2 if self.held is Held.GIVEN_BACK else 1
        for number in range(count):
            self.owners.append(bench.add_owner(f"o-{number}"))
            announce(self.owners[-1], port, name=f"svc-{number}")
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        listeners[0].socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_SNDBUF, SMALL_BUFFER)
        nursery.start_soon(self._serve, listeners)
        caller = trio.socket.socket()
        caller.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, SMALL_BUFFER)
        await caller.connect(listeners[0].socket.getsockname())
        self.stream = trio.SocketStream(caller)

    async def _serve(self, listeners):
        server = H11Server(
            self._handle,
            20.0,
            4096,
            8,
            recorder=self.bench.entry.recorder,
            account=self.account,
        )
        with self.scope:
            await server.run(listeners, self.shutdown)

    async def _handle(self, exchange):
        if not self.has_fault:
            await self.bench.task.handle(exchange)
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._fail)
            await self.bench.task.handle(exchange)
            nursery.cancel_scope.cancel()

    async def _fail(self):
        await self.fault.wait()
        raise ValueError("some fault")

    async def hold(self):
        """Send the request and return once it is held in its state."""
        bench, membership = self.bench, self.bench.membership
        if self.held is Held.CONFIGURING:
            self.service = membership.services.pop("svc")
            membership.view.pending.add("svc")
        bench.hub.hold = self.held in (Held.ON_ITS_WAY, Held.GIVEN_BACK)
        if self.held is Held.QUEUED:
            self._set_room(0)
        sent = BODY[:2] if self.held is Held.READING else BODY
        await self.stream.send_all(make_request(has_key=self.held is Held.CLAIMING) + sent)
        if self.held is Held.GIVEN_BACK:
            await self._give_back()
        while not self._is_held():
            await trio.sleep(0.001)
        await trio.testing.wait_all_tasks_blocked(0.002)
        if self.held is Held.RUNNING:
            await trio.sleep(WATCHED_AFTER_S)
        assert self._is_held(), self.held
        assert self.account.in_hand == 1

    async def _give_back(self):
        """Have the owner refuse the request that the hand-over goes to first."""
        hub = self.bench.hub
        while not any(here.held for here, _ in hub.links.values()):
            await trio.sleep(0.001)
        (name,) = hub.links
        hub.owners[name].register.owned.clear()
        here = hub.links[name][0]
        (hand_over,), here.held = here.held, None
        here.deliver(hand_over)

    def _set_room(self, connections):
        owned = self.owners[0].register.owned["svc-0"]
        owned.owner_state.connections = connections
        self.owners[0].register.feed(owned, Tick())

    def _is_held(self):
        bench = self.bench
        links = [here for here, _ in bench.hub.links.values()]
        match self.held:
            case Held.READING:
                return bench.intake.budget.used == 2
            case Held.CONFIGURING:
                return "svc" in bench.membership.view.holdings.watched
            case Held.TOKEN:
                return self.quota.is_asked
            case Held.CLAIMING:
                return self.claims.is_asked
            case Held.ON_ITS_WAY | Held.GIVEN_BACK:
                return any(link.held for link in links)
            case Held.QUEUED:
                return any(
                    owned.owner_state.waiting
                    for owner in self.owners
                    for owned in owner.register.owned.values()
                )
            case Held.RUNNING | Held.ANSWERING:
                return self.upstream.begun == 1
        raise AssertionError(self.held)

    async def come_over(self, event):
        """Have an event come over the request, and let it go on where it is not ended by that."""
        match event:
            case Event.NODE_STOPS | Event.NEXT_IN_AT_STOP:
                await self._stop_node(has_next=event is Event.NEXT_IN_AT_STOP)
            case Event.NEXT_IN:
                await self._send_next()
            case Event.OWNERS_STOP:
                for owner in self.owners:
                    owner.register.drain()
            case Event.GRACE_ENDS:
                await self._stop_node(has_next=False)
                self.scope.cancel()
            case Event.ROUTE_LEAVES:
                self._set_routing(make_routing(2, prefix="/else/", name="r-2"))
            case Event.HOST_LEAVES:
                self._set_routing(make_routing(2, host="else.example", name="r-2"))
            case Event.SERVICE_LEAVES:
                self.service = None
                self.bench.membership.services.clear()
                self.bench.entry.refresh_upstreams("svc")
            case Event.UPSTREAM_LEAVES:
                for owner in self.owners:
                    for name in tuple(owner.register.owned):
                        owner.register.handle_departure(name)
                self.bench.membership.known.clear()
                self.bench.entry.refresh_upstreams("svc")
            case Event.CUSTOMER_LEAVES:
                self.bench.membership.customers = create_customer_table(())
            case Event.LINK_CLOSES:
                self.bench.hub.hold = False
                for name in tuple(self.bench.hub.links):
                    self.bench.hub.cut(name)
            case Event.FAULT:
                self.fault.set()
            case Event.HALF_CLOSE:
                await self.stream.send_eof()
            case Event.LEAVES:
                await self.stream.aclose()
        await trio.testing.wait_all_tasks_blocked(0.002)
        await self._let_go(event)

    async def _stop_node(self, *, has_next):
        if has_next:
            await self._send_next()
        self.shutdown.set()
        self.bench.owner.register.drain()

    async def _send_next(self):
        rest = BODY[2:] if self.held is Held.READING else b""
        await self.stream.send_all(rest + make_request() + BODY)

    def _set_routing(self, routing):
        set_routing(self.bench.entry.routes, routing)

    async def _let_go(self, event):
        bench = self.bench
        if self.held is Held.READING and event not in _ENDS_BODY:
            await self.stream.send_all(BODY[2:])
        if self.held is Held.CONFIGURING:
            if self.service is not None:
                bench.membership.services["svc"] = self.service
            bench.membership.view.pending.clear()
        if self.held is Held.QUEUED and "svc-0" in self.owners[0].register.owned:
            self._set_room(4)
        bench.hub.hold = False
        for here, _ in tuple(bench.hub.links.values()):
            held, here.held = here.held, None
            for message in held or ():
                here.deliver(message)
        self.quota.opened.set()
        self.claims.opened.set()
        # A request that runs under a claim goes on, so that its caller can ask for its outcome.
        if event not in (Event.HALF_CLOSE, Event.LEAVES) or self.held is Held.CLAIMING:
            self.upstream.let_go.set()
