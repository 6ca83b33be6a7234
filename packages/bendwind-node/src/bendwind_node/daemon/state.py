"""Hold the tasks of one process and the events that control its stop."""

import msgspec
import trio

from bendwind_core.timeline import Recorder
from bendwind_node.calls.body_flow import ByteBudget
from bendwind_node.calls.request_account import RequestAccount
from bendwind_node.daemon.dispatcher import Dispatcher
from bendwind_node.daemon.listeners import Listeners
from bendwind_node.security import Keys
from bendwind_node.settings import Settings


class Daemon(msgspec.Struct, eq=False):
    """Hold the tasks of one process; `keys` is None if its links are not encrypted.

    `callers_drain` makes the callers' server drain, `callers_closed` is set when it has drained,
    and `callers_scope` cancels its remaining requests. `auxiliary_drain`, `auxiliary_closed` and
    `auxiliary_scopes` do the same for the auxiliary servers, which serve all other addresses.
    `accounts` has one entry for each address that counts its requests.
    """

    settings: Settings
    listeners: Listeners
    recorder: Recorder
    dispatcher: Dispatcher
    keys: Keys | None
    body_budget: ByteBudget
    stopping: trio.Event = msgspec.field(default_factory=trio.Event)
    callers_drain: trio.Event = msgspec.field(default_factory=trio.Event)
    auxiliary_drain: trio.Event = msgspec.field(default_factory=trio.Event)
    callers_scope: trio.CancelScope = msgspec.field(default_factory=trio.CancelScope)
    callers_closed: trio.Event = msgspec.field(default_factory=trio.Event)
    auxiliary_closed: list[trio.Event] = msgspec.field(default_factory=list)
    auxiliary_scopes: list[trio.CancelScope] = msgspec.field(default_factory=list)
    accounts: list[RequestAccount] = msgspec.field(default_factory=list)
