"""Provide the HTTP API for operators."""

from bendwind_node.operators.app import OperatorsApp
from bendwind_node.operators.authority import (
    OperatorAuthority,
    create_certificate_authority,
    create_open_authority,
    create_token_authority,
)
from bendwind_node.operators.control_client import (
    ControlClient,
    ControlError,
    NoQuorum,
    NotLeader,
    OutcomeUnknown,
    ReplacementStatus,
    VoterStatus,
    propose_command,
)
from bendwind_node.operators.http import Response
from bendwind_node.operators.status_source import (
    NodeVersion,
    NoticeStatus,
    ProcessStatus,
    StatusSource,
)

__all__ = [
    "ControlClient",
    "ControlError",
    "NoQuorum",
    "NodeVersion",
    "NotLeader",
    "NoticeStatus",
    "OperatorAuthority",
    "OperatorsApp",
    "OutcomeUnknown",
    "ProcessStatus",
    "ReplacementStatus",
    "Response",
    "StatusSource",
    "VoterStatus",
    "create_certificate_authority",
    "create_open_authority",
    "create_token_authority",
    "propose_command",
]
