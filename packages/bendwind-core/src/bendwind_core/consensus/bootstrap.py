"""Form exactly one cluster from empty disks.

Every empty voter sends a join request to all names in the settings. The voter whose name sorts
first forms the cluster once every other voter has replied, to the current id of the first one, that
it is also empty, and either its settings allow it or most disks were created before any cluster
existed: its process may have ended in the first start and run again with other settings. Had such a
cluster had a majority, one of these disks would hold its log. A voter that has accepted a first
entry replies that it has a log, and therefore every newcomer becomes a learner.

If the disk of the first voter is lost while its first entries are in transit, it may form a second
cluster. At most one of the two gets a majority; the voters of the other give way to it.
"""

import random

from bendwind_core.consensus.election import has_recent_leader
from bendwind_core.consensus.events import Send
from bendwind_core.consensus.membership import admit_learner
from bendwind_core.consensus.messages import (
    Append,
    FormCluster,
    JoinReply,
    JoinRequest,
    MemberMessage,
    SnapshotChunk,
)
from bendwind_core.consensus.records import Entry, Voter, VoterSet
from bendwind_core.consensus.replica import (
    Replica,
    Role,
    append_entry,
    send_durable,
    set_cluster,
    set_hard_state,
    truncate_log,
)
from bendwind_core.core import Seconds

CLUSTER_BITS = 63
_FIRST_TERM = 1
_FIRST_INDEX = 1


def tick_bootstrap(replica: Replica, now: Seconds, rng: random.Random) -> None:
    """Send join requests to every other name; form the cluster when all voters are empty."""
    if now < replica.heartbeat_at:
        return
    replica.heartbeat_at = now + replica.settings.heartbeat_s
    if _may_form_cluster(replica):
        _form_cluster(replica, rng)
        return
    _send_join_requests(replica)


def _send_join_requests(replica: Replica) -> None:
    known = [member.name for member in replica.voters.members]
    for name in dict.fromkeys((*replica.names, *known)):
        if name != replica.voter.name:
            replica.effects.append(Send(name, JoinRequest(replica.voter)))


def tick_without_leader(replica: Replica, now: Seconds) -> None:
    """Send join requests again while no leader contacts this member.

    The entry that made it a learner may have been overwritten, in which case no leader knows it. It
    may also have been replaced in the meantime without any member that its log names being able
    to notify it. A leader that knows it as a voter ignores the request.
    """
    if now < replica.heartbeat_at or has_recent_leader(replica, now):
        return
    replica.heartbeat_at = now + replica.settings.election_s
    _send_join_requests(replica)


def _may_form_cluster(replica: Replica) -> bool:
    others = set(replica.names) - {replica.voter.name}
    is_first = replica.voter.name == min(replica.names)
    may_form = replica.settings.may_form or _has_first_majority(replica)
    return may_form and is_first and others <= replica.empty_peers.keys()


def _has_first_majority(replica: Replica) -> bool:
    count = len(replica.first_starters) + replica.is_first_starter
    return count > len(set(replica.names)) // 2


def _form_cluster(replica: Replica, rng: random.Random) -> None:
    voters_by_name = replica.empty_peers | {replica.voter.name: replica.voter}
    voters = tuple(voters_by_name[name] for name in sorted(replica.names))
    accept_first_entry(replica, VoterSet(rng.getrandbits(CLUSTER_BITS), voters))
    for voter in voters:
        if voter != replica.voter:
            form = FormCluster(replica.voter, voter.voter_id, replica.voters)
            send_durable(replica, form, voter)


def accept_first_entry(replica: Replica, voters: VoterSet) -> None:
    """Append the first entry, which is identical on every initial voter."""
    append_entry(replica, Entry(_FIRST_INDEX, _FIRST_TERM, voters=voters))
    set_hard_state(replica, _FIRST_TERM, 0)
    set_cluster(replica, voters.cluster)
    replica.role = Role.FOLLOWER


def receive_join_request(replica: Replica, request: JoinRequest, now: Seconds) -> None:
    """Reply to a newcomer; a leader admits it, others send it the first entry if that names it.

    A newcomer only knows the voters that its settings name. The leader may not be among them, so
    a voter that is not the leader forwards the request to the leader.
    """
    newcomer = request.sender
    is_formed = replica.role is not Role.UNFORMED
    is_first_starter = replica.is_first_starter and not is_formed
    reply = JoinReply(replica.voter, newcomer.voter_id, is_formed, is_first_starter)
    send_durable(replica, reply, newcomer)
    if replica.is_leader:
        admit_learner(replica, newcomer, now)
    elif is_formed:
        _resend_first_entry(replica, newcomer)
        if not request.is_forwarded and replica.leader is not None:
            forwarded = JoinRequest(newcomer, is_forwarded=True)
            replica.effects.append(Send(replica.leader.name, forwarded))


def _resend_first_entry(replica: Replica, newcomer: Voter) -> None:
    if replica.log.first_index > _FIRST_INDEX or not replica.log.entries:
        return
    first = replica.log.find_entry(_FIRST_INDEX).voters
    if first is not None and first.has_voter(newcomer.voter_id):
        form = FormCluster(replica.voter, newcomer.voter_id, first)
        send_durable(replica, form, newcomer)


def receive_join_reply(replica: Replica, reply: JoinReply) -> None:
    """Record a peer that is empty; discard all recorded peers when one has a log."""
    if replica.role is not Role.UNFORMED or reply.to != replica.voter.voter_id:
        return
    if reply.is_formed:
        replica.empty_peers.clear()
        replica.first_starters.clear()
    elif reply.sender.name in replica.names:
        replica.empty_peers[reply.sender.name] = reply.sender
        _record_first_starter(replica, reply)


def _record_first_starter(replica: Replica, reply: JoinReply) -> None:
    if reply.is_first_starter:
        replica.first_starters.add(reply.sender.name)
    else:
        replica.first_starters.discard(reply.sender.name)


def receive_form_cluster(replica: Replica, form: FormCluster) -> None:
    """Accept the first entry if it names this voter and the log is empty."""
    is_addressed = form.to == replica.voter.voter_id and form.voters.has_voter(form.to)
    is_listed = {voter.name for voter in form.voters.voters} == set(replica.names)
    if replica.role is Role.UNFORMED and is_addressed and is_listed:
        accept_first_entry(replica, form.voters)


def gives_way(replica: Replica, message: MemberMessage) -> bool:
    """Return whether a message shows that another cluster has a majority, and its own never had.

    A voter that holds its first entry alone has not seen it committed. Two first entries that name
    the same voters differ in one of them at most, so that they cannot both get a majority.
    """
    match message:
        case Append(commit=commit):
            is_committed = commit >= _FIRST_INDEX
        case SnapshotChunk():
            is_committed = True
        case _:
            is_committed = False
    return is_committed and replica.commit == 0 and replica.log.last_index <= _FIRST_INDEX


def abandon_first_entry(replica: Replica) -> None:
    """Return to the empty state, in order to join a cluster that has a majority."""
    truncate_log(replica, _FIRST_INDEX)
    replica.role = Role.UNFORMED


def adopt_cluster(replica: Replica, cluster: int) -> None:
    """Join a cluster from the empty state, since a leader has sent a message to this id."""
    set_cluster(replica, cluster)
    replica.role = Role.FOLLOWER
