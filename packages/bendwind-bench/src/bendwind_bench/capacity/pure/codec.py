"""Measure the bytes and the processor time of each kind of message."""

from collections.abc import Iterator

import msgspec

from bendwind_bench.capacity.fixture import INCARNATION, make_instance, make_service, make_upstream
from bendwind_bench.capacity.slope import Slope, decode, encode, fit, time_median
from bendwind_core.attempts import AnswerHead, AttemptId, Cancel, HandOver, NotRun, NotRunReason
from bendwind_core.claims import (
    Claim,
    ClaimAnswer,
    ClaimAppend,
    ClaimAppended,
    ClaimGranted,
    ClaimOutcome,
    ClaimRequest,
    ClaimSettled,
    ClaimState,
)
from bendwind_core.consensus import Append, AppendReply, Entry, Head, Voter
from bendwind_core.core import Record
from bendwind_core.membership import (
    Announce,
    ConfigurationChanged,
    Heartbeat,
    HeartbeatReply,
    MemberDigest,
    MemberGossip,
    MemberState,
    Watch,
    WatchUpdate,
)
from bendwind_core.world import LoadSample, Repeat

BATCH = 200
BODY_SIZES = (0, 1024, 4096, 16384)
WATCHED_SERVICES = 10
UPSTREAMS_PER_SERVICE = 23


class MessageKind(msgspec.Struct, frozen=True):
    """Hold the size and the processor time of one kind of message.

    Units: `encode_us` and `decode_us` are microseconds of processor time.
    """

    name: str
    bytes: int
    encode_us: float
    decode_us: float


def make_hand_over(body: int) -> HandOver:
    """Make the hand-over of a call of typical size to an owner."""
    headers = ((b"accept", b"application/json"), (b"user-agent", b"assessor/1.4"))
    attempt = AttemptId("node-00001", INCARNATION, 123_456)
    return HandOver(
        attempt,
        INCARNATION,
        "service-001",
        "service-001-00001",
        "POST",
        b"/records/7731",
        headers,
        1987.5,
        Repeat.IDEMPOTENT,
        120_000,
        b"x" * body,
    )


def make_answer(body: int) -> AnswerHead:
    """Make an answer of typical size."""
    headers = ((b"content-type", b"application/json"), (b"content-length", b"1024"))
    attempt = AttemptId("node-00001", INCARNATION, 123_456)
    load = LoadSample(3, 0, 12, 11.25, 0.01)
    return AnswerHead(attempt, 200, headers, load, b"x" * body, False, 11.75)


def _list_calls() -> Iterator[tuple[str, Record]]:
    attempt = AttemptId("node-00001", INCARNATION, 123_456)
    yield "HandOver, 1 KiB", make_hand_over(1024)
    yield "AnswerHead, 1 KiB", make_answer(1024)
    yield "NotRun", NotRun(attempt, NotRunReason.QUEUE_FULL, LoadSample(12, 16, 12, 40.0))
    yield "Cancel", Cancel(attempt, "service-001-00001")


def _list_membership() -> Iterator[tuple[str, Record]]:
    node = make_instance(1)
    upstream = make_upstream(1, "service-001")
    upstreams = tuple(make_upstream(index, "service-001") for index in range(UPSTREAMS_PER_SERVICE))
    names = tuple(f"service-{index:03d}" for index in range(WATCHED_SERVICES))
    state = MemberState(node, "voter-0", 77_000, True, 1, (upstream,))
    yield "Heartbeat", Heartbeat(node, 77_000, 120_000, 3, 2, 2**63)
    yield "HeartbeatReply", HeartbeatReply(77_000, 120_000, 130.123456, True)
    yield "Announce", Announce(node.name, INCARNATION, 2, (upstream,))
    yield f"Watch of {WATCHED_SERVICES} services", Watch(node.name, names, INCARNATION, 3)
    yield "WatchUpdate of 1 upstream", WatchUpdate("service-001", (upstream,), False)
    yield f"WatchUpdate of {UPSTREAMS_PER_SERVICE} upstreams", WatchUpdate("service-001", upstreams)
    yield "ConfigurationChanged of 1 service", ConfigurationChanged(120_000, (make_service(1),))
    yield "MemberGossip of 1 node", MemberGossip("voter-0", (state,))
    yield "MemberDigest", MemberDigest("voter-0", (2**63,) * 256)


def _list_claims() -> Iterator[tuple[str, Record]]:
    key, call, member = "7d1f0e0a-5a8e-4c8f-9d5e-1c2b3a495867", "node-00001-77-12", "node-00001#1"
    answer = ClaimAnswer(201, ((b"content-type", b"application/json"),), b"x" * 512)
    claim = Claim(key, b"f" * 16, call, ClaimState.PENDING, 3, 4_711, 2500.0)
    settled = Claim(key, b"f" * 16, call, ClaimState.ANSWERED, 3, 4_712, answer=answer)
    yield "ClaimRequest", ClaimRequest("service-001", key, b"f" * 16, call, member, 1987.5)
    yield "ClaimGranted", ClaimGranted("service-001", key, call, 3)
    yield "ClaimAppend of a claim", _make_append(claim, member)
    yield "ClaimAppend of an answer", _make_append(settled, member)
    yield "ClaimAppended", ClaimAppended("service-001", 3, 4_711, member)
    outcome = ClaimOutcome("service-001", key, call, member, ClaimState.ANSWERED, answer)
    yield "ClaimOutcome, 512 B answer", outcome
    yield "ClaimSettled", ClaimSettled("service-001", key, call)


def _make_append(claim: Claim, member: str) -> ClaimAppend:
    return ClaimAppend("service-001", 3, claim.sequence, member, "node-00002#1", (claim,), (0.0,))


def _list_consensus() -> Iterator[tuple[str, Record]]:
    leader = Head(2**60, Voter("voter-0", 2**62), 2**62 + 1, 7)
    follower = Head(2**60, Voter("voter-1", 2**62 + 1), 2**62, 7)
    entry = Entry(120_001, 7, b"x" * 512)
    yield "Append, empty", Append(leader, 120_000, 7, (), 120_000, 99_000)
    yield "Append of 512 B", Append(leader, 120_000, 7, (entry,), 120_000, 99_000)
    yield "AppendReply", AppendReply(follower, True, 120_001, 99_000)


def measure_kinds() -> tuple[MessageKind, ...]:
    """Measure every kind of message with typical contents, each alone in a frame."""
    messages = [*_list_calls(), *_list_membership(), *_list_claims(), *_list_consensus()]
    return tuple(_measure_kind(name, message) for name, message in messages)


def _measure_kind(name: str, message: Record) -> MessageKind:
    data = encode(message)
    assert decode(data) == message
    return MessageKind(
        name,
        len(data),
        time_median(lambda: _repeat(encode, message)),
        time_median(lambda: _repeat(decode, data)),
    )


def _repeat(work, argument) -> int:
    for _ in range(BATCH):
        work(argument)
    return BATCH


def measure_bodies() -> dict[str, Slope]:
    """Measure the size and time of the messages of a call for growing bodies."""
    sizes, times = [], []
    for body in BODY_SIZES:
        messages = (make_hand_over(body), make_answer(body))
        both = sum(len(encode(message)) for message in messages)
        sizes.append((body, both))
        codec_us = sum(
            kind.encode_us + kind.decode_us
            for kind in (_measure_kind("", message) for message in messages)
        )
        times.append((body, codec_us))
    return {
        "call_bytes": fit("Hand-over and answer of a call", "bytes", "byte of each body", sizes),
        "call_codec_us": fit("Encode and decode both", "us", "byte of each body", times),
    }
