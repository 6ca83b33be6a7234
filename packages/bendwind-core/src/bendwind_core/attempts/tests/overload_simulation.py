"""Replay a load against one owner's decisions, without a network, and count who was served."""

import collections
import heapq
import random

from bendwind_core.attempts import AttemptId, HandOver, owner
from bendwind_core.attempts import owner_events as ov
from bendwind_core.world import Repeat, UpstreamState

SLOTS = 2


class Kind:
    """Describe requests of one route; work scatters by three tenths."""

    __slots__ = ("name", "per_second", "rank", "target_ms", "work_ms")

    def __init__(self, name, rank, per_second, work_ms, target_ms):
        self.name = name
        self.rank = rank
        self.per_second = per_second
        self.work_ms = work_ms
        self.target_ms = target_ms


class OverloadSimulation:
    """Send requests to an upstream of two slots and end their runs when their work is done."""

    def __init__(self, kinds, seed=1, customers=None):
        self.kinds = kinds
        self.rng = random.Random(seed)
        self.customers = customers or {}
        self.owner_state = owner.create_owner_state("u", 1, 16)
        self.now = 0.0
        self.agenda = []
        self.ticks_at = None
        self.sequence = 0
        self.kind_of = {}
        self.customer_of = {}
        self.began_at = {}
        self.asked = collections.Counter()
        self.served = collections.Counter()
        self.in_time = collections.Counter()
        self.step(ov.UpstreamAnnounced(SLOTS, SLOTS, UpstreamState.READY))

    def play(self, seconds, start=0.0):
        """Send for so long and let what runs end."""
        for kind in self.kinds:
            at = start + self.rng.expovariate(kind.per_second)
            while at < start + seconds:
                self.plan(at, ("arrive", kind))
                at += self.rng.expovariate(kind.per_second)
        while self.agenda:
            self.now, _, (what, item) = heapq.heappop(self.agenda)
            match what:
                case "arrive":
                    self.arrive(item)
                case "end":
                    self.end(item)
                case "tick" if self.ticks_at == item:
                    self.ticks_at = None
                    self.step(ov.Tick())

    def plan(self, at, event):
        heapq.heappush(self.agenda, (at, self.rng.random(), event))

    def arrive(self, kind):
        self.sequence += 1
        attempt = AttemptId("e", 1, self.sequence)
        customer = self.pick_customer()
        self.kind_of[attempt], self.customer_of[attempt] = kind, customer
        self.began_at[attempt] = self.now
        self.asked[kind.name] += 1
        self.asked[customer] += 1
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
                kind = self.kind_of[effect.hand_over.attempt]
                work_s = kind.work_ms / 1000 * self.rng.lognormvariate(-0.045, 0.3)
                self.plan(self.now + work_s, ("end", (effect.hand_over.attempt, work_s)))
        assert len(self.owner_state.running) <= SLOTS
        due = owner.next_due(self.owner_state, self.now)
        if due is not None and (self.ticks_at is None or due < self.ticks_at):
            self.ticks_at = due
            self.plan(max(due, self.now), ("tick", due))

    def end(self, run):
        attempt, work_s = run
        kind, customer = self.kind_of[attempt], self.customer_of[attempt]
        for name in {kind.name, customer}:
            self.served[name] += 1
            is_in_time = self.now <= self.began_at[attempt] + kind.target_ms / 1000
            self.in_time[name] += is_in_time
        self.step(ov.DispatchHead(attempt, 200, work_s * 1000))
        self.step(ov.DispatchDone(attempt))

    def find_share(self, *names):
        """Return the share of requests that was served."""
        return sum(self.served[name] for name in names) / sum(self.asked[name] for name in names)

    def find_share_in_time(self, *names):
        """Return the share of requests that was served in time."""
        return sum(self.in_time[name] for name in names) / sum(self.asked[name] for name in names)

    @property
    def overall(self):
        """Return the share of all requests that was served."""
        return self.find_share(*(kind.name for kind in self.kinds))
