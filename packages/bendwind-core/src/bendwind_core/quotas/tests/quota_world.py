"""Model nodes, voters and the messages between them, in virtual time."""

import heapq
import itertools
import random
from collections.abc import Callable

import cbor2
import msgspec
from expression import Result

from bendwind_core.core import Record, Seconds
from bendwind_core.quotas import (
    Grant,
    NodeQuotas,
    QuotaBounds,
    QuotaLoan,
    QuotaLoanRequest,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
    QuotaSend,
    VoterQuotas,
    Waiter,
    create_node_quotas,
    create_voter_quotas,
    flush_quota_requests,
    handle_quota_loan,
    handle_quota_loan_request,
    handle_quota_reply,
    handle_quota_request,
    handle_quota_return,
    record_confirmation,
    request_token,
    return_token,
    tick_node,
    tick_voter,
    update_configuration,
    update_voters,
)
from bendwind_core.world import Configuration, Customer

CONFIRMED_FOR: Seconds = 1.0
CONFIRM_INTERVAL: Seconds = 0.4
TICK: Seconds = 0.01
TOKEN_WAIT: Seconds = 0.25


def deliver_to_voter(quotas: VoterQuotas, sender: str, message: Record, now: Seconds):
    """Deliver a message to a voter and return the effects."""
    match message:
        case QuotaRequest():
            return handle_quota_request(quotas, sender, message, now)
        case QuotaLoanRequest():
            return handle_quota_loan_request(quotas, sender, message, now)
        case QuotaLoan():
            return handle_quota_loan(quotas, sender, message, now)
        case QuotaReturn():
            handle_quota_return(quotas, message, now)
    return []


class Node(msgspec.Struct, eq=False):
    """Hold a node and the voters in its order of preference."""

    name: str
    quotas: NodeQuotas
    voters: tuple[str, ...]


class Outcome(msgspec.Struct, frozen=True):
    """Hold the outcome of one request; `reason` is empty if the request ran."""

    customer: str
    node: str
    arrived_at: Seconds
    settled_at: Seconds
    reason: str


class Model:
    """Run nodes and voters; every message takes a few milliseconds.

    `returns_tokens` states of a customer whether its requests do not run and return their tokens.
    """

    def __init__(
        self,
        customers: tuple[Customer, ...],
        nodes: int,
        voters: int = 5,
        bounds: QuotaBounds | None = None,
        seed: int = 1,
        delay: Seconds = 0.002,
    ):
        self.rng = random.Random(seed)
        self.bounds = bounds or QuotaBounds()
        self.now: Seconds = 0.0
        self.delay = delay
        self.events: list[tuple[Seconds, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.outcomes: list[Outcome] = []
        self.messages: dict[str, int] = {}
        self.bytes = 0
        self.returns_tokens: Callable[[str], bool] = lambda customer: False
        self.lost_processes: set[str] = set()
        self.configuration = Configuration(1, customers=customers)
        self.voter_count = voters
        names = tuple(f"v{index}" for index in range(voters))
        self.voters = {
            name: self.start_voter(name, names, index) for index, name in enumerate(names)
        }
        for quotas in self.voters.values():
            record_confirmation(quotas, self.now)
            update_configuration(quotas, self.configuration, self.now)
        self.nodes = {}
        for index in range(nodes):
            home = index % voters
            order = names[home:] + names[:home]
            self.nodes[f"n{index}"] = Node(f"n{index}", create_node_quotas(self.bounds, 1), order)
        self.schedule(CONFIRM_INTERVAL, self._confirm)
        self.schedule(TICK, self._tick)

    def start_voter(self, name: str, names: tuple[str, ...], voter_id: int) -> VoterQuotas:
        """Start a voter's process and return its quotas."""
        run = int(self.now * 1000) + 1
        quotas = create_voter_quotas(name, run, self.bounds, self.voter_count, CONFIRMED_FOR)
        update_voters(quotas, voter_id, tuple(other for other in names if other != name), self.now)
        return quotas

    def restart_voter(self, name: str) -> None:
        """Restart a voter, which loses its state."""
        names = tuple(self.voters)
        self.voters[name] = self.start_voter(name, names, names.index(name))
        update_configuration(self.voters[name], self.configuration, self.now)
        self.lost_processes.discard(name)

    def schedule(self, time: Seconds, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (time, next(self.sequence), action))

    def run(self, until: Seconds) -> None:
        """Run the scheduled actions until a time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until

    def _confirm(self) -> None:
        for name, quotas in self.voters.items():
            if name not in self.lost_processes:
                record_confirmation(quotas, self.now)
        self.schedule(self.now + CONFIRM_INTERVAL, self._confirm)

    def _tick(self) -> None:
        for name, quotas in self.voters.items():
            if name not in self.lost_processes:
                self.send_all(name, tick_voter(quotas, self.now))
        for node in self.nodes.values():
            self.send_all(node.name, tick_node(node.quotas, self.now))
            self._flush(node)
        self.schedule(self.now + TICK, self._tick)

    def send_all(self, sender: str, effects: list[QuotaSend]) -> None:
        """Send messages; those to or from a lost process are dropped."""
        for effect in effects:
            kind = type(effect.message).__name__
            self.messages[kind] = self.messages.get(kind, 0) + 1
            self.bytes += len(cbor2.dumps(msgspec.to_builtins(effect.message)))
            due = self.now + self.delay * self.rng.uniform(0.5, 1.5)
            self.schedule(due, lambda effect=effect: self._deliver(sender, effect))

    def _deliver(self, sender: str, effect: QuotaSend) -> None:
        if sender in self.lost_processes or effect.to in self.lost_processes:
            return
        voter = self.voters.get(effect.to)
        if voter is not None:
            self.send_all(effect.to, deliver_to_voter(voter, sender, effect.message, self.now))
            return
        node = self.nodes[effect.to]
        assert isinstance(effect.message, QuotaReply)
        handle_quota_reply(node.quotas, sender, effect.message, self.now)
        self._flush(node)

    def _flush(self, node: Node) -> None:
        for waiter in node.quotas.settled:
            self._record_outcome(node, waiter.customer, waiter.arrived_at, waiter.outcome)
        node.quotas.settled.clear()
        self.send_all(node.name, flush_quota_requests(node.quotas, node.voters, self.now))

    def request(self, customer: str, node: str) -> None:
        """Send a request of a customer to a node."""
        entry = self.nodes[node]
        outcome = request_token(entry.quotas, customer, self.now + TOKEN_WAIT, self.now)
        if not isinstance(outcome, Waiter):
            self._record_outcome(entry, customer, self.now, outcome)
        self._flush(entry)

    def _record_outcome(
        self, node: Node, customer: str, arrived_at: Seconds, outcome: Result
    ) -> None:
        reason = ""
        match outcome:
            case Result(tag="ok", ok=grant):
                self._return_if_unused(node, customer, grant)
            case Result(error=refused):
                reason = str(refused.reason)
        self.outcomes.append(Outcome(customer, node.name, arrived_at, self.now, reason))

    def _return_if_unused(self, node: Node, customer: str, grant: Grant) -> None:
        if self.returns_tokens(customer):
            return_token(node.quotas, grant)

    def add_request_stream(
        self, customer: str, nodes: tuple[str, ...], rate: float, start: Seconds, end: Seconds
    ):
        """Send requests at random times, each to one of the nodes."""

        def arrive() -> None:
            self.request(customer, self.rng.choice(nodes))
            schedule_next()

        def schedule_next() -> None:
            due = max(self.now, start) + self.rng.expovariate(rate)
            if due < end:
                self.schedule(due, arrive)

        schedule_next()

    def count(self, customer: str | None = None, reason: str | None = None) -> int:
        """Count outcomes, of one customer or of all, with one reason or with any."""
        return sum(
            (customer is None or one.customer == customer)
            and (reason is None or one.reason == reason)
            for one in self.outcomes
        )
