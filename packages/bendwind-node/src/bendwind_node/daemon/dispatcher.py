"""Dispatch each message from a peer to the task that handles its type."""

import typing
from collections.abc import Callable

import msgspec
import trio

from bendwind_core import claims as claim
from bendwind_core import consensus
from bendwind_core import membership as member
from bendwind_core.attempts import (
    AnswerHead,
    BodyCredit,
    BodyPart,
    Cancel,
    Fence,
    Fenced,
    HandOver,
    NotRun,
    Unknown,
)
from bendwind_core.messages import Hello, PeerMessage
from bendwind_core.quotas import QuotaLoan, QuotaLoanRequest, QuotaReply, QuotaRequest, QuotaReturn
from bendwind_core.routing import LoadProbe, LoadReport
from bendwind_core.runs import (
    ForwardedRecorded,
    ForwardRuns,
    QueryRuns,
    ReportRuns,
    RunsAnswer,
    RunsRecorded,
)
from bendwind_core.timeline import EventKind
from bendwind_node.calls.entry_node import EntryNode
from bendwind_node.calls.owner_node import OwnerNode
from bendwind_node.calls.probe_task import ProbeTask
from bendwind_node.claims.task import ClaimTask, PeerClaimMessage
from bendwind_node.control.service import ControlService
from bendwind_node.failure import note_input
from bendwind_node.links import Link, LinkHub
from bendwind_node.membership import MembershipTask
from bendwind_node.quotas import NodeQuotaTask
from bendwind_node.runs import NodeRunTask

_TO_OWNER = (HandOver, Cancel, Fence, LoadProbe)
_TO_ENTRY = (AnswerHead, NotRun, Unknown, Fenced)
_TO_NODE = (
    member.HeartbeatReply,
    member.ConfigurationAnswer,
    member.ConfigurationChanged,
    member.WatchUpdate,
    member.VoterList,
)
# These messages are sent from nodes to voters, between voters, and from voters to nodes.
_TO_NODE_AND_REGISTRY = (member.SuspectReports,)
_TO_REGISTRY = (
    member.Heartbeat,
    member.Announce,
    member.Watch,
    member.ConfigurationQuery,
    member.MemberGossip,
    member.MemberDigest,
    member.MemberPull,
    member.StatusRequest,
    member.StatusReply,
    *_TO_NODE_AND_REGISTRY,
)
_TO_VOTER = typing.get_args(consensus.ConsensusMessage)
_TO_CLAIMS = typing.get_args(claim.ClaimMessage)
_TO_VOTER_QUOTAS = (QuotaRequest, QuotaReturn, QuotaLoan, QuotaLoanRequest)
_TO_RUNS = (RunsRecorded, RunsAnswer)
_TO_VOTER_RUNS = (ReportRuns, QueryRuns, ForwardRuns, ForwardedRecorded)
_TO_PLACER = (claim.ClaimCopied, claim.ClaimLeave)


class Dispatcher(msgspec.Struct, eq=False):
    """Receive the events of all links of the process; implements `links.Receiver`.

    `full_inboxes` names the tasks whose inbox refused the last message sent to it.
    """

    own_name: str
    hub: LinkHub | None = None
    entry: EntryNode | None = None
    owner: OwnerNode | None = None
    probes: ProbeTask | None = None
    membership: MembershipTask | None = None
    claims: ClaimTask | None = None
    control: ControlService | None = None
    quotas: NodeQuotaTask | None = None
    runs: NodeRunTask | None = None
    full_inboxes: set[str] = msgspec.field(default_factory=set)
    handlers: dict[type, Callable[[Link, PeerMessage], None]] = msgspec.field(default_factory=dict)

    def send(self, to: str, message: PeerMessage) -> bool:
        """Send a message to a peer or to this process itself; the message may be lost."""
        if to == self.own_name:
            handler = self._find_handler(type(message))
            if handler is not None:
                handler(_OwnLink(to), message)
            return handler is not None
        return self.hub.send(to, message)

    def link_opened(self, link: Link, hello: Hello) -> None:
        """Report a peer's version to membership, and an entry node's link to the owner node."""
        self.membership.handle_peer_version(
            hello.sender.name, hello.version, hello.confirmed_age_ms
        )
        if not link.is_dialed:
            self.owner.link_opened(link)

    def link_closed(self, link: Link) -> None:
        """Notify the tasks that used the link."""
        if link.is_dialed:
            self.entry.link_closed(link)
        else:
            self.owner.link_closed(link)
        if self.control is not None:
            self.control.registry.handle_link_lost(link.peer.name)
        if self.hub.find_link(link.peer.name) is None:
            self.membership.handle_link_lost(link.peer.name)

    def dial_failed(self, peer: str, unsent: tuple[PeerMessage, ...]) -> None:
        """Report to the entry node which of its messages were never sent."""
        self.entry.dial_failed(unsent)
        self.membership.handle_link_lost(peer)

    def receive(self, link: Link, message: PeerMessage) -> None:
        """Dispatch a message to its task, or drop it if this process has no task for it."""
        handler = self._find_handler(type(message))
        if handler is not None:
            try:
                handler(link, message)
            except Exception as error:
                note_input(error, message, link.peer.name)
                raise

    def handle_version(self, link: Link, version: int) -> None:
        """Report a newer configuration version of a peer to membership."""
        self.membership.handle_peer_version(link.peer.name, version, None)

    def is_idle(self, peer: str) -> bool:
        """Return whether the entry node has no attempts at an owner."""
        return not self.entry.has_attempts_at(peer)

    def _find_handler(self, kind: type) -> Callable[[Link, PeerMessage], None] | None:
        handler = self.handlers.get(kind)
        if handler is None:
            handler = self._choose_handler(kind)
            if handler is not None:
                self.handlers[kind] = handler
        return handler

    def _choose_handler(self, kind: type) -> Callable[[Link, PeerMessage], None] | None:
        if kind in _TO_OWNER:
            return self.owner.receive
        if kind in _TO_ENTRY:
            return self.entry.receive
        if kind in (BodyPart, BodyCredit):
            return self._dispatch_body
        if kind is LoadReport:
            return self._dispatch_to_probes
        if kind in _TO_NODE:
            return self._dispatch_to_membership
        if kind in _TO_NODE_AND_REGISTRY:
            return self._dispatch_to_membership_and_control
        if kind is QuotaReply:
            return self._dispatch_to_quotas
        if kind in _TO_RUNS:
            return self._dispatch_to_runs
        if kind in _TO_VOTER_RUNS:
            return None if self.control is None else self._dispatch_to_voter_runs
        if kind in _TO_VOTER_QUOTAS:
            return None if self.control is None else self._dispatch_to_voter_quotas
        if kind in _TO_PLACER or kind in _TO_REGISTRY or kind in _TO_VOTER:
            return None if self.control is None else self._dispatch_to_control
        return self._dispatch_to_claims if kind in _TO_CLAIMS else None

    def _dispatch_body(self, link: Link, message: PeerMessage) -> None:
        # The entry node is the side that dials a link: body messages received on a dialed link
        # belong to an answer.
        if link.is_dialed:
            self.entry.receive(link, message)
        else:
            self.owner.receive(link, message)

    def _dispatch_to_probes(self, link: Link, message: PeerMessage) -> None:
        self.probes.receive(message)

    def _dispatch_to_membership(self, link: Link, message: PeerMessage) -> None:
        is_taken = self._enqueue("membership", self.membership.inbox, (link.peer.name, message))
        if not is_taken and isinstance(message, member.ConfigurationChanged):
            # A voter takes a large one to be under way, and would repeat it late.
            self.membership.has_lost_push = True

    def _dispatch_to_membership_and_control(self, link: Link, message: PeerMessage) -> None:
        self._dispatch_to_membership(link, message)
        if self.control is not None:
            self._dispatch_to_control(link, message)

    def _dispatch_to_claims(self, link: Link, message: PeerMessage) -> None:
        self._enqueue("claims", self.claims.inbox, PeerClaimMessage(link.peer.name, message))

    def _dispatch_to_quotas(self, link: Link, message: PeerMessage) -> None:
        self.quotas.receive(link.peer.name, message)

    def _dispatch_to_voter_quotas(self, link: Link, message: PeerMessage) -> None:
        self.control.quotas.receive(link.peer.name, message)

    def _dispatch_to_runs(self, link: Link, message: PeerMessage) -> None:
        self.runs.receive(link.peer.name, message)

    def _dispatch_to_voter_runs(self, link: Link, message: PeerMessage) -> None:
        self.control.runs.receive(link.peer.name, message)

    def _dispatch_to_control(self, link: Link, message: PeerMessage) -> None:
        if isinstance(message, _TO_PLACER):
            self.control.placer.receive(message)
        elif isinstance(message, _TO_REGISTRY):
            self._enqueue("registry", self.control.registry.inbox, (link.peer.name, message))
        else:
            self.control.voter.deliver(link.peer.name, message)

    def _enqueue(self, task: str, inbox: trio.MemorySendChannel, item: object) -> bool:
        """Queue a message for a task; return False if it is dropped because the inbox is full.

        The senders of these messages repeat them until they are answered. Only the first of a
        series of dropped messages is recorded.
        """
        try:
            inbox.send_nowait(item)
            self.full_inboxes.discard(task)
        except trio.BrokenResourceError:
            # The task has ended, and the process is stopping.
            return True
        except trio.WouldBlock:
            if task not in self.full_inboxes:
                self.full_inboxes.add(task)
                self.hub.recorder.record(EventKind.INBOX_FULL, detail=task)
            return False
        return True


class _OwnPeer(msgspec.Struct, frozen=True):
    name: str


class _OwnLink:
    """Represent the link of a process to itself; handlers read only the sender's name."""

    __slots__ = ("is_dialed", "peer")

    def __init__(self, name: str):
        self.peer = _OwnPeer(name)
        self.is_dialed = False
