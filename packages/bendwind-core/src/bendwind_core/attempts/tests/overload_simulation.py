"""Simulate load on one owner, without a network, and count the requests that are served."""

import collections
import heapq
import random

from bendwind_core.attempts import AttemptId, HandOver, owner
from bendwind_core.attempts import owner_events as ov
from bendwind_core.world import Repeat, UpstreamState

SLOTS = 2


class Kind:
    """Describe the requests of one route; their run times vary by 30%."""

    __slots__ = ("name", "per_second", "rank", "target_ms", "work_ms")

    def __init__(self, name, rank, per_second, work_ms, target_ms):
        self.name = name
        self.rank = rank
        self.per_second = per_second
        self.work_ms = work_ms
        self.target_ms = target_ms


class OverloadSimulation:
    """Send requests to an upstream with two slots and end each run when its work is done."""

    def __init__(self, kinds, seed=1, customers=None):
        self.kinds = kinds
        self.rng = random.Random(seed)
        self.customers = customers or {}
        self.owner_state = owner.create_owner_state("u", 1, 16)
        self.now = 0.0
        self.events = []
        self.next_tick_at = None
        self.sequence = 0
        self.kind_by_attempt = {}
        self.customer_by_attempt = {}
        self.arrived_at = {}
        self.sent = collections.Counter()
        self.served = collections.Counter()
        self.in_time = collections.Counter()
        self.step(ov.UpstreamAnnounced(SLOTS, SLOTS, UpstreamState.READY))

    def run(self, seconds, start=0.0):
        """Send requests for `seconds`, then continue until all runs have ended."""
        for kind in self.kinds:
            at = start + self.rng.expovariate(kind.per_second)
            while at < start + seconds:
                self.schedule(at, ("arrive", kind))
                at += self.rng.expovariate(kind.per_second)
        while self.events:
            self.now, _, (event_name, item) = heapq.heappop(self.events)
            match event_name:
                case "arrive":
                    self.handle_arrival(item)
                case "end":
                    self.handle_end(item)
                case "tick" if self.next_tick_at == item:
                    self.next_tick_at = None
                    self.step(ov.Tick())

    def schedule(self, at, event):
        heapq.heappush(self.events, (at, self.rng.random(), event))

    def handle_arrival(self, kind):
        self.sequence += 1
        attempt = AttemptId("e", 1, self.sequence)
        customer = self.pick_customer()
        self.kind_by_attempt[attempt], self.customer_by_attempt[attempt] = kind, customer
        self.arrived_at[attempt] = self.now
        self.sent[kind.name] += 1
        self.sent[customer] += 1
        parts = (attempt, 1, "s", "u", "GET", b"/", (), 4 * kind.target_ms, Repeat.IDEMPOTENT, 1)
        hand_over = HandOver(
            *parts,
            route=kind.name,
            target_ms=kind.target_ms,
            rank=kind.rank,
            customer=customer,
        )
        self.step(ov.HandOverArrived(hand_over, 1))

    def pick_customer(self):
        if not self.customers:
            return ""
        return self.rng.choices(list(self.customers), list(self.customers.values()))[0]

    def step(self, event):
        for effect in owner.step(self.owner_state, event, self.now):
            if isinstance(effect, ov.Dispatch):
                kind = self.kind_by_attempt[effect.hand_over.attempt]
                work_s = kind.work_ms / 1000 * self.rng.lognormvariate(-0.045, 0.3)
                self.schedule(self.now + work_s, ("end", (effect.hand_over.attempt, work_s)))
        assert len(self.owner_state.running) <= SLOTS
        due = owner.next_due(self.owner_state, self.now)
        if due is not None and (self.next_tick_at is None or due < self.next_tick_at):
            self.next_tick_at = due
            self.schedule(max(due, self.now), ("tick", due))

    def handle_end(self, ended_run):
        attempt, work_s = ended_run
        kind, customer = self.kind_by_attempt[attempt], self.customer_by_attempt[attempt]
        for name in {kind.name, customer}:
            self.served[name] += 1
            is_in_time = self.now <= self.arrived_at[attempt] + kind.target_ms / 1000
            self.in_time[name] += is_in_time
        self.step(ov.DispatchHead(attempt, 200, work_s * 1000))
        self.step(ov.DispatchDone(attempt))

    def find_served_share(self, *names):
        """Return the share of requests that were served."""
        return sum(self.served[name] for name in names) / sum(self.sent[name] for name in names)

    def find_in_time_share(self, *names):
        """Return the share of requests that were served in time."""
        return sum(self.in_time[name] for name in names) / sum(self.sent[name] for name in names)

    @property
    def overall_served_share(self):
        """Return the share of all requests that were served."""
        return self.find_served_share(*(kind.name for kind in self.kinds))
