"""Execute commands."""

from collections.abc import Callable

from expression import Result

from bendwind_cli import (
    customers,
    evacuation,
    explain,
    instances,
    plans,
    quotas,
    revisions,
    suspects,
    timeline,
)
from bendwind_cli.client import Client, open_client
from bendwind_cli.client_settings import find_settings
from bendwind_cli.commands import (
    AcceptClaimLoss,
    Command,
    ConfirmPlan,
    Drain,
    Evacuate,
    ExplainRequest,
    ListEvents,
    MakeAuthority,
    MakeInstanceKey,
    MakeOperatorKey,
    MakePlan,
    PutRevision,
    Release,
    ShowCustomers,
    ShowPlan,
    ShowQuotas,
    ShowRevision,
    ShowStatus,
    ShowSuspects,
    ShowTimeline,
    Stop,
    Target,
)
from bendwind_cli.outcome import Failure


def run_command(command: Command) -> Result[str, Failure]:
    """Execute a command and return the text to print.

    Errors: the cause of the failure, with its exit code.
    """
    match command:
        case MakePlan():
            return _with_client(command.target, lambda client: plans.make_plan(client, command))
        case ConfirmPlan():
            return _with_client(command.target, lambda client: plans.confirm(client, command.plan))
        case ShowPlan():
            return _with_client(command.target, lambda client: plans.show(client, command.plan))
        case PutRevision():
            return _with_client(command.target, lambda client: revisions.put(client, command.file))
        case ShowRevision():
            return _with_client(command.target, revisions.show)
        case ShowStatus():
            return _with_client(command.target, lambda client: instances.status(client, command))
        case Drain():
            return _with_client(command.target, lambda client: instances.drain(client, command))
        case Evacuate():
            return _with_client(command.target, lambda client: evacuation.mark(client, command))
        case ShowCustomers():
            return _with_client(command.target, customers.show)
        case ShowSuspects():
            return _with_client(command.target, suspects.show)
        case ShowQuotas():
            return _with_client(command.target, quotas.show)
        case Release():
            return _with_client(command.target, lambda client: suspects.release(client, command))
        case Stop():
            return _with_client(command.target, lambda client: instances.stop(client, command.name))
        case AcceptClaimLoss():
            return _with_client(command.target, lambda client: plans.accept_loss(client, command))
        case ShowTimeline():
            return _with_client(command.target, lambda client: timeline.show(client, command))
        case ExplainRequest():
            return explain.explain(command)
        case ListEvents():
            return timeline.list_events()
        case MakeAuthority() | MakeInstanceKey() | MakeOperatorKey():
            # The cryptography package is large and only these commands need it.
            from bendwind_cli.keys import make_keys

            return make_keys(command)


def _with_client(
    target: Target, action: Callable[[Client], Result[str, Failure]]
) -> Result[str, Failure]:
    opened = find_settings(target).bind(open_client)
    if opened.is_error():
        return opened
    client = opened.ok
    try:
        return action(client)
    finally:
        client.close()
