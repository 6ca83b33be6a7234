"""Encode and decode the messages between bendwindd processes as CBOR arrays."""

import typing

import cbor2
import msgspec
from expression import Error, Ok, Result

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
from bendwind_core.claims import ClaimMessage
from bendwind_core.consensus import ConsensusMessage
from bendwind_core.core import DECODE_ERRORS, Record, decode_cbor
from bendwind_core.membership import (
    Announce,
    ConfigurationAnswer,
    ConfigurationChanged,
    ConfigurationQuery,
    Heartbeat,
    HeartbeatReply,
    MemberDigest,
    MemberGossip,
    MemberPull,
    StatusReply,
    StatusRequest,
    SuspectReports,
    VoterList,
    Watch,
    WatchUpdate,
)
from bendwind_core.messages.hello import Goodbye, Hello, IncarnationQuery, IncarnationReply
from bendwind_core.quotas.messages import (
    QuotaLoan,
    QuotaLoanRequest,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
)
from bendwind_core.routing import LoadProbe, LoadReport
from bendwind_core.runs import (
    ForwardedRecorded,
    ForwardRuns,
    QueryRuns,
    ReportRuns,
    RunsAnswer,
    RunsRecorded,
)

PeerMessage = (
    Hello
    | Goodbye
    | IncarnationQuery
    | IncarnationReply
    | HandOver
    | AnswerHead
    | BodyPart
    | BodyCredit
    | NotRun
    | Unknown
    | Cancel
    | Fence
    | Fenced
    | LoadProbe
    | LoadReport
    | Heartbeat
    | HeartbeatReply
    | Announce
    | Watch
    | WatchUpdate
    | ConfigurationChanged
    | ConfigurationQuery
    | ConfigurationAnswer
    | VoterList
    | MemberGossip
    | MemberDigest
    | MemberPull
    | StatusRequest
    | StatusReply
    | SuspectReports
    | QuotaRequest
    | QuotaReply
    | QuotaReturn
    | QuotaLoanRequest
    | QuotaLoan
    | ReportRuns
    | RunsRecorded
    | ForwardRuns
    | ForwardedRecorded
    | QueryRuns
    | RunsAnswer
    | ClaimMessage
    | ConsensusMessage
)


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message as CBOR.

    >>> decode_message(encode_message(Goodbye("node-1"))).ok
    Goodbye(sender='node-1')
    """
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


# Maps tags to message types. Converting to the union would rebuild its type description for each
# message, which costs a hundred times the conversion; that of a single record is cached with its
# class.
_MESSAGE_TYPES = {
    message_type.__struct_config__.tag: message_type
    for message_type in typing.get_args(PeerMessage)
}


def find_message_type(value: object) -> type[Record] | None:
    """Return the type that the tag of a decoded message names, None if there is none."""
    if not isinstance(value, list) or not value or not isinstance(value[0], str):
        return None
    return _MESSAGE_TYPES.get(value[0])


def decode_message(data: bytes) -> Result[PeerMessage, str]:
    """Decode a message and check every field.

    Errors: a description of what is wrong with the data.
    """
    decoded = decode_cbor(data)
    if decoded.is_error():
        return Error(f"undecodable message: {decoded.error}")
    return convert_message(decoded.ok)


def convert_message(value: object) -> Result[PeerMessage, str]:
    """Convert what CBOR holds to a message and check every field.

    Errors: a description of what is wrong with the value.
    """
    message_type = find_message_type(value)
    if message_type is None:
        return Error("undecodable message: not an array that begins with a known tag")
    try:
        return Ok(msgspec.convert(value, message_type))
    except DECODE_ERRORS as error:
        return Error(f"undecodable message: {error}")
