"""Choose the voter that a node is attached to, and judge when to leave it."""

import random

import msgspec

from bendwind_core.core import Seconds
from bendwind_core.membership.digest import digest_text
from bendwind_core.membership.messages import VoterPlace
from bendwind_core.membership.settings import LeaseTimes

# Longer waits would keep a node at a voter of a minority for seconds after the others have a leader
# again; a move costs one heartbeat, since a node that has everything is sent nothing.
_MAX_PATIENCE_BEATS = 2
_JITTER = 0.1
# A node that no voter has answered since its start tries them this fast: it refuses all calls
# until then, and where all restart at once the voters listen a moment later than the nodes.
FIRST_RETRY: Seconds = 0.08
NO_REPLY = "no reply"


class SentBeat(msgspec.Struct, frozen=True):
    """Hold when and to whom a heartbeat was sent, and which Watch and customers it stated."""

    at: Seconds
    watch: int
    version: int = 0
    voter: str = ""


class Attachment(msgspec.Struct):
    """Hold the voter in use, when to leave it, and the heartbeats not answered.

    `sent` has heartbeats to other voters too, left because they had not answered yet.

    Units: `next_beat`, `heard_at`, `good_at`, `behind_since` in seconds of the node's clock;
    `patience` in heartbeats. `has_heard` says that a voter has answered since the node's start.
    """

    order: tuple[str, ...]
    index: int = 0
    next_beat: Seconds = 0.0
    sequence: int = 0
    sent: dict[int, SentBeat] = msgspec.field(default_factory=dict)
    moved_at: Seconds = 0.0
    heard_at: Seconds = 0.0
    good_at: Seconds = 0.0
    behind_since: Seconds | None = None
    patience: float = 1.0
    has_heard: bool = False

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


def set_order(attachment: Attachment, order: tuple[str, ...]) -> bool:
    """Take over a new order of preference; tell whether the voter in use is none of it."""
    voter = attachment.voter
    attachment.order = order
    attachment.index = order.index(voter) if voter in order else 0
    return voter not in order


def schedule_beat(
    attachment: Attachment, times: LeaseTimes, now: Seconds, rng: random.Random
) -> None:
    """Set the time of the next heartbeat, jittered so that nodes do not beat in step."""
    attachment.next_beat = now + times.heartbeat * rng.uniform(1 - _JITTER, 1 + _JITTER)


def spread_beat(
    attachment: Attachment, times: LeaseTimes, now: Seconds, rng: random.Random
) -> None:
    """Set the next heartbeat anywhere in one interval, so that nodes losing a voter spread."""
    attachment.next_beat = now + times.heartbeat * rng.random()


def hurry_beat(attachment: Attachment, now: Seconds, rng: random.Random) -> None:
    """Have the next heartbeat follow soon, for a node that serves nothing without a reply."""
    soon = now + FIRST_RETRY * rng.uniform(0.5, 1.5)
    attachment.next_beat = min(attachment.next_beat, soon)


def find_reason_to_move(attachment: Attachment, times: LeaseTimes, now: Seconds) -> str | None:
    """Say why the voter should be left, or None."""
    stay = attachment.patience * times.heartbeat
    if now - max(attachment.heard_at, attachment.moved_at) > max(times.reply_timeout, stay):
        return NO_REPLY
    limit = max(times.confirmation_limit, stay)
    if now - max(attachment.good_at, attachment.moved_at) > limit:
        return "confirmation too old"
    behind = attachment.behind_since
    if behind is not None and now - max(behind, attachment.moved_at) > limit:
        return "behind its peers"
    return None


def move(attachment: Attachment, times: LeaseTimes, now: Seconds, rng: random.Random) -> None:
    """Turn to the next voter; wait longer at each while none gives a good reply."""
    attachment.index = (attachment.index + 1) % len(attachment.order)
    attachment.moved_at = now
    attachment.behind_since = None
    attachment.patience = min(attachment.patience * 2, _MAX_PATIENCE_BEATS)
    attachment.next_beat = now + 0.5 * times.heartbeat * rng.random()


def is_awaited(attachment: Attachment, peer: str) -> bool:
    """Tell whether a peer is the voter in use, or one left whose answer may still come."""
    return peer == attachment.voter or any(beat.voter == peer for beat in attachment.sent.values())


def forget_beats(attachment: Attachment, voter: str) -> None:
    """Await no answer of a voter any more."""
    attachment.sent = {n: beat for n, beat in attachment.sent.items() if beat.voter != voter}


def forget_other_beats(attachment: Attachment) -> None:
    """Await no answer of any voter but the one in use."""
    attachment.sent = {
        n: beat for n, beat in attachment.sent.items() if beat.voter == attachment.voter
    }


def turn_back(attachment: Attachment, voter: str, now: Seconds) -> None:
    """Turn back to a voter that answered late, if it still is one."""
    if voter in attachment.order:
        attachment.index = attachment.order.index(voter)
        attachment.moved_at = now
        attachment.behind_since = None


def go_home(attachment: Attachment, times: LeaseTimes, now: Seconds, rng: random.Random) -> None:
    """Turn back to the voter that is preferred."""
    attachment.index = 0
    attachment.sent.clear()
    attachment.moved_at = now
    attachment.behind_since = None
    attachment.patience = 1.0
    attachment.next_beat = now + 0.5 * times.heartbeat * rng.random()
