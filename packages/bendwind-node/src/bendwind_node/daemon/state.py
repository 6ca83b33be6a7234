"""Hold the tasks of one process and the events that end it."""

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
    """Hold the tasks of one process; `keys` is None where its links are not encrypted.

    `callers_done` and `pages_done` have callers, and whoever uses the other addresses, sent away;
    `callers_closed` and `pages_closed` tell once all that was taken there has been answered.
    `callers_scope` and `pages_scopes` have what is still served there given up. `accounts` tells of
    each address what became of the requests that came there.
    """

    settings: Settings
    listeners: Listeners
    recorder: Recorder
    dispatcher: Dispatcher
    keys: Keys | None
    body_budget: ByteBudget
    stopping: trio.Event = msgspec.field(default_factory=trio.Event)
    callers_done: trio.Event = msgspec.field(default_factory=trio.Event)
    pages_done: trio.Event = msgspec.field(default_factory=trio.Event)
    callers_scope: trio.CancelScope = msgspec.field(default_factory=trio.CancelScope)
    callers_closed: trio.Event = msgspec.field(default_factory=trio.Event)
    pages_closed: list[trio.Event] = msgspec.field(default_factory=list)
    pages_scopes: list[trio.CancelScope] = msgspec.field(default_factory=list)
    accounts: list[RequestAccount] = msgspec.field(default_factory=list)
