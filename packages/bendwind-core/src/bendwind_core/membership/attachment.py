"""Choose the voter that a node is attached to, and decide when to leave it."""

import random

import msgspec

from bendwind_core.core import Seconds
from bendwind_core.membership.digest import digest_text
from bendwind_core.membership.messages import VoterPlace
from bendwind_core.membership.settings import LeaseTimes

# Limit of `stay_beats`, the minimum time that a node waits for a good reply before it moves. Longer
# waits would keep a node at a voter of a minority for seconds after the other voters have a leader
# again. A move costs only one heartbeat, since a node that is up to date is sent nothing.
_MAX_STAY_BEATS = 2
_JITTER = 0.1
# A node that has received no reply since its start tries the voters at this interval. It refuses
# all calls until a voter replies, and if all processes restart at once, the voters start to listen
# slightly later than the nodes.
FIRST_RETRY_INTERVAL: Seconds = 0.08
NO_REPLY = "no reply"


class SentHeartbeat(msgspec.Struct, frozen=True):
    """Hold the time and recipient of a heartbeat or query, and the versions stated in it."""

    sent_at: Seconds
    watch: int
    customers: int = 0
    voter: str = ""


class Attachment(msgspec.Struct):
    """Hold the voter in use, the state that decides when to leave it, and unanswered heartbeats.

    `order` lists the voters in the order of preference; `index` is the position of the one in use.
    `unanswered` also holds heartbeats to voters that were left because they had not replied yet.
    `last_good_reply_at` is the time of the last reply with a recent confirmation, `behind_since`
    that since which the voter lags behind its peers. `stay_beats` is the minimum time at a voter.
    `contacted` are the voters that this run has sent heartbeats to over a link that is still open.
    `useful_voter` is the one that last answered a query with a recent confirmation, at `useful_at`.
    `has_received_reply` is true if any voter has replied since the node's start.

    Units: `next_heartbeat_at`, `moved_at`, `last_reply_at`, `last_good_reply_at`, `behind_since` in
    seconds of the node's clock; `stay_beats` in heartbeats.
    """

    order: tuple[str, ...]
    index: int = 0
    next_heartbeat_at: Seconds = 0.0
    sequence: int = 0
    unanswered: dict[int, SentHeartbeat] = msgspec.field(default_factory=dict)
    moved_at: Seconds = 0.0
    last_reply_at: Seconds = 0.0
    last_good_reply_at: Seconds = 0.0
    behind_since: Seconds | None = None
    stay_beats: float = 1.0
    has_received_reply: bool = False
    contacted: set[str] = msgspec.field(default_factory=set)
    useful_voter: str = ""
    useful_at: Seconds = 0.0

    @property
    def voter(self) -> str:
        """Return the name of the voter in use."""
        return self.order[self.index]


def order_voters(
    node: str, name: str, data_centre: str, voters: tuple[VoterPlace, ...]
) -> tuple[str, ...]:
    """List the voters in the order of preference: the node itself, its data centre, then by hash.

    Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
    """

    def rank(voter: VoterPlace) -> tuple[bool, bool, int]:
        score = digest_text(f"{node}\n{voter.name}")
        return voter.name != name, voter.data_centre != data_centre, score

    return tuple(voter.name for voter in sorted(voters, key=rank))


def set_voter_order(attachment: Attachment, order: tuple[str, ...]) -> bool:
    """Replace the order of preference; return whether the voter in use is no longer listed."""
    voter = attachment.voter
    attachment.order = order
    attachment.index = order.index(voter) if voter in order else 0
    return voter not in order


def schedule_heartbeat(
    attachment: Attachment, times: LeaseTimes, now: Seconds, rng: random.Random
) -> None:
    """Set the time of the next heartbeat, with jitter so that nodes do not send in step."""
    attachment.next_heartbeat_at = now + times.heartbeat * rng.uniform(1 - _JITTER, 1 + _JITTER)


def schedule_spread_heartbeat(
    attachment: Attachment, times: LeaseTimes, now: Seconds, rng: random.Random
) -> None:
    """Set the next heartbeat at random in one interval to spread the nodes that lost a voter."""
    attachment.next_heartbeat_at = now + times.heartbeat * rng.random()


def schedule_early_heartbeat(attachment: Attachment, now: Seconds, rng: random.Random) -> None:
    """Schedule the next heartbeat early, for a node that serves no calls until a voter replies."""
    soon = now + FIRST_RETRY_INTERVAL * rng.uniform(0.5, 1.5)
    attachment.next_heartbeat_at = min(attachment.next_heartbeat_at, soon)


def find_reason_to_move(attachment: Attachment, times: LeaseTimes, now: Seconds) -> str | None:
    """Return the reason why the node should leave its voter, or None."""
    stay = attachment.stay_beats * times.heartbeat
    if now - max(attachment.last_reply_at, attachment.moved_at) > max(times.reply_timeout, stay):
        return NO_REPLY
    limit = max(times.confirmation_limit, stay)
    if now - max(attachment.last_good_reply_at, attachment.moved_at) > limit:
        return "confirmation too old"
    behind = attachment.behind_since
    if behind is not None and now - max(behind, attachment.moved_at) > limit:
        return "behind its peers"
    return None


def _find_next_index(attachment: Attachment, times: LeaseTimes, now: Seconds) -> int:
    useful = attachment.useful_voter
    is_recent = now - attachment.useful_at < times.confirmation_limit
    if is_recent and useful != attachment.voter and useful in attachment.order:
        return attachment.order.index(useful)
    return (attachment.index + 1) % len(attachment.order)


def select_next_voter(
    attachment: Attachment, times: LeaseTimes, now: Seconds, rng: random.Random
) -> None:
    """Select a voter that answered a query, or the next; stay longer while none replies well."""
    attachment.index = _find_next_index(attachment, times, now)
    attachment.moved_at = now
    attachment.behind_since = None
    attachment.stay_beats = min(attachment.stay_beats * 2, _MAX_STAY_BEATS)
    attachment.next_heartbeat_at = now + 0.5 * times.heartbeat * rng.random()


def is_reply_expected(attachment: Attachment, peer: str) -> bool:
    """Return whether a peer is the voter in use, or one left whose reply may still arrive."""
    return peer == attachment.voter or any(
        beat.voter == peer for beat in attachment.unanswered.values()
    )


def discard_heartbeats(attachment: Attachment, voter: str) -> None:
    """Discard the unanswered heartbeats to a voter, so that its replies are ignored."""
    attachment.unanswered = {
        n: beat for n, beat in attachment.unanswered.items() if beat.voter != voter
    }


def discard_other_heartbeats(attachment: Attachment) -> None:
    """Discard the unanswered heartbeats to all voters except the one in use."""
    attachment.unanswered = {
        n: beat for n, beat in attachment.unanswered.items() if beat.voter == attachment.voter
    }


def return_to_voter(attachment: Attachment, voter: str, now: Seconds) -> None:
    """Return to a voter that replied late, if it is still a voter."""
    if voter in attachment.order:
        attachment.index = attachment.order.index(voter)
        attachment.moved_at = now
        attachment.behind_since = None


def return_to_preferred_voter(
    attachment: Attachment, times: LeaseTimes, now: Seconds, rng: random.Random
) -> None:
    """Return to the preferred voter."""
    attachment.index = 0
    attachment.unanswered.clear()
    attachment.moved_at = now
    attachment.behind_since = None
    attachment.stay_beats = 1.0
    attachment.next_heartbeat_at = now + 0.5 * times.heartbeat * rng.random()
