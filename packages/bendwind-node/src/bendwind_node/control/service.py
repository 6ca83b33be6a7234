"""Run a control voter's tasks: log, registry of nodes, placement of claims, quotas."""

import random
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path

import msgspec
import trio
from expression import Error, Ok, Result

from bendwind_core import consensus
from bendwind_core.claims import ChangeClaimGroup, ClaimGroup
from bendwind_core.consensus.voter_changes import SILENT_TIMEOUTS
from bendwind_core.core import MILLISECONDS_PER_SECOND, Record, Seconds
from bendwind_core.membership import DrainMarksAccepted, LeaseTimes, VoterPlace
from bendwind_core.plans import CommandFault, CommandResult, ControlState, GroupChanged
from bendwind_core.quotas import QuotaBounds
from bendwind_core.timeline import EventKind, Recorder
from bendwind_core.world import Configuration, Upstream
from bendwind_node.claims.placer import ClaimPlacer, PlacementView
from bendwind_node.control.registry import RegistryTask, create_registry_task
from bendwind_node.control.voter import (
    ControlVoter,
    Unconfirmed,
    VoterStopped,
    open_voter,
    run_voter,
)
from bendwind_node.failure import run_named
from bendwind_node.guarded_tasks import GuardedNursery
from bendwind_node.operators import (
    ControlError,
    NoQuorum,
    NotLeader,
    OutcomeUnknown,
    ReplacementStatus,
    VoterStatus,
    propose_command,
)
from bendwind_node.quotas import VoterQuotaTask, create_voter_quota_task
from bendwind_node.runs import VoterRunTask
from bendwind_node.storage import StoreError, open_folder

PROPOSAL_TIMEOUT: Seconds = 5.0
RETURN_PERIOD_LEASES = 3.0
DEFAULT_QUOTA_BOUNDS = QuotaBounds()


class LogClient(msgspec.Struct, eq=False):
    """Propose to the log and read its state, for the operators' API and the registry.

    `configured_voters` and `configured_data_centres` come from the settings.
    `list_alive_data_centres` returns the data centres of the processes that are alive.
    """

    voter: ControlVoter
    state: ControlState
    configured_voters: tuple[VoterPlace, ...]
    configured_data_centres: frozenset[str] = frozenset()
    list_alive_data_centres: Callable[[], Iterable[str]] = lambda: ()

    async def propose(self, command: bytes) -> Result[CommandResult, ControlError]:
        """Propose a command and return its result once it is applied on this voter."""
        # A voter that stops during the proposal may already have sent the command to others, so
        # the outcome is unknown then.
        was_running = self.voter.stopped is None
        with trio.move_on_after(PROPOSAL_TIMEOUT):
            match await self.voter.propose(command):
                case Result(tag="ok", ok=applied):
                    return Ok(applied.value)
                case Result(error=consensus.NotLeader() as error):
                    return Error(NotLeader(error.leader))
                case Result(error=consensus.Refused()):
                    return Error(NoQuorum("the leader does not accept commands at present"))
                case Result(error=VoterStopped(reason=reason)) if not was_running:
                    return Error(NoQuorum(f"this voter has stopped: {reason}"))
        return Error(OutcomeUnknown("leadership was lost or no quorum answered in time"))

    async def barrier(self) -> Result[int, ControlError]:
        """Return an applied index that a quorum confirmed as the newest after the call began."""
        with trio.move_on_after(PROPOSAL_TIMEOUT):
            match await self.voter.barrier():
                case Result(tag="ok", ok=confirmed):
                    return Ok(confirmed.index)
                case Result(error=Unconfirmed(leader=leader)):
                    return Error(NoQuorum(f"no quorum confirmed the state; last leader: {leader}"))
                case Result(error=VoterStopped(reason=reason)):
                    return Error(NoQuorum(f"this voter has stopped: {reason}"))
        return Error(NoQuorum("no quorum answered in time"))

    def data_centres(self) -> frozenset[str]:
        """Return the data centres from the settings.

        Without them, return the data centres of the voters and of the processes that are alive.
        """
        if self.configured_data_centres:
            return self.configured_data_centres
        voters = {place.data_centre for place in self.voter_places}
        return frozenset(voters.union(self.list_alive_data_centres())) - {""}

    def leader(self) -> str | None:
        """Return the name of the leader, or None if it is unknown."""
        return self.voter.leader_name

    def voters(self) -> tuple[VoterStatus, ...]:
        """Return the status of every voter as known to this one."""
        own = self.voter.status()
        return tuple(self._describe(member.name, own) for member in own.voters.members)

    def replacement(self) -> ReplacementStatus | None:
        """Return the voter replacement in progress as known to this voter, or None."""
        own = self.voter.status()
        if not own.voters.is_joint:
            return None
        since = own.replacing_since
        return ReplacementStatus(
            leaving=tuple(voter.name for voter in own.voters.leaving),
            joining=tuple(voter.name for voter in own.voters.joining),
            awaited=tuple(voter.name for voter in own.awaited),
            for_ms=(
                None if since is None else (trio.current_time() - since) * MILLISECONDS_PER_SECOND
            ),
        )

    def _describe(self, name: str, own) -> VoterStatus:
        if name == own.name:
            return VoterStatus(name, own.role, own.applied)
        is_learner = any(member.name == name for member in own.voters.learners)
        role = "leader" if name == own.leader else "learner" if is_learner else "follower"
        return VoterStatus(name, role, 0)

    @property
    def configuration(self) -> Configuration:
        """Return the configuration as of the newest applied log entry."""
        return self.state.configuration

    @property
    def claim_groups(self) -> Mapping[str, ClaimGroup]:
        """Return the claim groups by service as of the newest applied log entry."""
        return self.state.claim_groups

    @property
    def drain_marks(self) -> DrainMarksAccepted:
        """Return the drain marks as of the newest applied log entry."""
        state = self.state
        return DrainMarksAccepted(
            frozenset(state.draining_instances),
            frozenset(state.draining_upstreams),
            state.drain_marks_version,
        )

    @property
    def voter_id(self) -> int | None:
        """Return this process's id among the committed voters, or None if it is not a voter.

        A voter that is being replaced counts until only its successor counts: the two never count
        at the same time.
        """
        replica = self.voter.replica
        own = replica.voter.voter_id
        is_voter = any(voter.voter_id == own for voter in replica.committed_voters.old_voters)
        return own if is_voter else None

    @property
    def voter_names(self) -> tuple[str, ...]:
        """Return the names of the committed voters."""
        return tuple(voter.name for voter in self.voter.replica.committed_voters.old_voters)

    @property
    def voter_places(self) -> tuple[VoterPlace, ...]:
        """Return the current voters with their addresses.

        Before a cluster has formed, these are the voters that the settings name.
        """
        configured_by_name = {place.name: place for place in self.configured_voters}
        present = self.voter.replica.voters.old_voters
        return (
            tuple(_find_place(member, configured_by_name) for member in present)
            or self.configured_voters
        )

    async def confirm(self) -> bool:
        """Run a quorum round; True means that all entries accepted before the call are applied."""
        return (await self.voter.barrier()).is_ok()


def _find_place(voter: consensus.Voter, configured_by_name: Mapping[str, VoterPlace]) -> VoterPlace:
    if not voter.host:
        return configured_by_name.get(voter.name, VoterPlace(voter.name))
    return VoterPlace(voter.name, voter.data_centre, voter.host, voter.port)


class ControlService(msgspec.Struct, eq=False):
    """Hold and run the tasks of a control voter."""

    voter: ControlVoter
    client: LogClient
    registry: RegistryTask
    placer: ClaimPlacer
    quotas: VoterQuotaTask
    runs: VoterRunTask
    leader_since: Seconds | None = None
    return_period_ends_at: Seconds | None = None
    newest_incarnations: dict[str, int] = msgspec.field(default_factory=dict)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; a voter whose disk fails pauses until the disk accepts writes."""
        async with trio.open_nursery() as nursery:
            await nursery.start(run_named, run_voter, self.voter)
            await nursery.start(run_named, self.registry.run)
            nursery.start_soon(run_named, self.quotas.run)
            guarded = GuardedNursery(nursery, self.voter.recorder)
            guarded.start_repeatedly(self.placer.run)
            guarded.start_repeatedly(self.runs.run)
            task_status.started()

    def view_placement(self) -> PlacementView | None:
        """Return the input for the placement of claims, or None if this voter is not the leader."""
        now = trio.current_time()
        self._update_incarnations(now)
        if not self.voter.is_leader:
            self.leader_since = None
            return None
        if self.leader_since is None:
            self.leader_since = now
        owners: dict[str, set[str]] = {}
        for upstream in self.upstreams():
            owners.setdefault(upstream.service, set()).add(upstream.owner.name)
        return PlacementView(
            now - self.leader_since,
            self.client.configuration.services,
            self.client.claim_groups,
            self.registry.alive(),
            {service: frozenset(names) for service, names in owners.items()},
            self.newest_incarnations,
            now >= self.return_period_ends_at,
        )

    def _update_incarnations(self, now: Seconds) -> None:
        """Record the nodes that were alive since the start or the last period without a quorum.

        Nodes that find no voter with a quorum retry at increasing intervals. For a few leases after
        such a period, a node that has sent no heartbeat is therefore not considered lost.
        """
        registry = self.registry.registry
        lease = registry.times.lease
        confirmed = registry.confirmed_round_started_at
        if confirmed is None or now - confirmed > lease or self.return_period_ends_at is None:
            self.return_period_ends_at = now + RETURN_PERIOD_LEASES * lease
            self.newest_incarnations.clear()
        for instance in self.registry.alive():
            self.newest_incarnations[instance.name] = instance.incarnation

    def upstreams(self) -> tuple[Upstream, ...]:
        """Return every upstream in the registry."""
        members = self.registry.registry.members.values()
        return tuple(
            upstream
            for member in members
            if member.is_visible
            for upstream in member.state.upstreams
        )


def _find_grant_period(settings: consensus.ReplicaSettings, times: LeaseTimes) -> Seconds:
    """Return for how long a voter may grant tokens after a quorum confirmation.

    After this time nodes detach from the voter anyway, and a voter is not replaced before it has
    been silent for this time.
    """
    return min(times.confirmation_limit, SILENT_TIMEOUTS * settings.election_s)


def open_control(
    own: VoterPlace,
    configured_voters: tuple[VoterPlace, ...],
    data_folder: Path,
    replica_settings: consensus.ReplicaSettings,
    times: LeaseTimes,
    send: Callable[[str, Record], object],
    recorder: Recorder,
    rng: random.Random,
    data_centres: tuple[str, ...] = (),
    quota_bounds: QuotaBounds = DEFAULT_QUOTA_BOUNDS,
    incarnation: int = 0,
) -> Result[ControlService, StoreError]:
    """Read the disk and create a control voter's tasks; call it inside a trio run.

    `incarnation` is that of the process.
    Errors: StoreError.
    """
    state = ControlState()
    names = tuple(place.name for place in configured_voters)
    files = open_folder(data_folder)
    opened = open_voter(own, names, files, state, send, recorder, rng, replica_settings)
    if opened.is_error():
        return opened
    voter = opened.ok
    client = LogClient(voter, state, configured_voters, frozenset(data_centres))
    registry = create_registry_task(own.name, client, times, send, recorder, rng)
    client.list_alive_data_centres = lambda: (instance.data_centre for instance in registry.alive())
    service: ControlService

    async def propose(command: ChangeClaimGroup) -> object:
        outcome = await propose_command(client, command)
        if command.group.lost and outcome.is_ok() and isinstance(outcome.ok, GroupChanged):
            # No member of the group is left that could record the loss.
            recorder.record(EventKind.CLAIM_GROUP_LOST, detail=command.group.service)
        if outcome.is_error() and isinstance(outcome.error, CommandFault):
            recorder.record(EventKind.COMMAND_REFUSED, detail=str(outcome.error))
        return outcome

    placer = ClaimPlacer(lambda: service.view_placement(), propose, rng, times.lease, recorder)
    quotas = create_voter_quota_task(
        own.name,
        incarnation,
        quota_bounds,
        replica_settings.open_to or len(configured_voters),
        _find_grant_period(replica_settings, times),
        client,
        send,
    )
    registry.observers.append(quotas)
    runs = VoterRunTask(own.name, incarnation, client, send, recorder.clock.wall_ms, recorder)
    service = ControlService(voter, client, registry, placer, quotas, runs)
    return Ok(service)
