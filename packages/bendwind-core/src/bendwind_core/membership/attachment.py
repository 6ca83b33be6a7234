"""Choose the voter that a node is attached to, and judge when to leave it."""

import random

import msgspec

from bendwind_core.core import Seconds
from bendwind_core.membership.digest import digest_text
from bendwind_core.membership.messages import VoterPlace
from bendwind_core.membership.settings import LeaseTimes

# Longer waits would keep a node at a voter of a minority for seconds after the others have a leader
# again; a move costs one heartbeat, since a node that has everything is sent nothing.
_MAX_STAY_BEATS = 2
_JITTER = 0.1
# A node that no voter has answered since its start tries them this fast: it refuses all calls
# until then, and where all restart at once the voters listen a moment later than the nodes.
FIRST_RETRY_INTERVAL: Seconds = 0.08
NO_REPLY = "no reply"


class SentHeartbeat(msgspec.Struct, frozen=True):
    """Hold when and to whom a heartbeat was sent, and which Watch and customers it stated."""

    sent_at: Seconds
    watch: int
    customers: int = 0
    voter: str = ""


class Attachment(msgspec.Struct):
    """Hold the voter in use, when to leave it, and the heartbeats not answered.

    `sent` has heartbeats to other voters too, left because they had not answered yet.

    Units: `next_beat`, `heard_at`, `good_at`, `behind_since` in seconds of the node's clock;
    `patience` in heartbeats. `has_heard` says that a voter has answered since the node's start.
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

    @property
    def voter(self) -> str:
        """Return the name of the voter in use."""
        return self.order[self.index]


def order_voters(
    node: str, name: str, data_centre: str, voters: tuple[VoterPlace, ...]
) -> tuple[str, ...]:
    """List the voters in the order of preference: itself, own data centre, then by hash.

    Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
    """

    def rank(voter: VoterPlace) -> tuple[bool, bool, int]:
        score = digest_text(f"{node}\n{voter.name}")
        return voter.name != name, voter.data_centre != data_centre, score

    return tuple(voter.name for voter in sorted(voters, key=rank))


def set_voter_order(attachment: Attachment, order: tuple[str, ...]) -> bool:
    """Take over a new order of preference; tell whether the voter in use is none of it."""
    voter = attachment.voter
    attachment.order = order
    attachment.index = order.index(voter) if voter in order else 0
    return voter not in order


def schedule_heartbeat(
    attachment: Attachment, times: LeaseTimes, now: Seconds, rng: random.Random
) -> None:
    """Set the time of the next heartbeat, jittered so that nodes do not beat in step."""
    attachment.next_heartbeat_at = now + times.heartbeat * rng.uniform(1 - _JITTER, 1 + _JITTER)


def schedule_spread_heartbeat(
    attachment: Attachment, times: LeaseTimes, now: Seconds, rng: random.Random
) -> None:
    """Set the next heartbeat anywhere in one interval, so that nodes losing a voter spread."""
    attachment.next_heartbeat_at = now + times.heartbeat * rng.random()


def schedule_early_heartbeat(attachment: Attachment, now: Seconds, rng: random.Random) -> None:
    """Have the next heartbeat follow soon, for a node that serves nothing without a reply."""
    soon = now + FIRST_RETRY_INTERVAL * rng.uniform(0.5, 1.5)
    attachment.next_heartbeat_at = min(attachment.next_heartbeat_at, soon)


def find_reason_to_move(attachment: Attachment, times: LeaseTimes, now: Seconds) -> str | None:
    """Say why the voter should be left, or None."""
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


def select_next_voter(
    attachment: Attachment, times: LeaseTimes, now: Seconds, rng: random.Random
) -> None:
    """Turn to the next voter; wait longer at each while none gives a good reply."""
    attachment.index = (attachment.index + 1) % len(attachment.order)
    attachment.moved_at = now
    attachment.behind_since = None
    attachment.stay_beats = min(attachment.stay_beats * 2, _MAX_STAY_BEATS)
    attachment.next_heartbeat_at = now + 0.5 * times.heartbeat * rng.random()


def is_reply_expected(attachment: Attachment, peer: str) -> bool:
    """Tell whether a peer is the voter in use, or one left whose answer may still come."""
    return peer == attachment.voter or any(
        beat.voter == peer for beat in attachment.unanswered.values()
    )


def discard_heartbeats(attachment: Attachment, voter: str) -> None:
    """Await no answer of a voter any more."""
    attachment.unanswered = {
        n: beat for n, beat in attachment.unanswered.items() if beat.voter != voter
    }


def discard_other_heartbeats(attachment: Attachment) -> None:
    """Await no answer of any voter but the one in use."""
    attachment.unanswered = {
        n: beat for n, beat in attachment.unanswered.items() if beat.voter == attachment.voter
    }


def return_to_voter(attachment: Attachment, voter: str, now: Seconds) -> None:
    """Turn back to a voter that answered late, if it still is one."""
    if voter in attachment.order:
        attachment.index = attachment.order.index(voter)
        attachment.moved_at = now
        attachment.behind_since = None


def return_to_preferred_voter(
    attachment: Attachment, times: LeaseTimes, now: Seconds, rng: random.Random
) -> None:
    """Turn back to the voter that is preferred."""
    attachment.index = 0
    attachment.unanswered.clear()
    attachment.moved_at = now
    attachment.behind_since = None
    attachment.stay_beats = 1.0
    attachment.next_heartbeat_at = now + 0.5 * times.heartbeat * rng.random()
