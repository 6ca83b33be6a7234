"""Drive nodes and voters step by step; messages may be held, lost, duplicated or reordered."""

import math
import random

import msgspec
from expression import Result

from bendwind_core.core import Record, Seconds
from bendwind_core.quotas import (
    Grant,
    NodeQuotas,
    QuotaBounds,
    QuotaReply,
    QuotaSend,
    VoterQuotas,
    Waiter,
    create_node_quotas,
    create_share,
    create_voter_quotas,
    flush_quota_requests,
    handle_quota_reply,
    record_confirmation,
    request_token,
    return_token,
    tick_node,
    tick_voter,
    update_configuration,
    update_voters,
)
from bendwind_core.quotas.reserve import RESERVATION_LIFETIME
from bendwind_core.quotas.tests.quota_world import deliver_to_voter
from bendwind_core.world import Configuration, Customer

CONFIRMED_FOR: Seconds = 1.0
VOTERS = 3
NODES = 2
BOUNDS = QuotaBounds(window=5.0, overage=0.1, slack=2.0)
CUSTOMER_NAME = "maria"
MAX_HELD_MESSAGES = 60
# While requests do not run, this share of them is detected immediately.
RETURNED_SHARE = 0.5
STEP: Seconds = 0.05
TOLERANCE = 1e-6
# Each process counts time from its own start, slightly faster or slower than the others.
RATES = (1.0, 1.0004, 0.9996, 1.0002, 0.9998)


class Message(msgspec.Struct, frozen=True):
    """Hold a message in flight."""

    sender: str
    to: str
    message: Record


class Process(msgspec.Struct, eq=False):
    """Hold a node or a voter and its clock; `is_voting` states that the log lists it as a voter."""

    name: str
    quotas: NodeQuotas | VoterQuotas
    rate: float
    offset: Seconds
    voter_id: int | None = None
    is_voting: bool = False
    promoted_at: Seconds = -1000.0


class Run(msgspec.Struct, eq=False):
    """Hold a request that got a token, and the grant of the token.

    `is_returned` states that the request did not run after all and its token was returned.
    """

    arrived_at: Seconds
    ran_at: Seconds
    grant: Grant
    node: str
    is_returned: bool = False


class FuzzWorld:
    """Hold the processes, the messages in flight and the requests that ran."""

    def __init__(self, burst: float = 40.0):
        self.rng = random.Random(1)
        self.now: Seconds = 100.0
        self.holds_messages = False
        self.held_messages: list[Message] = []
        self.runs: list[Run] = []
        self.limits: list[tuple[Seconds, Customer | None]] = []
        self.configuration = Configuration(1)
        self.starts = 0
        self.requests_per_step = 1
        self.returns_tokens = False
        self.duplicated_types: tuple[type, ...] = ()
        self.processes: dict[str, Process] = {}
        self.waiters: dict[Waiter, Seconds] = {}
        for _ in range(VOTERS):
            self.add_voter()
        self.nodes = [f"n{index}" for index in range(NODES)]
        for name in self.nodes:
            self.start_node(name)
        self.confirm_all()
        self.set_limit(Customer(CUSTOMER_NAME, rate_per_s=24.0, burst=burst))
        self.confirm_all()

    def read_clock(self, process: Process) -> Seconds:
        return self.now * process.rate + process.offset

    def list_voters(self) -> list[Process]:
        return [process for process in self.processes.values() if process.voter_id is not None]

    def _next_run(self) -> int:
        self.starts += 1
        return self.starts

    def _start(self, name: str, quotas: NodeQuotas | VoterQuotas) -> Process:
        rate = RATES[self.starts % len(RATES)]
        process = Process(name, quotas, rate, 10.0 * self.starts)
        self.processes[name] = process
        return process

    def start_node(self, name: str) -> None:
        self._start(name, create_node_quotas(BOUNDS, self._next_run()))

    def add_voter(self) -> Process:
        run = self._next_run()
        name = f"v{run}"
        quotas = create_voter_quotas(name, run, BOUNDS, VOTERS, CONFIRMED_FOR)
        process = self._start(name, quotas)
        process.voter_id = run
        process.is_voting = True
        process.promoted_at = self.now
        update_voters(quotas, None, (), self.read_clock(process))
        return process

    def restart_voter(self, process: Process) -> None:
        """Restart a voter from its disk, according to which it is a voter."""
        run = self._next_run()
        quotas = create_voter_quotas(process.name, run, BOUNDS, VOTERS, CONFIRMED_FOR)
        started = self._start(process.name, quotas)
        started.voter_id = process.voter_id
        started.is_voting = process.is_voting
        started.promoted_at = process.promoted_at
        update_voters(quotas, started.voter_id, self._list_peers(started), self.read_clock(started))
        update_configuration(quotas, self.configuration, self.read_clock(started))

    def replace_voter(self, process: Process) -> None:
        """Remove a voter, which keeps running without notice, and make a new process a voter."""
        process.is_voting = False
        gone = [p for p in self.list_voters() if not p.is_voting]
        if len(gone) > 2:
            del self.processes[gone[0].name]
        self.confirm(self.add_voter())

    def _list_peers(self, process: Process) -> tuple[str, ...]:
        return tuple(p.name for p in self.list_voters() if p.is_voting and p is not process)

    def confirm(self, process: Process) -> None:
        """Apply the log to a voter and confirm it by a quorum, unless it was removed."""
        if not process.is_voting:
            return
        now = self.read_clock(process)
        update_voters(process.quotas, process.voter_id, self._list_peers(process), now)
        update_configuration(process.quotas, self.configuration, now)
        record_confirmation(process.quotas, now)

    def confirm_all(self) -> None:
        for process in self.list_voters():
            self.confirm(process)

    def set_limit(self, customer: Customer | None) -> None:
        self.limits.append((self.now, customer))
        listed = () if customer is None else (customer,)
        self.configuration = Configuration(self.configuration.version + 1, customers=listed)

    def send_all(self, sender: str, effects: list[QuotaSend]) -> None:
        for effect in effects:
            message = Message(sender, effect.to, effect.message)
            if self.holds_messages:
                self.held_messages = [*self.held_messages, message][-MAX_HELD_MESSAGES:]
            else:
                for _ in range(1 + isinstance(effect.message, self.duplicated_types)):
                    self.deliver(message)

    def deliver(self, message: Message) -> None:
        process = self.processes.get(message.to)
        if process is None:
            return
        now = self.read_clock(process)
        if process.voter_id is not None:
            self.send_all(
                process.name, deliver_to_voter(process.quotas, message.sender, message.message, now)
            )
            return
        if isinstance(message.message, QuotaReply):
            handle_quota_reply(process.quotas, message.sender, message.message, now)
            self.flush(process)

    def flush(self, node: Process) -> None:
        for waiter in node.quotas.settled:
            arrived_at = self.waiters.pop(waiter, None)
            if arrived_at is not None:
                self._record_outcome(node, arrived_at, waiter.outcome)
        node.quotas.settled.clear()
        names = [process.name for process in self.list_voters()]
        self.rng.shuffle(names)
        now = self.read_clock(node)
        self.send_all(node.name, flush_quota_requests(node.quotas, tuple(names), now))

    def request(self, node: Process) -> None:
        now = self.read_clock(node)
        outcome = request_token(node.quotas, CUSTOMER_NAME, now + 0.25, now)
        if isinstance(outcome, Waiter):
            self.waiters[outcome] = self.now
        else:
            self._record_outcome(node, self.now, outcome)
        self.flush(node)

    def _record_outcome(self, node: Process, arrived_at: Seconds, outcome: Result) -> None:
        if outcome.is_ok():
            run = Run(arrived_at, self.now, outcome.ok, node.name)
            self.runs.append(run)
            if self.returns_tokens and self.rng.random() < RETURNED_SHARE:
                self.return_run_token(run)

    def return_run_token(self, run: Run) -> None:
        """Return the token of a request that did not run after all."""
        node = self.processes[run.node]
        run.is_returned = True
        return_token(node.quotas, run.grant)

    def tick(self, process: Process) -> None:
        now = self.read_clock(process)
        if process.voter_id is not None:
            self.send_all(process.name, tick_voter(process.quotas, now))
            return
        self.send_all(process.name, tick_node(process.quotas, now))
        self.flush(process)

    def tick_all(self) -> None:
        for process in tuple(self.processes.values()):
            self.tick(process)

    def pass_time(self, pause: Seconds, are_confirmed: bool = True) -> None:
        """Advance the clock while requests arrive and all processes run."""
        end = self.now + pause
        while self.now < end:
            self.now = min(end, self.now + STEP)
            if are_confirmed:
                self.confirm_all()
            self.tick_all()
            for name in self.nodes:
                for _ in range(self.requests_per_step):
                    self.request(self.processes[name])

    def find_excess(self) -> str:
        """Return in which window more requests ran than permitted, empty if there is none."""
        ran = sorted((run.arrived_at, run.ran_at) for run in self.runs if not run.is_returned)
        for index, (first, _) in enumerate(ran):
            later = [ran_at for _, ran_at in ran[index:]]
            for length in (0.0, 0.5, 1.0, BOUNDS.window, 3 * BOUNDS.window):
                count = sum(ran_at <= first + length + TOLERANCE for ran_at in later)
                allowed = self._find_max_requests(first, length)
                if count > allowed + TOLERANCE:
                    return (
                        f"{count} requests ran within {length} s of {first}, at most {allowed} may"
                    )
        return ""

    def _find_max_requests(self, first: Seconds, length: Seconds) -> float:
        """Return what the highest limit permits that any voter may still have applied."""
        since = first - CONFIRMED_FOR - max(BOUNDS.max_token_age, RESERVATION_LIFETIME) - TOLERANCE
        until = first + length
        max_requests = 0.0
        for index, (at, customer) in enumerate(self.limits):
            ends_at = self.limits[index + 1][0] if index + 1 < len(self.limits) else float("inf")
            if at <= until and ends_at >= since and customer is not None:
                max_requests = max(max_requests, sum_shares(customer, length))
        return max_requests


def sum_shares(customer: Customer, length: Seconds) -> float:
    """Return the sum of the shares of all voters, which is within the bound of the settings."""
    if not customer.is_limited:
        return math.inf
    share = create_share(customer, BOUNDS, VOTERS)
    # Shares and ages are reduced by more than the processes' clocks run fast.
    rate = customer.rate_per_s / VOTERS
    max_token_age = BOUNDS.overage * BOUNDS.window / 2
    reservations = int(share.reserve) * (1 + int(length / BOUNDS.window))
    return VOTERS * (share.cap + rate * (length + max_token_age) + reservations)
