"""Simulate entry nodes and owners on links that lose, repeat and reorder messages and break."""

import collections
from dataclasses import dataclass, field

from bendwind_core.attempts import entry, messages, owner
from bendwind_core.attempts import events as ev
from bendwind_core.attempts import owner_events as ov
from bendwind_core.attempts.attempt_ids import AttemptIds
from bendwind_core.attempts.call import EntryCall, create_call
from bendwind_core.limits import RetryBudget
from bendwind_core.world import Instance, LoadSample, Repeat, Rule, Service, Upstream, UpstreamState

RETRY_RATIO = 0.5
SLOTS = 2
QUEUE = 2
IDLE = LoadSample(0, 0, SLOTS)


@dataclass
class Run:
    """Hold the progress of one dispatch at an upstream."""

    hand_over: messages.HandOver
    is_read: bool = False
    parts: int = 0
    is_head_sent: bool = False


@dataclass
class Caller:
    """Hold what one caller received and how often its call ran."""

    call: EntryCall
    entry: "EntryNode"
    received: list = field(default_factory=list)
    finals: list = field(default_factory=list)
    runs: int = 0


@dataclass
class EntryNode:
    name: str
    incarnation: int
    ids: AttemptIds
    budget: RetryBudget
    first_attempts: int = 0
    run_count: int = 0


class OwnerNode:
    def __init__(self, index: int):
        self.index = index
        self.incarnation = 0
        self.orphaned_runs: list[Run] = []
        self.runs: dict[messages.AttemptId, Run] = {}
        self.is_reachable = True
        self.restart()

    def restart(self) -> None:
        self.incarnation += 1
        self.orphaned_runs += [run for run in self.runs.values() if not run.is_read]
        self.runs = {}
        self.is_drained = False
        self.owner_state = owner.create_owner_state(
            f"u{self.index}",
            self.incarnation,
            QUEUE,
            max_remembered_attempts=6,
            max_remembered_peers=1,
        )

    @property
    def upstream(self) -> Upstream:
        instance = Instance(f"o{self.index}", "dc", "h", 1, self.incarnation)
        return Upstream(f"u{self.index}", "s", instance, SLOTS, SLOTS)


@dataclass
class Link:
    epoch: int = 0
    is_open: bool = False
    to_owner: list = field(default_factory=list)
    to_entry: list = field(default_factory=list)


class World:
    def __init__(self, entries: int, owners: int):
        self.now = 0.0
        self.owners = [OwnerNode(index) for index in range(owners)]
        self.entries = [self._create_entry(f"e{index}", 1) for index in range(entries)]
        self.links = {(e.name, o.index): Link() for e in self.entries for o in self.owners}
        self.callers: list[Caller] = []
        self.caller_of: dict[messages.AttemptId, Caller] = {}
        self.upstream_of: dict[messages.AttemptId, int] = {}
        self.heads: dict[messages.AttemptId, messages.AnswerHead] = {}
        self.timers: dict[tuple[int, ev.TimerKind], float] = {}
        self.preferred_owner = 0
        self.current_part: messages.BodyPart | None = None
        self.events: collections.deque = collections.deque()
        for node in self.owners:
            self.announce(node, UpstreamState.READY)

    def _create_entry(self, name: str, incarnation: int) -> EntryNode:
        ids = AttemptIds(name, incarnation)
        return EntryNode(name, incarnation, ids, RetryBudget(RETRY_RATIO))

    # Entry side.

    def start_call(
        self, node: EntryNode, repeat: Repeat, timeout: float, hedge_ms, has_key
    ) -> None:
        service = Service("s", ("*",), hedge_after_ms=hedge_ms)
        rule = Rule("*", repeat=repeat)
        name = f"c{len(self.callers)}"
        call = create_call(
            name, service, rule, self.now + timeout, node.ids, node.budget, has_key=has_key
        )
        self.callers.append(Caller(call, node))
        self.entry_step(self.callers[-1], ev.Begin())

    def choose(self, excluded: frozenset[str]) -> Upstream | None:
        self.preferred_owner += 1
        order = self.owners[self.preferred_owner % len(self.owners) :] + self.owners
        return next((o.upstream for o in order if f"u{o.index}" not in excluded), None)

    def entry_step(self, caller: Caller, event) -> None:
        # The effects of one event are carried out before the next event, as the real tasks do.
        self.events.append((caller, event))
        if len(self.events) > 1:
            return
        while self.events:
            caller, event = self.events[0]
            if caller.entry in self.entries:
                for effect in entry.step(caller.call, event, self.now, self.choose):
                    self.apply_entry_effect(caller, effect)
            self.events.popleft()

    def apply_entry_effect(self, caller: Caller, effect) -> None:
        assert not caller.finals or isinstance(
            effect, ev.ReleaseClaim
        ), "effect after the final outcome"
        match effect:
            case ev.SendHandOver():
                self.send_hand_over(caller, effect)
            case ev.SendCancel(attempt, upstream):
                self.send(caller.entry, upstream, messages.Cancel(attempt, upstream.name))
            case ev.SendFence(attempt, upstream):
                fence = messages.Fence(attempt, upstream.owner.incarnation, upstream.name)
                if not self.send(caller.entry, upstream, fence):
                    self.entry_step(caller, ev.FenceFailed(attempt))
            case ev.StartTimer(kind, at):
                self.timers[self.callers.index(caller), kind] = at
            case ev.RequestClaim():
                self.entry_step(caller, ev.ClaimGranted())
            case ev.DeliverHead(attempt):
                caller.received.append((attempt, 0, self.heads[attempt].more))
            case ev.DeliverPart(attempt):
                caller.received.append((attempt, self.current_part.index, self.current_part.more))
            case _ if isinstance(effect, ev.FINAL_EFFECTS):
                caller.finals.append(effect)

    def send_hand_over(self, caller: Caller, effect: ev.SendHandOver) -> None:
        caller.entry.first_attempts += len(caller.call.attempts) == 1
        self.caller_of[effect.attempt] = caller
        hand_over = messages.HandOver(
            effect.attempt,
            effect.upstream.owner.incarnation,
            "s",
            effect.upstream.name,
            "GET",
            b"/",
            (),
            effect.remaining_ms,
            caller.call.rule.repeat,
            1,
            accept_if_slow=effect.accept_if_slow,
        )
        if not self.send(caller.entry, effect.upstream, hand_over):
            reason = messages.NotRunReason.CONNECT_FAILED
            self.entry_step(caller, ev.AttemptNotRun(effect.attempt, reason))

    def send(self, node: EntryNode, upstream: Upstream, message) -> bool:
        owner_node = self.owners[int(upstream.name[1:])]
        link = self.links[node.name, owner_node.index]
        if not link.is_open:
            if not owner_node.is_reachable:
                return False
            link.is_open = True
            link.epoch += 1
            opened = ov.LinkOpened(node.name, node.incarnation, link.epoch)
            self.owner_step(owner_node, opened)
        link.to_owner.append(message)
        return True

    # Owner side.

    def owner_step(self, node: OwnerNode, event) -> None:
        for effect in owner.step(node.owner_state, event, self.now):
            self.apply_owner_effect(node, effect)

    def apply_owner_effect(self, node: OwnerNode, effect) -> None:
        match effect:
            case ov.Dispatch(hand_over):
                assert not node.is_drained, "a drained owner dispatched"
                assert hand_over.attempt not in node.runs, "an attempt was dispatched twice"
                node.runs[hand_over.attempt] = Run(hand_over)
                assert len(node.runs) <= SLOTS, "more runs than slots"
            case ov.ReplyNotRun(attempt, epoch, reason, load):
                self.reply(node, attempt, epoch, messages.NotRun(attempt, reason, load))
            case ov.ReplyUnknown(attempt, epoch, reason, load):
                self.reply(node, attempt, epoch, messages.Unknown(attempt, reason, load))
            case ov.ReplyFenced(attempt, epoch, verdict):
                self.reply(node, attempt, epoch, messages.Fenced(attempt, verdict))
            case ov.Drained():
                assert not node.runs, "reported as drained with a request in flight"
                node.is_drained = True

    def reply(self, node: OwnerNode, attempt, epoch: int, message) -> None:
        link = self.links[attempt.entry, node.index]
        if link.is_open and link.epoch == epoch:
            link.to_entry.append(message)

    def reply_running(self, node: OwnerNode, attempt, message) -> None:
        running = node.owner_state.running.get(attempt)
        if running is not None:
            self.reply(node, attempt, running.epoch, message)

    def announce(self, node: OwnerNode, state: UpstreamState) -> None:
        node.is_drained &= state is not UpstreamState.READY or node.owner_state.is_stopping
        self.owner_step(node, ov.UpstreamAnnounced(SLOTS, SLOTS, state))

    # The upstream.

    def mark_read(self, run: Run) -> None:
        if run.is_read:
            return
        run.is_read = True
        caller = self.caller_of[run.hand_over.attempt]
        caller.runs += 1
        caller.entry.run_count += 1

    def answer(self, node: OwnerNode, attempt, status: int, more: bool) -> None:
        run = node.runs[attempt]
        self.mark_read(run)
        if not run.is_head_sent:
            run.is_head_sent = True
            self.owner_step(node, ov.DispatchHead(attempt, status, 1.0))
            message = messages.AnswerHead(attempt, status, (), IDLE, more=more)
        else:
            run.parts += 1
            message = messages.BodyPart(attempt, run.parts, b"", more)
        self.reply_running(node, attempt, message)
        if not more:
            del node.runs[attempt]
            self.owner_step(node, ov.DispatchDone(attempt))

    def refuse(self, node: OwnerNode, attempt, reason: messages.NotRunReason) -> None:
        if not node.runs[attempt].is_read:
            del node.runs[attempt]
            self.owner_step(node, ov.DispatchNotRun(attempt, reason))

    def reset(self, node: OwnerNode, attempt) -> None:
        del node.runs[attempt]
        reason = messages.CutReason.UPSTREAM_RESET
        self.owner_step(node, ov.DispatchUnknown(attempt, reason))

    # The links.

    def deliver_to_owner(self, entry_node: EntryNode, node: OwnerNode, message) -> None:
        epoch = self.links[entry_node.name, node.index].epoch
        match message:
            case messages.HandOver():
                self.owner_step(node, ov.HandOverArrived(message, epoch))
            case messages.Cancel(attempt):
                self.owner_step(node, ov.CancelArrived(attempt, epoch))
            case messages.Fence():
                self.owner_step(node, ov.FenceArrived(message, epoch))

    def deliver_to_entry(self, message) -> None:
        caller = self.caller_of[message.attempt]
        attempt = message.attempt
        match message:
            case messages.AnswerHead(status=status, more=more):
                self.heads[attempt] = message
                self.entry_step(caller, ev.AttemptHead(attempt, status, not more))
            case messages.BodyPart(index=index, more=more):
                self.current_part = message
                self.entry_step(caller, ev.AttemptBodyPart(attempt, index, more))
            case messages.NotRun(reason=reason, load=load):
                self.entry_step(caller, ev.AttemptNotRun(attempt, reason, load))
            case messages.Unknown(reason=reason):
                self.entry_step(caller, ev.AttemptUnknown(attempt, reason))
            case messages.Fenced(verdict=verdict):
                self.entry_step(caller, ev.FenceAnswered(attempt, verdict))

    def break_link(self, name: str, node: OwnerNode, is_noticed: bool) -> None:
        link = self.links[name, node.index]
        if not link.is_open:
            return
        link.is_open = False
        link.to_owner.clear()
        link.to_entry.clear()
        if is_noticed:
            entry_node = next(e for e in self.entries if e.name == name)
            lost = ov.LinkLost(name, entry_node.incarnation, link.epoch)
            self.owner_step(node, lost)
        for caller in self.callers:
            for attempt in list(caller.call.attempts):
                if caller.entry.name == name and attempt.upstream.name == f"u{node.index}":
                    self.entry_step(caller, ev.OwnerLinkLost(attempt.id))

    def restart_owner(self, node: OwnerNode) -> None:
        node.restart()
        for entry_node in self.entries:
            self.break_link(entry_node.name, node, is_noticed=False)
        self.announce(node, UpstreamState.READY)

    def restart_entry(self, index: int, is_noticed: bool) -> None:
        old = self.entries[index]
        new = self._create_entry(old.name, old.incarnation + 1)
        self.entries[index] = new
        for node in self.owners:
            link = self.links[old.name, node.index]
            lost = ov.LinkLost(old.name, old.incarnation, link.epoch)
            if link.is_open and is_noticed:
                self.owner_step(node, lost)
            self.links[old.name, node.index] = Link()

    def advance(self, until: float) -> None:
        while True:
            due = min(self.timers.items(), key=lambda item: item[1], default=None)
            if due is None or due[1] > until:
                break
            del self.timers[due[0]]
            self.now = max(self.now, due[1])
            self.entry_step(self.callers[due[0][0]], ev.TimerFired(due[0][1]))
        self.now = until
        for node in self.owners:
            next_due = owner.next_due(node.owner_state, self.now)
            if next_due is not None and next_due <= until:
                self.owner_step(node, ov.Tick())
