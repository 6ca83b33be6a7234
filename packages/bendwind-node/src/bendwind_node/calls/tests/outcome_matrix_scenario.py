"""Bring a request into each state in which a node can hold it, and apply events to it."""

import trio
import trio.testing

from bendwind_core.attempts.owner_events import Tick
from bendwind_core.customers import create_customer_table
from bendwind_core.routing import set_routing
from bendwind_core.world import Customer, digest_key
from bendwind_node.calls.caller_h11 import H11Server
from bendwind_node.calls.request_account import RequestAccount
from bendwind_node.calls.tests.fakes import CallTestCluster, announce
from bendwind_node.calls.tests.outcome_matrix import Event, RequestState
from bendwind_node.calls.tests.outcome_matrix_fakes import (
    BODY,
    WATCH_DELAY_S,
    Gate,
    make_request,
    make_routing,
)

# Size of the socket buffers between the node and its caller; a long answer must not fit into them.
SMALL_BUFFER = 32 * 1024

# After these events the rest of a body that is being read is not sent.
_EVENTS_WITHOUT_REST_OF_BODY = frozenset(
    (
        Event.PIPELINED,
        Event.PIPELINED_AT_STOP,
        Event.STOP_TIME_ENDS,
        Event.TASK_FAILS,
        Event.HALF_CLOSE,
        Event.CALLER_CLOSES,
    )
)


class Scenario:
    """Hold one request at a node, with one or two other owners."""

    def __init__(self, nursery, state, upstream, *, has_fault):
        self.state = state
        self.upstream = upstream
        self.bench = CallTestCluster(nursery)
        self.has_fault = has_fault
        self.fault = trio.Event()
        self.shutdown = trio.Event()
        self.scope = trio.CancelScope()
        self.quota = Gate(is_open=state is not RequestState.WAITING_FOR_TOKEN)
        self.claims = Gate(is_open=state is not RequestState.CLAIMING)
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
        count = 2 if self.state is RequestState.RESENT else 1
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

    async def hold_request(self):
        """Send the request and return once it has reached its state."""
        bench, membership = self.bench, self.bench.membership
        if self.state is RequestState.WAITING_FOR_CONFIGURATION:
            self.service = membership.services.pop("svc")
            membership.view.pending.add("svc")
        bench.hub.hold = self.state in (RequestState.IN_TRANSIT, RequestState.RESENT)
        if self.state is RequestState.QUEUED:
            self._set_connections(0)
        sent = BODY[:2] if self.state is RequestState.READING else BODY
        await self.stream.send_all(make_request(has_key=self.state is RequestState.CLAIMING) + sent)
        if self.state is RequestState.RESENT:
            await self._refuse_first_attempt()
        while not self._is_state_reached():
            await trio.sleep(0.001)
        await trio.testing.wait_all_tasks_blocked(0.002)
        if self.state is RequestState.RUNNING:
            await trio.sleep(WATCH_DELAY_S)
        assert self._is_state_reached(), self.state
        assert self.account.in_flight == 1

    async def _refuse_first_attempt(self):
        """Make the owner that receives the first hand-over refuse it."""
        hub = self.bench.hub
        while not any(here.held for here, _ in hub.links.values()):
            await trio.sleep(0.001)
        (name,) = hub.links
        hub.owners[name].register.owned.clear()
        here = hub.links[name][0]
        (hand_over,), here.held = here.held, None
        here.deliver(hand_over)

    def _set_connections(self, connections):
        owned = self.owners[0].register.owned["svc-0"]
        owned.owner_state.connections = connections
        self.owners[0].register.feed(owned, Tick())

    def _is_state_reached(self):
        bench = self.bench
        links = [here for here, _ in bench.hub.links.values()]
        match self.state:
            case RequestState.READING:
                return bench.intake.budget.used == 2
            case RequestState.WAITING_FOR_CONFIGURATION:
                return "svc" in bench.membership.view.cache.watched
            case RequestState.WAITING_FOR_TOKEN:
                return self.quota.is_reached
            case RequestState.CLAIMING:
                return self.claims.is_reached
            case RequestState.IN_TRANSIT | RequestState.RESENT:
                return any(link.held for link in links)
            case RequestState.QUEUED:
                return any(
                    owned.owner_state.waiting
                    for owner in self.owners
                    for owned in owner.register.owned.values()
                )
            case RequestState.RUNNING | RequestState.ANSWERING:
                return self.upstream.begun == 1
        raise AssertionError(self.state)

    async def apply_event(self, event):
        """Apply an event to the request, and let the request continue unless the event ended it."""
        match event:
            case Event.NODE_STOPS | Event.PIPELINED_AT_STOP:
                await self._stop_node(has_next=event is Event.PIPELINED_AT_STOP)
            case Event.PIPELINED:
                await self._send_next()
            case Event.OWNERS_STOP:
                for owner in self.owners:
                    owner.register.drain()
            case Event.STOP_TIME_ENDS:
                await self._stop_node(has_next=False)
                self.scope.cancel()
            case Event.ROUTE_REMOVED:
                self._set_routing(make_routing(2, prefix="/else/", name="r-2"))
            case Event.HOST_REMOVED:
                self._set_routing(make_routing(2, host="else.example", name="r-2"))
            case Event.SERVICE_REMOVED:
                self.service = None
                self.bench.membership.services.clear()
                self.bench.entry.refresh_upstreams("svc")
            case Event.UPSTREAMS_LEAVE:
                for owner in self.owners:
                    for name in tuple(owner.register.owned):
                        owner.register.handle_departure(name)
                self.bench.membership.known.clear()
                self.bench.entry.refresh_upstreams("svc")
            case Event.CUSTOMER_REMOVED:
                self.bench.membership.customers = create_customer_table(())
            case Event.LINK_CLOSES:
                self.bench.hub.hold = False
                for name in tuple(self.bench.hub.links):
                    self.bench.hub.cut(name)
            case Event.TASK_FAILS:
                self.fault.set()
            case Event.HALF_CLOSE:
                await self.stream.send_eof()
            case Event.CALLER_CLOSES:
                await self.stream.aclose()
        await trio.testing.wait_all_tasks_blocked(0.002)
        await self._continue_request(event)

    async def _stop_node(self, *, has_next):
        if has_next:
            await self._send_next()
        self.shutdown.set()
        self.bench.owner.register.drain()

    async def _send_next(self):
        rest = BODY[2:] if self.state is RequestState.READING else b""
        await self.stream.send_all(rest + make_request() + BODY)

    def _set_routing(self, routing):
        set_routing(self.bench.entry.routes, routing)

    async def _continue_request(self, event):
        bench = self.bench
        if self.state is RequestState.READING and event not in _EVENTS_WITHOUT_REST_OF_BODY:
            await self.stream.send_all(BODY[2:])
        if self.state is RequestState.WAITING_FOR_CONFIGURATION:
            if self.service is not None:
                bench.membership.services["svc"] = self.service
            bench.membership.view.pending.clear()
        if self.state is RequestState.QUEUED and "svc-0" in self.owners[0].register.owned:
            self._set_connections(4)
        bench.hub.hold = False
        for here, _ in tuple(bench.hub.links.values()):
            held, here.held = here.held, None
            for message in held or ():
                here.deliver(message)
        self.quota.opened.set()
        self.claims.opened.set()
        # A request with a claim continues, so that its caller can query its outcome later.
        if (
            event not in (Event.HALF_CLOSE, Event.CALLER_CLOSES)
            or self.state is RequestState.CLAIMING
        ):
            self.upstream.may_answer.set()
