"""Define the state of one replica of the control log."""

import enum
import random
from collections import deque

import msgspec

from bendwind_core.consensus.events import Effect, LeaderChanged, Send
from bendwind_core.consensus.log import Log, create_log
from bendwind_core.consensus.messages import ConsensusMessage, Head
from bendwind_core.consensus.records import (
    EMPTY_SNAPSHOT,
    Entry,
    HardState,
    Snapshot,
    Voter,
    VotersAt,
    VoterSet,
)
from bendwind_core.core import Seconds

_READ_NUMBER_BITS = 48
# A replica that has just started requests pre-votes after this share of the election timeout:
# voters that are in contact with a leader reject them, and if all voters have restarted at once,
# none of them waits for a leader that does not exist. The shortest such wait is many round trips,
# so that two candidates rarely compete.
FIRST_TIMEOUT_SHARE = 0.15
# The shorter timeout applies for this many election timeouts after the start while no leader makes
# contact: other replicas may take longer to start, and the wait after a pre-vote that was too early
# must not be a whole election timeout.
EARLY_TIMEOUTS = 4


class Role(enum.StrEnum):
    """Enumerate the roles of a replica within its term."""

    UNFORMED = "unformed"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    REMOVED = "removed"


class ReplicaSettings(msgspec.Struct, frozen=True):
    """Hold the time and size limits of a replica.

    With `open_to` 0 the voters are always the names in the settings. Otherwise the voter set is
    open: any newcomer may join, becomes a voter while there are fewer than `open_to`, and after
    that replaces a silent voter. `may_form` allows empty voters to form a new cluster.
    Units: seconds, entries and bytes.
    """

    heartbeat_s: Seconds = 0.1
    election_s: Seconds = 1.0
    barrier_s: Seconds = 3.0
    batch_entries: int = 64
    batch_bytes: int = 256 * 1024
    chunk_bytes: int = 64 * 1024
    snapshot_entries: int = 1000
    snapshot_bytes: int = 1024 * 1024
    kept_entries: int = 100
    kept_bytes: int = 1024 * 1024
    pending_proposals: int = 512
    pending_bytes: int = 8 * 1024 * 1024
    open_to: int = 0
    may_form: bool = True


class Progress(msgspec.Struct):
    """Track the replication progress of one other replica at the leader.

    `awaits_index` is the index that the reply to the last batch or snapshot part will confirm.
    `snapshot` is kept while it is being sent, even if a newer one exists, so that a slow member can
    receive it completely.
    """

    voter: Voter
    next_index: int
    contact_at: Seconds
    match: int = 0
    round: int = 0
    awaits_index: int | None = None
    awaits_since: Seconds = 0.0
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0


class PendingWrite(msgspec.Struct):
    """Track a write that is not confirmed as synced, and the messages that wait for it."""

    token: int
    hard_state: HardState
    last_index: int
    requested_at: Seconds
    sends: list[Send] = msgspec.field(default_factory=list)


class LocalRead(msgspec.Struct):
    """Track a barrier of this process; `number` is that of the read it waits for, 0 if none."""

    request_id: int
    deadline: Seconds
    number: int = 0


class LeaderRead(msgspec.Struct):
    """Track a read that the leader confirms with `round`, which is 0 until one is assigned."""

    voter: Voter
    number: int
    round: int = 0


class ReadyRead(msgspec.Struct):
    """Track a confirmed barrier that waits for its index to be applied."""

    request_id: int
    index: int
    started_at: Seconds


class Reads(msgspec.Struct):
    """Hold the barriers of this process and, on a leader, the reads of all voters.

    Only one read is open at a time. Barriers that are requested meanwhile wait for the next read.
    """

    number: int
    is_open: bool = False
    started_at: Seconds = 0.0
    local: list[LocalRead] = msgspec.field(default_factory=list)
    ready: list[ReadyRead] = msgspec.field(default_factory=list)
    leader: list[LeaderRead] = msgspec.field(default_factory=list)


class IncomingSnapshot(msgspec.Struct):
    """Collect the parts of a snapshot that a leader sends."""

    index: int
    term: int
    data: bytearray


class Replica(msgspec.Struct):
    """Hold the complete state of one replica.

    `removal` is the id of the operator's request that ends with the replacement in progress.
    `is_first_starter` says that no cluster existed when this voter's disk was created, and
    `first_starters` names the `empty_peers` that say so.
    """

    voter: Voter
    names: tuple[str, ...]
    settings: ReplicaSettings
    hard_state: HardState
    log: Log
    configurations: list[VotersAt]
    role: Role
    deadline: Seconds
    durable_index: int
    durable_hard_state: HardState
    early_until: Seconds
    reads: Reads
    leader: Voter | None = None
    leader_contact_at: Seconds | None = None
    commit: int = 0
    applied: int = 0
    votes: set[int] = msgspec.field(default_factory=set)
    empty_peers: dict[str, Voter] = msgspec.field(default_factory=dict)
    first_starters: set[str] = msgspec.field(default_factory=set)
    is_first_starter: bool = False
    progress: dict[int, Progress] = msgspec.field(default_factory=dict)
    proposals: dict[int, int] = msgspec.field(default_factory=dict)
    removal: int | None = None
    round: int = 0
    heartbeat_at: Seconds = 0.0
    incoming: IncomingSnapshot | None = None
    is_snapshot_due: bool = False
    token: int = 0
    writes: deque[PendingWrite] = msgspec.field(default_factory=deque)
    is_hard_state_changed: bool = False
    truncate_from: int | None = None
    unwritten: list[Entry] = msgspec.field(default_factory=list)
    durable_sends: list[Send] = msgspec.field(default_factory=list)
    effects: list[Effect] = msgspec.field(default_factory=list)

    @property
    def voters(self) -> VoterSet:
        """Return the newest voter set in the log, which is active before it is committed."""
        return self.configurations[-1].voters

    @property
    def committed_voters(self) -> VoterSet:
        """Return the newest committed voter set."""
        known = [at.voters for at in self.configurations if at.index <= self.commit]
        return known[-1] if known else VoterSet()

    @property
    def is_change_pending(self) -> bool:
        """Return whether a voter set is in the log but not yet committed."""
        return self.configurations[-1].index > self.commit

    @property
    def is_leader(self) -> bool:
        """Return whether this replica is the leader of its term."""
        return self.role is Role.LEADER

    def leader_name(self) -> str | None:
        """Return the name of the leader, or None if it is unknown."""
        return self.leader.name if self.leader else None


def create_replica(
    voter: Voter,
    names: tuple[str, ...],
    settings: ReplicaSettings,
    now: Seconds,
    rng: random.Random,
    *,
    hard_state: HardState | None = None,
    snapshot: Snapshot = EMPTY_SNAPSHOT,
    entries: tuple[Entry, ...] = (),
    is_first_starter: bool = False,
) -> Replica:
    """Create a replica from its stored state; `names` are the voters in the settings."""
    hard = hard_state or HardState()
    log = create_log(snapshot, entries)
    configurations = [VotersAt(snapshot.index, snapshot.voters)]
    configurations += [
        VotersAt(entry.index, entry.voters)
        for entry in entries
        if entry.voters is not None and entry.index > snapshot.index
    ]
    is_formed = log.last_index > 0 or hard.cluster != 0
    return Replica(
        voter=voter,
        names=names,
        settings=settings,
        hard_state=hard,
        log=log,
        configurations=configurations,
        role=Role.FOLLOWER if is_formed else Role.UNFORMED,
        deadline=now + draw_timeout(settings, rng) * FIRST_TIMEOUT_SHARE,
        durable_index=log.last_index,
        durable_hard_state=hard,
        early_until=now + EARLY_TIMEOUTS * settings.election_s,
        # A random start prevents a reply to an earlier run of the process from matching a read of
        # this run.
        reads=Reads(number=rng.getrandbits(_READ_NUMBER_BITS)),
        commit=snapshot.index,
        applied=snapshot.index,
        is_first_starter=is_first_starter,
    )


def draw_timeout(settings: ReplicaSettings, rng: random.Random) -> Seconds:
    """Draw a random election timeout between one and two base timeouts."""
    return settings.election_s * (1 + rng.random())


def draw_campaign_delay(replica: Replica, now: Seconds, rng: random.Random) -> Seconds:
    """Draw the delay before the next campaign; it is short for a replica that has just started."""
    is_early = now < replica.early_until and replica.leader_contact_at is None
    return draw_timeout(replica.settings, rng) * (FIRST_TIMEOUT_SHARE if is_early else 1.0)


def create_head(replica: Replica, to: Voter, term: int | None = None) -> Head:
    """Create the head of a message to a member; the default term is the replica's own term."""
    own = replica.hard_state
    return Head(own.cluster, replica.voter, to.voter_id, own.term if term is None else term)


def send(replica: Replica, message: ConsensusMessage, to: Voter) -> None:
    """Send a message that does not depend on a pending write."""
    replica.effects.append(Send(to.name, message))


def send_durable(replica: Replica, message: ConsensusMessage, to: Voter) -> None:
    """Queue a message to be sent once every write requested so far is synced."""
    replica.durable_sends.append(Send(to.name, message))


def set_hard_state(replica: Replica, term: int, voted_for: int) -> None:
    """Set the term and the vote and schedule their write."""
    replica.hard_state = HardState(term, voted_for, replica.hard_state.cluster)
    replica.is_hard_state_changed = True


def set_cluster(replica: Replica, cluster: int) -> None:
    """Set the cluster id and schedule its write."""
    replica.hard_state = HardState(replica.hard_state.term, replica.hard_state.voted_for, cluster)
    replica.is_hard_state_changed = True


def append_entry(replica: Replica, entry: Entry) -> None:
    """Append an entry and schedule its write; a voter set becomes active immediately."""
    replica.log.append(entry)
    replica.unwritten.append(entry)
    if entry.voters is not None:
        replica.configurations.append(VotersAt(entry.index, entry.voters))


def truncate_log(replica: Replica, start: int) -> None:
    """Delete entries and their voter sets from an index on, and schedule the truncation."""
    if start <= replica.commit:
        raise AssertionError(
            f"truncation from index {start} of a log committed up to {replica.commit}"
        )
    replica.log.truncate(start)
    replica.configurations = [at for at in replica.configurations if at.index < start]
    replica.unwritten = [entry for entry in replica.unwritten if entry.index < start]
    replica.truncate_from = min(start, replica.truncate_from or start)
    replica.durable_index = min(replica.durable_index, start - 1)
    for write in replica.writes:
        write.last_index = min(write.last_index, start - 1)


def set_leader(replica: Replica, leader: Voter | None) -> None:
    """Set the leader and report a change of it."""
    if leader != replica.leader:
        replica.leader = leader
        replica.effects.append(LeaderChanged(replica.hard_state.term, leader))
