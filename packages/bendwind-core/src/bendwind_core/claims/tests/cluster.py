"""Simulate five nodes, their links and control, and check each decision with an oracle."""

import random
from dataclasses import dataclass, field

from bendwind_core.claims import (
    AnswerNotKept,
    ChangeClaimGroup,
    ClaimAnswer,
    ClaimCopied,
    ClaimGranted,
    ClaimGroup,
    ClaimLeave,
    ClaimLimits,
    ClaimOutcome,
    ClaimRefused,
    ClaimRelease,
    ClaimRequest,
    ClaimState,
    Granted,
    KeyConflict,
    OutcomeUnknown,
    Recorded,
    StillPending,
    apply_group_change,
    choose_claim_group,
    create_holder,
    format_member,
    index_alive_nodes,
)
from bendwind_core.claims.entry import (
    Decide,
    EntryClaims,
    EntryTick,
    GroupReceived,
    ReplyReceived,
    SettleClaim,
    StartClaim,
    step_entry,
)
from bendwind_core.claims.events import (
    GroupChanged,
    LeaseRenewed,
    Received,
    Send,
    SendToControl,
    Tick,
)
from bendwind_core.claims.holder import step_holder
from bendwind_core.claims.messages import ClaimReply, ClaimSettled
from bendwind_core.world import Instance

SERVICE = "emisor"
NODES = ("a", "b", "c", "d", "e")
CONTROL = "control"
LEASE = 4.0
# Control waits longer than a node trusts its lease, because clocks may run at different rates.
CONTROL_LEASE = 4.5
WAIT = 2.0
LIMITS = ClaimLimits(copy_claims=1)


@dataclass(slots=True)
class Node:
    """Hold one run of a node."""

    instance: Instance
    holder: object
    entry: EntryClaims = field(default_factory=EntryClaims)
    calls: int = 0
    is_running: bool = True
    is_paused: bool = False
    has_control: bool = True
    has_peers: bool = True
    receives_groups: bool = True


@dataclass(slots=True)
class Call:
    """Hold the oracle's data on one call.

    `era` counts the accepted losses of claims of which the call's entry node knows.
    """

    node: Node
    key: str
    fingerprint: bytes
    is_after_recorded: bool
    era: int = 0


class Oracle:
    """Count runs and compare every decision with the earlier decisions."""

    def __init__(self):
        self.calls: dict[str, Call] = {}
        self.holding_calls: dict[tuple[str, int], str] = {}
        self.runs: dict[tuple[str, int], int] = {}
        self.answers: dict[str, ClaimAnswer] = {}
        self.returned: dict[str, ClaimAnswer] = {}
        self.granted: set[str] = set()
        self.running: set[str] = set()
        self.accepted_epochs: list[int] = []

    def check_decision(self, call_id: str, decision, known_epoch: int) -> None:
        call = self.calls[call_id]
        call.era = sum(epoch <= known_epoch for epoch in self.accepted_epochs)
        key_and_era = (call.key, call.era)
        match decision:
            case Granted():
                assert (
                    key_and_era not in self.holding_calls
                ), f"{call_id} and {self.holding_calls[key_and_era]} granted"
                assert not call.is_after_recorded, "granted after a recorded outcome"
                self.holding_calls[key_and_era] = call_id
                self.granted.add(call_id)
            case Recorded(answer):
                expected = self.answers.get(call.key)
                assert answer == expected, f"{answer} instead of {expected}"
                runner = self.calls[answer.body.decode()]
                assert runner.fingerprint == call.fingerprint, "answer to a different request"
                self.returned[call.key] = answer
            case KeyConflict():
                others = {c.fingerprint for c in self.calls.values() if c.key == call.key}
                assert len(others) > 1, "a conflict without a different request"
            case OutcomeUnknown() | StillPending():
                assert not call.is_after_recorded, f"{decision} after a recorded outcome"
            case AnswerNotKept() | ClaimRefused():
                pass

    def run(self, call_id: str) -> None:
        call = self.calls[call_id]
        key_and_era = (call.key, call.era)
        self.granted.discard(call_id)
        self.running.add(call_id)
        self.runs[key_and_era] = self.runs.get(key_and_era, 0) + 1
        assert self.runs[key_and_era] == 1, f"{call.key} ran twice"

    def release(self, call_id: str) -> None:
        call = self.calls[call_id]
        self.granted.discard(call_id)
        del self.holding_calls[(call.key, call.era)]

    def accept_loss(self, epoch: int) -> None:
        self.accepted_epochs.append(epoch)
        self.answers.clear()
        self.returned.clear()
        for call in self.calls.values():
            call.is_after_recorded = False

    def check_sent(self, message) -> None:
        if isinstance(message, ClaimGranted) and self.accepted_epochs:
            assert (
                message.epoch >= self.accepted_epochs[-1]
            ), "granted in an epoch whose claims were lost"


class Cluster:
    """Deliver messages between nodes in any order, and decide groups as control does."""

    def __init__(self):
        self.now = 100.0
        self.oracle = Oracle()
        self.network: list[tuple[str, str, object]] = []
        self.nodes = {name: self._start(name, 1) for name in NODES}
        self.groups: dict[str, ClaimGroup] = {}
        self.proposals: list[ChangeClaimGroup] = []
        self.renewed: dict[str, tuple[Instance, float]] = {}
        self.copied: ClaimCopied | None = None
        self.leaving: set[str] = set()
        self.rng = random.Random(5)
        self.advance(0.1)
        self.propose_change()
        self.commit(0)
        self.deliver_all()

    def _start(self, name: str, incarnation: int) -> Node:
        instance = Instance(name, f"dc-{NODES.index(name) % 3}", "", 0, incarnation)
        return Node(instance, create_holder(format_member(instance), SERVICE, LIMITS))

    # Nodes.

    def active(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.is_running and not node.is_paused]

    def advance(self, seconds: float) -> None:
        self.now += seconds
        for node in self.active():
            if node.has_control:
                self.renewed[node.instance.name] = (node.instance, self.now)
                self._renew_lease(node)
            self._step_entry(node, EntryTick())
            self._step_holder(node, Tick())

    def _renew_lease(self, node: Node) -> None:
        """Renew a node's lease, or push the newest group to a node that lacks it.

        A lease proves that the node applies the newest configuration.
        """
        group = self.groups.get(SERVICE)
        known = node.entry.groups.get(SERVICE)
        if group is not None and (known is None or known.epoch < group.epoch):
            self.network.append((CONTROL, node.instance.name, group))
        else:
            self._step_holder(node, LeaseRenewed(self.now + LEASE))

    def crash(self, name: str) -> None:
        self.nodes[name].is_running = False

    def restart(self, name: str) -> None:
        old = self.nodes[name]
        self.nodes[name] = self._start(name, old.instance.incarnation + 1)

    def _step_holder(self, node: Node, event) -> None:
        for effect in step_holder(node.holder, event, self.now):
            match effect:
                case Send(to, message):
                    self._send(node, to, message)
                case SendToControl(message):
                    self._send(node, CONTROL, message)

    def _step_entry(self, node: Node, event) -> None:
        for effect in step_entry(node.entry, event, self.now):
            match effect:
                case Send(to, message):
                    self._send(node, to, message)
                case Decide(call, decision):
                    group = node.entry.groups.get(SERVICE)
                    self.oracle.check_decision(call, decision, group.epoch if group else 0)

    # Links.

    def _send(self, node: Node, to: str, message) -> None:
        self.oracle.check_sent(message)
        self.network.append((node.instance.name, to, message))

    def deliver_one(self, index: int) -> None:
        sender, to, message = self.network.pop(index)
        if to == CONTROL:
            if self.nodes[sender].has_control:
                self._control_receives(message)
            return
        node = self.nodes[to]
        if not node.is_running:
            return
        if node.is_paused:
            self.network.append((sender, to, message))
        elif sender == CONTROL:
            self._push_group(node, message)
        elif sender == to or (node.has_peers and self.nodes[sender].has_peers):
            self._node_receives(node, message)

    def _push_group(self, node: Node, group: ClaimGroup) -> None:
        if node.has_control and node.receives_groups:
            self._step_entry(node, GroupReceived(group))
            self._step_holder(node, GroupChanged(group))

    def _node_receives(self, node: Node, message) -> None:
        if isinstance(message, ClaimReply | ClaimSettled):
            self._step_entry(node, ReplyReceived(message))
        else:
            self._step_holder(node, Received(message))

    def deliver_some(self, rng: random.Random, count: int, loss: float) -> None:
        """Deliver messages in random order, with some lost and some delivered twice."""
        for _ in range(count):
            if not self.network:
                return
            index = rng.randrange(len(self.network))
            if rng.random() < loss:
                self.network.pop(index)
                continue
            if rng.random() < 0.2:
                self.network.append(self.network[index])
            self.deliver_one(index)

    def deliver_all(self, rounds: int = 200) -> None:
        for _ in range(rounds):
            if not self.network:
                return
            self.deliver_one(0)

    # Control.

    def _control_receives(self, message) -> None:
        match message:
            case ClaimCopied():
                self.copied = message
            case ClaimLeave(member):
                self.leaving.add(member)

    def alive(self) -> tuple[Instance, ...]:
        horizon = self.now - CONTROL_LEASE
        return tuple(instance for instance, since in self.renewed.values() if since > horizon)

    def propose_change(self) -> None:
        group = self.groups.get(SERVICE)
        copy_report = self.copied
        is_current = (
            copy_report is not None and group is not None and copy_report.epoch == group.epoch
        )
        chosen = choose_claim_group(
            SERVICE,
            group,
            index_alive_nodes(self.alive()),
            self.rng,
            leaving=self.leaving,
            copied_member=copy_report.joining if is_current else None,
        )
        if chosen is not None:
            epoch = group.epoch if group else 0
            self.proposals.append(ChangeClaimGroup(chosen, epoch))

    def commit(self, index: int) -> None:
        command = self.proposals.pop(index)
        result = apply_group_change(self.groups, command)
        if result.is_ok():
            if command.accept_loss:
                self.oracle.accept_loss(command.group.epoch)
            for name in NODES:
                self.network.append((CONTROL, name, command.group))

    def accept_loss(self) -> None:
        group = self.groups[SERVICE]
        members = tuple(format_member(instance) for instance in self.alive()[:3])
        if group.lost and members:
            chosen = ClaimGroup(SERVICE, group.epoch + 1, members)
            self.proposals.append(ChangeClaimGroup(chosen, group.epoch, accept_loss=True))
            self.commit(len(self.proposals) - 1)

    def advance_with_repairs(self, rounds: int) -> None:
        """Advance the time, deliver every message and make every repair."""
        for _ in range(rounds):
            self.advance(0.25)
            self.deliver_all()
            self.propose_change()
            while self.proposals:
                self.commit(0)
            self.deliver_all()

    def advance_until_lease_ends(self) -> None:
        """Advance the time until the leases of all failed nodes have ended for control."""
        for _ in range(round(CONTROL_LEASE / 0.25) + 1):
            self.advance(0.25)
            self.deliver_all()

    def change_group_immediately(self) -> None:
        """Change the group and deliver it to every node before any other message."""
        self.advance(0.02)
        self.propose_change()
        while self.proposals:
            self.commit(0)
        for index in reversed(range(len(self.network))):
            if self.network[index][0] == CONTROL:
                self.deliver_one(index)

    def run_random_traffic(self, rng: random.Random, rounds: int, keys: str, loss: float) -> None:
        """Run random requests, outcomes, releases and group changes while messages are lost."""
        for _ in range(rounds):
            self.advance(rng.choice([0.02, 0.1, 0.25]))
            self.request(rng.choice(NODES), rng.choice(keys), rng.choice([b"f"] * 9 + [b"g"]))
            self.deliver_some(rng, rng.randrange(1, 40), loss)
            for call in sorted(self.oracle.granted):
                rng.choice([self.run, self.run, self.prove_not_run, lambda call: None])(call)
            for call in sorted(self.oracle.running):
                state = rng.choice([ClaimState.ANSWERED, ClaimState.ANSWERED, ClaimState.UNKNOWN])
                rng.choice([self.finish, lambda call, state: None])(call, state)
            if rng.random() < 0.3:
                self.propose_change()
            if self.proposals and rng.random() < 0.5:
                self.commit(rng.randrange(len(self.proposals)))

    def restore_all(self) -> None:
        """Restore every node and link, and let control make its repairs."""
        for name, node in self.nodes.items():
            node.is_paused = False
            node.has_control = True
            node.has_peers = True
            node.receives_groups = True
            if not node.is_running:
                self.restart(name)
        self.leaving.clear()
        self.advance_with_repairs(12)

    # Callers.

    def request(self, name: str, key: str, fingerprint: bytes) -> None:
        active = self.active()
        if not active:
            return
        node = self.nodes[name] if self.nodes[name] in active else active[0]
        node.calls += 1
        member = format_member(node.instance)
        call = f"{member}/{node.calls}"
        self.oracle.calls[call] = Call(node, key, fingerprint, key in self.oracle.returned)
        request = ClaimRequest(SERVICE, key, fingerprint, call, member, 0.0)
        self._step_entry(node, StartClaim(request, self.now + WAIT))

    def run(self, call_id: str) -> None:
        if self._is_up(call_id):
            self.oracle.run(call_id)

    def finish(self, call_id: str, state: ClaimState) -> None:
        if not self._is_up(call_id):
            return
        call = self.oracle.calls[call_id]
        self.oracle.running.discard(call_id)
        answer = None
        if state is ClaimState.ANSWERED:
            answer = ClaimAnswer(201, (), call_id.encode())
            if call.era == len(self.oracle.accepted_epochs):
                self.oracle.answers[call.key] = answer
        member = format_member(call.node.instance)
        outcome = ClaimOutcome(SERVICE, call.key, call_id, member, state, answer)
        self._step_entry(call.node, SettleClaim(outcome))

    def prove_not_run(self, call_id: str) -> None:
        if self._is_up(call_id):
            call = self.oracle.calls[call_id]
            self.oracle.release(call_id)
            member = format_member(call.node.instance)
            release = ClaimRelease(SERVICE, call.key, call_id, member)
            self._step_entry(call.node, SettleClaim(release))

    def _is_up(self, call_id: str) -> bool:
        node = self.oracle.calls[call_id].node
        return node.is_running and not node.is_paused
