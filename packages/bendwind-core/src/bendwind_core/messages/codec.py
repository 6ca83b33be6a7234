"""Encode and decode the messages between bendwindd processes as CBOR arrays."""

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
from bendwind_core.membership import (
    Announce,
    ConfigurationChanged,
    Heartbeat,
    HeartbeatReply,
    MemberDigest,
    MemberGossip,
    MemberPull,
    StatusReply,
    StatusRequest,
    Watch,
    WatchUpdate,
)
from bendwind_core.messages.hello import Goodbye, Hello

PeerMessage = (
    Hello
    | Goodbye
    | HandOver
    | AnswerHead
    | BodyPart
    | BodyCredit
    | NotRun
    | Unknown
    | Cancel
    | Fence
    | Fenced
    | Heartbeat
    | HeartbeatReply
    | Announce
    | Watch
    | WatchUpdate
    | ConfigurationChanged
    | MemberGossip
    | MemberDigest
    | MemberPull
    | StatusRequest
    | StatusReply
    | ClaimMessage
    | ConsensusMessage
)


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message as CBOR.

    >>> decode_message(encode_message(Goodbye("node-1"))).ok
    Goodbye(sender='node-1')
    """
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode_message(data: bytes) -> Result[PeerMessage, str]:
    """Decode a message and check every field.

    Errors: a text that says what was wrong with the data.
    """
    try:
        return Ok(msgspec.convert(cbor2.loads(data), PeerMessage))
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError) as error:
        return Error(f"undecodable message: {error}")
