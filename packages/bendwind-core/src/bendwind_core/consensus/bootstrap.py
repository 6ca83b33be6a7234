"""Form exactly one cluster from empty disks.

Every empty voter offers itself to all names in the settings. The first name in order forms the
cluster when every other has answered its present id that it is empty too. A voter that has
accepted a first entry answers that it has a log, which makes every newcomer a learner.
"""

import random

from bendwind_core.consensus.election import has_recent_leader
from bendwind_core.consensus.events import Send
from bendwind_core.consensus.membership import admit_learner
from bendwind_core.consensus.messages import Form, JoinReply, JoinRequest
from bendwind_core.consensus.records import Entry, Voter, VoterSet
from bendwind_core.consensus.replica import (
    Replica,
    Role,
    append_entry,
    join_cluster,
    send_durable,
    set_hard_state,
)
from bendwind_core.core import Seconds

CLUSTER_BITS = 63
_FIRST_TERM = 1
_FIRST_INDEX = 1


def tick_bootstrap(replica: Replica, now: Seconds, rng: random.Random) -> None:
    """Offer this empty voter to every other name; form the cluster when all are empty."""
    if now < replica.heartbeat_at:
        return
    replica.heartbeat_at = now + replica.settings.heartbeat_s
    if _may_form(replica):
        _form(replica, rng)
        return
    _send_offers(replica)


def _send_offers(replica: Replica) -> None:
    known = [member.name for member in replica.voters.members]
    for name in dict.fromkeys((*replica.names, *known)):
        if name != replica.voter.name:
            replica.effects.append(Send(name, JoinRequest(replica.voter)))


def tick_outsider(replica: Replica, now: Seconds) -> None:
    """Offer this voter again when no leader sends it anything.

    The entry that made it a learner may have been overwritten, so that no leader knows of it; or
    it was replaced meanwhile, and none of those that its log names may tell it so. A leader that
    knows it as a voter ignores the offer.
    """
    if now < replica.heartbeat_at or has_recent_leader(replica, now):
        return
    replica.heartbeat_at = now + replica.settings.election_s
    _send_offers(replica)


def _may_form(replica: Replica) -> bool:
    others = set(replica.names) - {replica.voter.name}
    is_first = replica.voter.name == min(replica.names)
    return replica.settings.may_form and is_first and others <= replica.offers.keys()


def _form(replica: Replica, rng: random.Random) -> None:
    offers = replica.offers | {replica.voter.name: replica.voter}
    voters = tuple(offers[name] for name in sorted(replica.names))
    accept_first_entry(replica, VoterSet(rng.getrandbits(CLUSTER_BITS), voters))
    for voter in voters:
        if voter != replica.voter:
            form = Form(replica.voter, voter.voter_id, replica.voters)
            send_durable(replica, form, voter)


def accept_first_entry(replica: Replica, voters: VoterSet) -> None:
    """Take the first entry, which every first voter holds alike."""
    append_entry(replica, Entry(_FIRST_INDEX, _FIRST_TERM, voters=voters))
    set_hard_state(replica, _FIRST_TERM, 0)
    join_cluster(replica, voters.cluster)
    replica.role = Role.FOLLOWER


def receive_offer(replica: Replica, offer: JoinRequest, now: Seconds) -> None:
    """Answer an empty voter; a leader takes it in, others hand it the first entry it is in.

    A newcomer knows those voters that its settings name; one of them passes its offer on to the
    leader, which may be none of them.
    """
    newcomer = offer.sender
    is_formed = replica.role is not Role.UNFORMED
    reply = JoinReply(replica.voter, newcomer.voter_id, is_formed)
    send_durable(replica, reply, newcomer)
    if replica.is_leader:
        admit_learner(replica, newcomer, now)
    elif is_formed:
        _repeat_form(replica, newcomer)
        if not offer.is_forwarded and replica.leader is not None:
            passed_on = JoinRequest(newcomer, is_forwarded=True)
            replica.effects.append(Send(replica.leader.name, passed_on))


def _repeat_form(replica: Replica, newcomer: Voter) -> None:
    if replica.log.first_index > _FIRST_INDEX or not replica.log.entries:
        return
    first = replica.log.find_entry(_FIRST_INDEX).voters
    if first is not None and first.has_voter(newcomer.voter_id):
        form = Form(replica.voter, newcomer.voter_id, first)
        send_durable(replica, form, newcomer)


def receive_offer_reply(replica: Replica, reply: JoinReply) -> None:
    """Note a peer that is empty; forget all offers when one has a log."""
    if replica.role is not Role.UNFORMED or reply.to != replica.voter.voter_id:
        return
    if reply.is_formed:
        replica.offers.clear()
    elif reply.sender.name in replica.names:
        replica.offers[reply.sender.name] = reply.sender


def receive_form(replica: Replica, form: Form) -> None:
    """Take the first entry when it names this voter and the log is empty."""
    is_meant = form.to == replica.voter.voter_id and form.voters.has_voter(form.to)
    is_listed = {voter.name for voter in form.voters.voters} == set(replica.names)
    may_form = replica.settings.may_form and replica.role is Role.UNFORMED
    if may_form and is_meant and is_listed:
        accept_first_entry(replica, form.voters)


def adopt_cluster(replica: Replica, cluster: int) -> None:
    """Leave the empty state because a leader has addressed this id."""
    join_cluster(replica, cluster)
    replica.role = Role.FOLLOWER
