"""Create a process's tasks from its settings without starting them."""

import random
import time
from pathlib import Path

import trio
from expression import Error, Ok, Result

from bendwind_core.admission import WarmUpLimits
from bendwind_core.attempts.attempt_ids import AttemptIds
from bendwind_core.claims import ClaimLimits
from bendwind_core.consensus import ReplicaSettings
from bendwind_core.core import MAX_BORN_MS, MILLISECONDS_PER_SECOND
from bendwind_core.limits import ConcurrencyShare, ProbeBudget
from bendwind_core.membership import (
    LeaseTimes,
    VoterPlace,
)
from bendwind_core.messages import Hello
from bendwind_core.quotas import QuotaBounds
from bendwind_core.runs import create_run_keeper
from bendwind_core.suspicion import SuspectTable, SuspicionLimits
from bendwind_core.timeline import Recorder
from bendwind_core.world import Instance, Upstream, WarmUpRule
from bendwind_node import STARTED_AT
from bendwind_node.calls.announced_runs import AnnouncedRuns
from bendwind_node.calls.assembly import AssemblyTable
from bendwind_node.calls.body_flow import ByteBudget
from bendwind_node.calls.body_share import create_body_pacer, create_body_share
from bendwind_node.calls.entry_node import EntryNode
from bendwind_node.calls.owner_node import OwnerNode
from bendwind_node.calls.probe_task import ProbeTask
from bendwind_node.calls.upstream_register import UpstreamRegister
from bendwind_node.claims import create_claim_task
from bendwind_node.clock import read_steady_clock, read_steady_clock_us
from bendwind_node.control.control_voter import ControlVoter
from bendwind_node.control.service import open_control
from bendwind_node.daemon.dispatcher import Dispatcher
from bendwind_node.daemon.extension import Extension
from bendwind_node.daemon.kept_incarnation import read_incarnation, write_incarnation
from bendwind_node.daemon.listeners import Listeners, find_port
from bendwind_node.daemon.state import Daemon
from bendwind_node.daemon.view_effects import handle_view_effect, update_addresses
from bendwind_node.guarded_tasks import GuardedNursery
from bendwind_node.links import Address, LinkHub, create_link_hub, query_incarnation
from bendwind_node.membership import MembershipTask, create_membership_task
from bendwind_node.quotas import create_node_quota_task
from bendwind_node.runs import NodeRunTask
from bendwind_node.security import load_keys
from bendwind_node.settings import Settings
from bendwind_node.settings.tables import ControlTable

_NANOSECONDS_PER_MILLISECOND = 1_000_000


def read_wall_ms() -> int:
    """Return the wall-clock time in milliseconds since 1970."""
    return time.time_ns() // _NANOSECONDS_PER_MILLISECOND


def create_recorder(settings: Settings) -> Recorder:
    """Create the recorder of a process's events."""
    name = settings.instance.name
    return Recorder(name, read_wall_ms, settings.timeline.capacity, read_steady_clock_us)


def prepare_daemon(
    settings: Settings, listeners: Listeners, recorder: Recorder | None = None
) -> Result[Daemon, str]:
    """Create the parts that need no running task, such as the keys.

    Errors: a text that names the unusable file.
    """
    name = settings.instance.name
    recorder = recorder or create_recorder(settings)
    budget = ByteBudget(settings.limits.buffered_bytes)
    daemon = Daemon(settings, listeners, recorder, Dispatcher(name), None, budget)
    if settings.tls is not None:
        loaded = load_keys(settings.tls, recorder, settings.operators.client_authority)
        if loaded.is_error():
            return Error(str(loaded.error))
        daemon.keys = loaded.ok
    return Ok(daemon)


async def choose_incarnation(daemon: Daemon) -> int:
    """Return an incarnation greater than those of earlier runs that voters or the disk know."""
    settings = daemon.settings
    own_address = (settings.peers.host, find_port(daemon.listeners.peers))
    voters = [Address(voter.host, voter.port) for voter in settings.voters]
    others = [voter for voter in voters if (voter.host, voter.port) != own_address]
    secure = None if daemon.keys is None else daemon.keys.client
    known = await query_incarnation(settings.instance.name, others, secure)
    kept = read_incarnation(_find_data_folder(settings), daemon.recorder)
    return min(max(read_wall_ms(), known + 1, kept + 1), MAX_BORN_MS)


def keep_incarnation(daemon: Daemon, incarnation: int) -> None:
    """Keep the incarnation of this run on disk, before anything that states it is sent."""
    write_incarnation(_find_data_folder(daemon.settings), incarnation, daemon.recorder)


def _find_data_folder(settings: Settings) -> str | None:
    return None if settings.control is None else settings.control.data_folder


def build_daemon(
    daemon: Daemon,
    nursery: trio.Nursery,
    extension: Extension,
    incarnation: int,
) -> Result[Daemon, str]:
    """Create every task; the tasks that handle calls start child tasks in the nursery.

    Errors: a text that names the unusable folder.
    """
    rng = random.Random()
    own = _create_instance(daemon.settings, daemon.listeners, incarnation)
    _build_node(daemon, own, nursery, rng, extension)
    return _build_control(daemon, own, rng)


def _create_instance(settings: Settings, listeners: Listeners, incarnation: int) -> Instance:
    operators = settings.operators
    return Instance(
        settings.instance.name,
        settings.instance.data_centre,
        settings.peers.host,
        find_port(listeners.peers),
        incarnation=incarnation,
        operators=f"{operators.host}:{find_port(listeners.operators)}" if operators else "",
    )


def _make_lease_times(settings: Settings) -> LeaseTimes:
    lease = settings.lease
    return LeaseTimes(
        lease.heartbeat_ms / MILLISECONDS_PER_SECOND, lease.lease_ms / MILLISECONDS_PER_SECOND
    )


def _make_claim_limits(settings: Settings) -> ClaimLimits:
    claims = settings.claims
    return ClaimLimits(claims.retention_s, claims.keys, claims.key_bytes, claims.answer_bytes)


def _make_suspicion_limits(settings: Settings) -> SuspicionLimits:
    suspicion = settings.suspicion
    return SuspicionLimits(
        suspicion.apart_from, suspicion.quarantine_from, suspicion.quarantine_s, suspicion.keep_s
    )


def _make_quota_bounds(settings: Settings) -> QuotaBounds:
    quotas = settings.quotas
    return QuotaBounds(quotas.window_s, quotas.overage, quotas.slack)


def list_voters(settings: Settings) -> tuple[VoterPlace, ...]:
    """Return the voters that the settings name."""
    return tuple(
        VoterPlace(voter.name, voter.data_centre, voter.host, voter.port)
        for voter in settings.voters
    )


def _build_node(
    daemon: Daemon,
    own: Instance,
    nursery: trio.Nursery,
    rng: random.Random,
    extension: Extension,
) -> None:
    settings = daemon.settings
    recorder = daemon.recorder
    dispatcher = daemon.dispatcher
    guarded = GuardedNursery(nursery, recorder)
    voters = list_voters(settings)
    names = tuple(voter.name for voter in voters)
    times = _make_lease_times(settings)
    membership = create_membership_task(
        own, voters, times, dispatcher.send, recorder, rng, settings.watch.services
    )
    dispatcher.membership = membership
    dispatcher.hub = _build_hub(daemon, own, membership)
    dispatcher.claims = create_claim_task(
        own, names, dispatcher.send, membership.watch, recorder, _make_claim_limits(settings)
    )
    measuring = settings.measuring
    budget = ProbeBudget(measuring.messages_per_s, measuring.bytes_per_s)
    register = UpstreamRegister(
        own,
        recorder,
        guarded,
        settings.lease.upstream_ms or settings.lease.lease_ms,
        lambda upstream: _announce(membership, upstream),
        extension.dialect,
        settings.limits.slot_share,
        lambda service: _find_health_path(membership, service),
        lambda service: _find_warm_up(membership, service),
        lambda service: service in membership.services,
        WarmUpLimits(settings.limits.warm_up_overage, settings.limits.warm_up_slack),
        trio.current_time() - (read_steady_clock() - STARTED_AT),
        SuspectTable(own.name, _make_suspicion_limits(settings)),
    )
    dispatcher.runs = NodeRunTask(
        create_run_keeper(own.name, own.incarnation, is_loaded=False),
        membership.list_voters,
        dispatcher.send,
        recorder,
        register.handle_loaded,
    )
    register.runs = AnnouncedRuns(
        dispatcher.runs.keeper, dispatcher.runs.wake, dispatcher.runs.wait_recorded
    )
    link_mbps = settings.peers.link_mbps
    assemblies = AssemblyTable(
        settings.limits.body_bytes, daemon.body_budget, share=create_body_share(link_mbps)
    )
    dispatcher.owner = OwnerNode(
        own,
        recorder,
        guarded,
        register,
        assemblies,
        budget,
        extension.dialect,
        membership.send_suspects,
        lambda: membership.view.version,
    )
    dispatcher.quotas = create_node_quota_task(
        _make_quota_bounds(settings),
        own.incarnation,
        membership.list_voters,
        dispatcher.send,
        recorder,
    )
    dispatcher.quotas.find_customer = membership.find_customer
    dispatcher.entry = EntryNode(
        own,
        recorder,
        guarded,
        dispatcher.hub,
        dispatcher.owner,
        membership,
        dispatcher.claims,
        rng,
        AttemptIds(own.name, own.incarnation),
        ConcurrencyShare(settings.limits.in_flight),
        extension.dialect,
        "" if settings.callers is None else settings.callers.origin_service,
        settings.limits.far_body_bytes,
        quotas=dispatcher.quotas,
        pacer=create_body_pacer(link_mbps),
    )
    dispatcher.owner.register.note_origin = dispatcher.entry.note_origin
    dispatcher.probes = ProbeTask(dispatcher.entry, dispatcher.owner, budget)
    membership.listeners.append(lambda effect: handle_view_effect(dispatcher, effect))


def _build_hub(daemon: Daemon, own: Instance, membership: MembershipTask) -> LinkHub:
    def make_hello(epoch: int) -> Hello:
        return Hello(own, epoch, membership.view.version, membership.confirmed_age_ms())

    hub = create_link_hub(
        own,
        daemon.dispatcher,
        daemon.recorder,
        make_hello,
        daemon.keys,
        daemon.settings.peers.silence_ms,
        compresses_far=daemon.settings.peers.compresses_far,
        link_mbps=daemon.settings.peers.link_mbps,
    )
    hub.traffic.find_version = lambda: membership.view.version
    hub.find_registered_incarnation = lambda name: _find_registered_incarnation(daemon, name)
    update_addresses(hub, list_voters(daemon.settings))
    return hub


def _find_registered_incarnation(daemon: Daemon, name: str) -> int:
    control = daemon.dispatcher.control
    member = None if control is None else control.registry.registry.members.get(name)
    return 0 if member is None else member.state.node.incarnation


def _build_control(daemon: Daemon, own: Instance, rng: random.Random) -> Result[Daemon, str]:
    settings = daemon.settings
    if settings.control is None:
        return Ok(daemon)
    folder = Path(settings.control.data_folder)
    dispatcher = daemon.dispatcher
    opened = open_control(
        VoterPlace(own.name, own.data_centre, own.host, own.port),
        list_voters(settings),
        folder,
        _make_replica_settings(settings.control),
        _make_lease_times(settings),
        dispatcher.send,
        daemon.recorder,
        rng,
        settings.control.data_centres,
        _make_quota_bounds(settings),
        own.incarnation,
    )
    if opened.is_error():
        return Error(f"{folder}: {opened.error}")
    dispatcher.control = opened.ok
    _track_members(daemon, opened.ok.voter)
    return Ok(daemon)


def _make_replica_settings(control: ControlTable) -> ReplicaSettings:
    return ReplicaSettings(
        heartbeat_s=control.heartbeat_ms / MILLISECONDS_PER_SECOND,
        open_to=control.open_to,
        may_form=control.may_form,
    )


def _track_members(daemon: Daemon, voter: ControlVoter) -> None:
    """Set the addresses of all voters and learners in the log on the links, configured or not."""

    hub = daemon.dispatcher.hub
    voter.update_member_address = lambda member: update_addresses(hub, (member,))
    update_addresses(hub, voter.replica.voters.members)


def _find_health_path(membership: MembershipTask, name: str) -> str:
    # An upstream may wait for its health answer before it is announced to the voters.
    membership.watch(name)
    service = membership.services.get(name)
    return "" if service is None else service.health_path


def _find_warm_up(membership: MembershipTask, name: str) -> WarmUpRule | None:
    service = membership.services.get(name)
    return None if service is None else service.warm_up


def _announce(membership: MembershipTask, upstream: Upstream) -> None:
    # An owner watches the services of its upstreams, since drain marks are sent to it together with
    # the upstreams of a watched service.
    membership.watch(upstream.service)
    membership.announce(upstream)
