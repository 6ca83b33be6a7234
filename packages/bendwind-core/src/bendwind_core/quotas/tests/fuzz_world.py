"""Drive nodes and voters step by step, with messages that are held, lost, doubled and reordered."""

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
from bendwind_core.quotas.reserve import KEPT_FOR
from bendwind_core.quotas.tests.quota_world import hear_as_voter
from bendwind_core.world import Configuration, Customer

CONFIRMED_FOR: Seconds = 1.0
VOTERS = 3
NODES = 2
BOUNDS = QuotaBounds(window=5.0, overage=0.1, slack=2.0)
NAME = "maria"
MAX_HELD = 60
# Of what does not run for a while, so many requests are found out at once.
UNDONE_SHARE = 0.5
STEP: Seconds = 0.05
ROUNDING = 1e-6
# Each process counts time from its own start, and a little faster or slower than the others.
RATES = (1.0, 1.0004, 0.9996, 1.0002, 0.9998)


class Message(msgspec.Struct, frozen=True):
    """Hold a message under way."""

    sender: str
    to: str
    message: Record


class Process(msgspec.Struct, eq=False):
    """Hold a node or a voter and its clock; `is_voting` says that the log has it as a voter."""

    name: str
    quotas: NodeQuotas | VoterQuotas
    rate: float
    offset: Seconds
    voter_id: int | None = None
    is_voting: bool = False
    promoted_at: Seconds = -1000.0


class Run(msgspec.Struct, eq=False):
    """Hold a request that ran, and the grant of its token."""

    arrived_at: Seconds
    ran_at: Seconds
    grant: Grant
    node: str
    is_undone: bool = False


class FuzzWorld:
    """Hold the processes, the messages under way and what ran."""

    def __init__(self, burst: float = 40.0):
        self.rng = random.Random(1)
        self.now: Seconds = 100.0
        self.is_holding = False
        self.held: list[Message] = []
        self.runs: list[Run] = []
        self.limits: list[tuple[Seconds, Customer | None]] = []
        self.configuration = Configuration(1)
        self.starts = 0
        self.demand = 1
        self.undoes = False
        self.doubled: tuple[type, ...] = ()
        self.processes: dict[str, Process] = {}
        self.waiters: dict[Waiter, Seconds] = {}
        for _ in range(VOTERS):
            self.add_voter()
        self.nodes = [f"n{index}" for index in range(NODES)]
        for name in self.nodes:
            self.start_node(name)
        self.confirm_all()
        self.set_limit(Customer(NAME, rate_per_s=24.0, burst=burst))
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
        """Start a voter anew from its disk, which says that it is one."""
        run = self._next_run()
        quotas = create_voter_quotas(process.name, run, BOUNDS, VOTERS, CONFIRMED_FOR)
        started = self._start(process.name, quotas)
        started.voter_id = process.voter_id
        started.is_voting = process.is_voting
        started.promoted_at = process.promoted_at
        update_voters(quotas, started.voter_id, self._list_peers(started), self.read_clock(started))
        update_configuration(quotas, self.configuration, self.read_clock(started))

    def replace_voter(self, process: Process) -> None:
        """Take a voter out, which goes on and does not know, and make another one a voter."""
        process.is_voting = False
        gone = [p for p in self.list_voters() if not p.is_voting]
        if len(gone) > 2:
            del self.processes[gone[0].name]
        self.confirm(self.add_voter())

    def _list_peers(self, process: Process) -> tuple[str, ...]:
        return tuple(p.name for p in self.list_voters() if p.is_voting and p is not process)

    def confirm(self, process: Process) -> None:
        """Have a voter that is in touch hear what the log says, and a quorum confirm it."""
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
            if self.is_holding:
                self.held = [*self.held, message][-MAX_HELD:]
            else:
                for _ in range(1 + isinstance(effect.message, self.doubled)):
                    self.deliver(message)

    def deliver(self, message: Message) -> None:
        process = self.processes.get(message.to)
        if process is None:
            return
        now = self.read_clock(process)
        if process.voter_id is not None:
            self.send_all(
                process.name, hear_as_voter(process.quotas, message.sender, message.message, now)
            )
            return
        if isinstance(message.message, QuotaReply):
            handle_quota_reply(process.quotas, message.sender, message.message, now)
            self.flush(process)

    def flush(self, node: Process) -> None:
        for waiter in node.quotas.settled:
            arrived_at = self.waiters.pop(waiter, None)
            if arrived_at is not None:
                self._note(node, arrived_at, waiter.outcome)
        node.quotas.settled.clear()
        names = [process.name for process in self.list_voters()]
        self.rng.shuffle(names)
        now = self.read_clock(node)
        self.send_all(node.name, flush_quota_requests(node.quotas, tuple(names), now))

    def request(self, node: Process) -> None:
        now = self.read_clock(node)
        asked = request_token(node.quotas, NAME, now + 0.25, now)
        if isinstance(asked, Waiter):
            self.waiters[asked] = self.now
        else:
            self._note(node, self.now, asked)
        self.flush(node)

    def _note(self, node: Process, arrived_at: Seconds, outcome: Result) -> None:
        if outcome.is_ok():
            run = Run(arrived_at, self.now, outcome.ok, node.name)
            self.runs.append(run)
            if self.undoes and self.rng.random() < UNDONE_SHARE:
                self.undo(run)

    def undo(self, run: Run) -> None:
        """Have a request turn out not to have run."""
        node = self.processes[run.node]
        run.is_undone = True
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
        """Let time pass while requests come and all processes go on."""
        end = self.now + pause
        while self.now < end:
            self.now = min(end, self.now + STEP)
            if are_confirmed:
                self.confirm_all()
            self.tick_all()
            for name in self.nodes:
                for _ in range(self.demand):
                    self.request(self.processes[name])

    def find_excess(self) -> str:
        """Return in which window more ran than the bound permits, empty without any."""
        ran = sorted((run.arrived_at, run.ran_at) for run in self.runs if not run.is_undone)
        for index, (first, _) in enumerate(ran):
            later = [ran_at for _, ran_at in ran[index:]]
            for length in (0.0, 0.5, 1.0, BOUNDS.window, 3 * BOUNDS.window):
                count = sum(ran_at <= first + length + ROUNDING for ran_at in later)
                most = self._find_most(first, length)
                if count > most + ROUNDING:
                    return f"{count} ran within {length} s of {first}, at most {most} may"
        return ""

    def _find_most(self, first: Seconds, length: Seconds) -> float:
        """Return what the highest limit permits that any voter may still have gone by."""
        since = first - CONFIRMED_FOR - max(BOUNDS.max_token_age, KEPT_FOR) - ROUNDING
        until = first + length
        most = 0.0
        for index, (at, customer) in enumerate(self.limits):
            ends = self.limits[index + 1][0] if index + 1 < len(self.limits) else float("inf")
            if at <= until and ends >= since and customer is not None:
                most = max(most, find_all_shares(customer, length))
        return most


def find_all_shares(customer: Customer, length: Seconds) -> float:
    """Return what the shares of all voters come to, which is within the bound of the settings."""
    if not customer.is_limited:
        return math.inf
    share = create_share(customer, BOUNDS, VOTERS)
    # Processes' clocks are faster by less than what shares and ages are cut by.
    rate = customer.rate_per_s / VOTERS
    max_token_age = BOUNDS.overage * BOUNDS.window / 2
    places = int(share.reserve) * (1 + int(length / BOUNDS.window))
    return VOTERS * (share.cap + rate * (length + max_token_age) + places)
