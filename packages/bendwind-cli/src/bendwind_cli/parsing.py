"""Parse the command line with fire, without running a command."""

import contextlib
import io

import fire
import fire.decorators
from expression import Error, Ok, Result

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

# fire stores parse functions in an attribute of this name; the underscore hides it from the help.
fire.decorators.FIRE_METADATA = "_fire_metadata"
# Without this, fire would parse `007` as 7 and `a,b` as a tuple; every argument here is text.
_as_text = fire.decorators.SetParseFn(str)
_TRUE_VALUES = frozenset({"True", "true", "yes", "1"})


class Help(str):
    """Hold a requested help text."""

    __slots__ = ()


def parse_arguments(arguments: list[str]) -> Result[Command | Help, str]:
    """Convert command-line arguments into a command or the requested help.

    Errors: one line that describes the fault in the arguments.
    """
    captured = io.StringIO()
    try:
        with contextlib.redirect_stderr(captured), contextlib.redirect_stdout(captured):
            found = fire.Fire(_Bendwind(), arguments, "bendwind", serialize=lambda _: None)
    except fire.core.FireExit as stop:
        return _explain_exit(stop.code, captured.getvalue())
    if isinstance(found, Command):
        return Ok(found)
    if isinstance(found, _Bendwind | _Keys):
        return parse_arguments([*arguments, "--help"])
    return Error(f"too many arguments: {' '.join(arguments)}")


def _explain_exit(code: int, text: str) -> Result[Help, str]:
    lines = text.splitlines()
    if code == 0:
        return Ok(Help("\n".join(line for line in lines if not line.startswith("INFO: "))))
    errors = [line.removeprefix("ERROR: ") for line in lines if line.startswith("ERROR: ")]
    first = errors[0] if errors else "wrong usage"
    return Error(first[:1].lower() + first[1:])


class _Keys:
    """Create the keys of a deployment."""

    @_as_text
    def authority(self, *, folder: str = "keys", days: str = "3650") -> MakeAuthority:
        """Create the authority that signs every key of the deployment.

        Args:
            folder: Where to write authority.pem and authority.key.
            days: How long the certificate is valid.
        """
        return MakeAuthority(folder, days)

    @_as_text
    def instance(
        self, name: str, *, hosts: str = "127.0.0.1", folder: str = "keys", days: str = "365"
    ) -> MakeInstanceKey:
        """Create an instance's key; run this again to renew it.

        Args:
            name: The instance's name, as in its settings.
            hosts: IP addresses or host names of the instance, separated by commas.
            folder: Holds the authority; NAME.pem and NAME.key are written there.
            days: How long the certificate is valid.
        """
        return MakeInstanceKey(name, hosts, folder, days)

    @_as_text
    def operator(self, name: str, *, folder: str = "keys", days: str = "90") -> MakeOperatorKey:
        """Create an operator's client certificate.

        Args:
            name: The operator's name, as it appears in logged events.
            folder: Holds the authority; operator-NAME.pem and operator-NAME.key are written there.
            days: How long the certificate is valid.
        """
        return MakeOperatorKey(name, folder, days)


class _Bendwind:
    """Operate Bendwind: state an intent, read the plan, confirm it, observe the result.

    Servers are named by --control=HOST:PORT[,HOST:PORT], by a client settings file
    (--settings=FILE or BENDWIND_SETTINGS), or by BENDWIND_CONTROL.
    """

    def __init__(self):
        self.keys = _Keys()

    @_as_text
    def plan(
        self,
        file: str,
        *,
        base_version: str = "",
        expires_s: str = "",
        control: str = "",
        settings: str = "",
    ) -> MakePlan:
        """Show what an intent would change; nothing takes effect before `confirm`.

        Args:
            file: The intent, a TOML file.
            base_version: Refuse unless this version is in force.
            expires_s: Seconds until the plan can no longer be confirmed.
            control: Addresses of control voters, HOST:PORT, separated by commas.
            settings: Client settings file.
        """
        return MakePlan(Target(control, settings), file, base_version, expires_s)

    @_as_text
    def confirm(self, plan: str, *, control: str = "", settings: str = "") -> ConfirmPlan:
        """Put a plan into force; repeating the command gives the same outcome.

        Args:
            plan: The plan's id, as `plan` printed it.
            control: Addresses of control voters, HOST:PORT, separated by commas.
            settings: Client settings file.
        """
        return ConfirmPlan(Target(control, settings), plan)

    @_as_text
    def show(self, plan: str, *, control: str = "", settings: str = "") -> ShowPlan:
        """Show a plan and its outcome.

        Args:
            plan: The plan's id.
            control: Addresses of control voters, HOST:PORT, separated by commas.
            settings: Client settings file.
        """
        return ShowPlan(Target(control, settings), plan)

    @_as_text
    def put(self, file: str, *, control: str = "", settings: str = "") -> PutRevision:
        """Put a whole configuration into force; a revision not above the one in force is ignored.

        Args:
            file: The configuration with its revision, a TOML file (docs/REVISIONS.md).
            control: Addresses of control voters, HOST:PORT, separated by commas.
            settings: Client settings file.
        """
        return PutRevision(Target(control, settings), file)

    @_as_text
    def revision(self, *, control: str = "", settings: str = "") -> ShowRevision:
        """Show the newest whole configuration in its original form.

        Args:
            control: Addresses of control voters, HOST:PORT, separated by commas.
            settings: Client settings file.
        """
        return ShowRevision(Target(control, settings))

    @_as_text
    def status(self, *, json: str = "", control: str = "", settings: str = "") -> ShowStatus:
        """Show the processes, the version in force and which processes do not have it yet.

        Args:
            json: Print the server's JSON.
            control: Addresses of control voters, HOST:PORT, separated by commas.
            settings: Client settings file.
        """
        return ShowStatus(Target(control, settings), json in _TRUE_VALUES)

    @_as_text
    def drain(self, name: str, *, kind: str = "", control: str = "", settings: str = "") -> Drain:
        """Send no new requests to an upstream, or to all upstreams of an instance.

        Args:
            name: The upstream or instance.
            kind: Either upstream or instance, if the name is ambiguous or unknown.
            control: Addresses of control voters, HOST:PORT, separated by commas.
            settings: Client settings file.
        """
        return Drain(Target(control, settings), name, kind, True)

    @_as_text
    def undrain(self, name: str, *, kind: str = "", control: str = "", settings: str = "") -> Drain:
        """Remove the mark that `drain` sets.

        Args:
            name: The upstream or instance.
            kind: Either upstream or instance, if the name is ambiguous or unknown.
            control: Addresses of control voters, HOST:PORT, separated by commas.
            settings: Client settings file.
        """
        return Drain(Target(control, settings), name, kind, False)

    @_as_text
    def evacuate(self, data_centre: str, *, control: str = "", settings: str = "") -> Evacuate:
        """Send no new requests to the upstreams of a data centre; running ones are answered.

        Args:
            data_centre: The data centre.
            control: Addresses of control voters, HOST:PORT, separated by commas.
            settings: Client settings file.
        """
        return Evacuate(Target(control, settings), data_centre, True)

    @_as_text
    def readmit(self, data_centre: str, *, control: str = "", settings: str = "") -> Evacuate:
        """Readmit an evacuated data centre; its upstreams count as cold until they report.

        Args:
            data_centre: The data centre.
            control: Addresses of control voters, HOST:PORT, separated by commas.
            settings: Client settings file.
        """
        return Evacuate(Target(control, settings), data_centre, False)

    @_as_text
    def customers(self, *, control: str = "", settings: str = "") -> ShowCustomers:
        """Show each customer with its number of keys, rank, rate and burst.

        Args:
            control: Addresses of control voters, HOST:PORT, separated by commas.
            settings: Client settings file.
        """
        return ShowCustomers(Target(control, settings))

    @_as_text
    def suspects(self, *, control: str = "", settings: str = "") -> ShowSuspects:
        """Show the requests during which upstreams ended, by signature; the worst come first.

        Args:
            control: Addresses of control voters, HOST:PORT, separated by commas.
            settings: Client settings file.
        """
        return ShowSuspects(Target(control, settings))

    @_as_text
    def quotas(self, *, control: str = "", settings: str = "") -> ShowQuotas:
        """Show the state of customers' quotas at a voter; those most refused come first.

        Args:
            control: Addresses of control voters, HOST:PORT, separated by commas.
            settings: Client settings file.
        """
        return ShowQuotas(Target(control, settings))

    @_as_text
    def release(self, signature: str, *, control: str = "", settings: str = "") -> Release:
        """Clear a request of suspicion, so that it runs again at once.

        Args:
            signature: The signature, as `suspects` shows it.
            control: Addresses of control voters, HOST:PORT, separated by commas.
            settings: Client settings file.
        """
        return Release(Target(control, settings), signature)

    @_as_text
    def stop(self, name: str, *, control: str = "", settings: str = "") -> Stop:
        """Stop a process after its pending calls are answered.

        Args:
            name: The instance.
            control: Addresses of control voters, HOST:PORT, separated by commas.
            settings: Client settings file.
        """
        return Stop(Target(control, settings), name)

    @_as_text
    def accept_claim_loss(
        self, service: str, *, control: str = "", settings: str = ""
    ) -> AcceptClaimLoss:
        """Let a service whose claims are all lost accept requests with keys again.

        Earlier runs are then no longer known: a resent request may run a second time.

        Args:
            service: The service.
            control: Addresses of control voters, HOST:PORT, separated by commas.
            settings: Client settings file.
        """
        return AcceptClaimLoss(Target(control, settings), service)

    @_as_text
    def timeline(
        self,
        *,
        call: str = "",
        plan: str = "",
        upstream: str = "",
        event: str = "",
        limit: str = "200",
        json: str = "",
        control: str = "",
        settings: str = "",
    ) -> ShowTimeline:
        """Show the events of all processes in causal order; with --call, how its time was spent.

        Args:
            call: Only events of this call, as its Bendwind-Call header names it.
            plan: Only events of this plan.
            upstream: Only events of this upstream.
            event: Only events of this number or name.
            limit: The number of newest events from each process.
            json: Print one JSON object a line.
            control: Addresses of processes, HOST:PORT, separated by commas.
            settings: Client settings file.
        """
        target = Target(control, settings)
        return ShowTimeline(target, call, plan, upstream, event, limit, json in _TRUE_VALUES)

    @_as_text
    def explain(self, request: str, *logs: str) -> ExplainRequest:
        """Explain a request from the logs of processes: the decisions, their basis and the cause.

        Args:
            request: The caller's id of its request.
            logs: Log files, of any processes in any order; standard input if no file is named.
        """
        return ExplainRequest(request, logs)

    def events(self) -> ListEvents:
        """List the numbered events that processes record."""
        return ListEvents()
