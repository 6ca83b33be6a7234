"""Ask servers over HTTP, going on to the next one where that is safe."""

import ssl
import time
from pathlib import Path
from typing import TypeVar

import httpcore
import msgspec
from expression import Error, Ok, Result

from bendwind_cli.client_settings import ClientSettings, make_ssl_context
from bendwind_cli.outcome import ExitCode, Failure
from bendwind_cli.replies import ErrorReply

_Reply = TypeVar("_Reply")
_PAUSE_S = 0.2
_CONNECT_TIMEOUT_S = 2.0
# A voter answers within milliseconds, a plan of a large intent takes it some hundred. One that is
# silent for this long is left for the next; each round after the first is twice as patient.
_PATIENCE_S = 1.0
# Every request is safe to resend (docs/OPERATORS_API.md), so these lead on to another server.
_TRY_ANOTHER = frozenset({"not-leader", "not-a-voter", "no-quorum", "outcome-unknown"})
_CODES = {
    "bad-intent": ExitCode.BAD_TOML,
    "bad-request": ExitCode.USAGE,
    "refused": ExitCode.NO_CREDENTIALS,
    "not-leader": ExitCode.NO_ANSWER,
    "not-a-voter": ExitCode.NO_ANSWER,
    "no-quorum": ExitCode.NO_ANSWER,
    "unknown-plan": ExitCode.UNKNOWN_PLAN,
    "forgotten-plan": ExitCode.UNKNOWN_PLAN,
    "version-moved": ExitCode.LOST_RACE,
    "outcome-unknown": ExitCode.OUTCOME_UNKNOWN,
}


class Answer(msgspec.Struct, frozen=True):
    """Hold one HTTP answer."""

    status: int
    body: bytes


class Round(msgspec.Struct, frozen=True):
    """Hold what asking every server once came to.

    `is_worth_another` says that one answered without deciding, or was only slow.
    """

    answer: Answer | None
    failure: Failure
    is_worth_another: bool


class Client(msgspec.Struct):
    """Hold the connections and the addresses to ask, the likeliest first."""

    settings: ClientSettings
    pool: httpcore.ConnectionPool
    scheme: str
    token: str
    addresses: list[str] = msgspec.field(default_factory=list)

    def ask(
        self, method: str, path: str, kind: type[_Reply], body: bytes = b"", key: str = ""
    ) -> Result[_Reply, Failure]:
        """Ask control until a voter decides, for as long as the settings allow.

        Errors: no server answered, or a server refused the request.
        """
        return self._ask_until(method, path, body, key).bind(lambda got: _decode(got, kind))

    def ask_text(self, method: str, path: str) -> Result[str, Failure]:
        """Ask as `ask` does for an answer that is plain text.

        Errors: no server answered, or a server refused the request.
        """
        return self._ask_until(method, path, b"", "").bind(_read_text)

    def _ask_until(self, method: str, path: str, body: bytes, key: str) -> Result[Answer, Failure]:
        deadline = time.monotonic() + self.settings.timeout_s
        patience = _PATIENCE_S
        while True:
            asked = self._ask_round(method, path, body, key, patience)
            if asked.answer is not None:
                return Ok(asked.answer)
            if not asked.is_worth_another or time.monotonic() > deadline:
                return Error(asked.failure)
            patience *= 2
            time.sleep(_PAUSE_S)

    def ask_one(
        self, address: str, method: str, path: str, kind: type[_Reply]
    ) -> Result[_Reply, Failure]:
        """Ask one process and no other.

        Errors: it did not answer, or it refused the request.
        """
        sent = self._send(address, method, path, b"", "", self.settings.timeout_s)
        return sent.bind(lambda got: _decode(got, kind))

    def close(self) -> None:
        """Close the connections."""
        self.pool.close()

    def _ask_round(self, method: str, path: str, body: bytes, key: str, patience: float) -> Round:
        failures: list[Failure] = []
        is_worth_another = False
        queue = list(self.addresses)
        tried: set[str] = set()
        while queue:
            address = queue.pop(0)
            if address in tried:
                continue
            tried.add(address)
            # The last one left is given all the time there is.
            timeout = min(patience, self.settings.timeout_s) if queue else self.settings.timeout_s
            match self._send(address, method, path, body, key, timeout):
                case Result(tag="error", error=failure):
                    failures.append(failure)
                    if failure.is_slow:
                        is_worth_another = True
                        self._put_last(address)
                case Result(ok=answer):
                    is_worth_another = True
                    error = _read_error(answer)
                    if error is None or error.error not in _TRY_ANOTHER:
                        self._prefer(address)
                        return Round(answer, Failure(ExitCode.DONE, ""), True)
                    failures.append(_explain(error))
                    if error.leader_url:
                        queue.insert(0, error.leader_url.partition("//")[2])
        return Round(None, _worst(failures), is_worth_another)

    def _prefer(self, address: str) -> None:
        rest = [other for other in self.addresses if other != address]
        self.addresses = [address, *rest]

    def _put_last(self, address: str) -> None:
        if address in self.addresses:
            self.addresses = [other for other in self.addresses if other != address] + [address]

    def _send(
        self, address: str, method: str, path: str, body: bytes, key: str, timeout: float
    ) -> Result[Answer, Failure]:
        headers = [("Host", address), ("Content-Length", str(len(body)))]
        if self.token:
            headers.append(("Authorization", f"Bearer {self.token}"))
        if key:
            headers.append(("Idempotency-Key", key))
        timeouts = {
            "connect": min(_CONNECT_TIMEOUT_S, timeout),
            "read": timeout,
            "write": timeout,
            "pool": timeout,
        }
        url = f"{self.scheme}://{address}{path}"
        try:
            response = self.pool.request(
                method, url, headers=headers, content=body, extensions={"timeout": timeouts}
            )
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            return Error(_explain_fault(address, error, is_secure=self.scheme == "https"))
        return Ok(Answer(response.status, response.content))


def open_client(settings: ClientSettings) -> Result[Client, Failure]:
    """Open a client with the settings' credentials.

    Errors: a token or key file that cannot be used.
    """
    try:
        context = make_ssl_context(settings)
        token = Path(settings.token_file).read_text().split() if settings.token_file else []
    except OSError as error:
        reason = f"{error.filename or 'keys'}: {error.strerror or error}"
        return Error(Failure(ExitCode.NO_CREDENTIALS, reason))
    pool = httpcore.ConnectionPool(ssl_context=context)
    scheme = "http" if context is None else "https"
    return Ok(Client(settings, pool, scheme, token[0] if token else "", list(settings.control)))


def _explain_fault(address: str, error: Exception, *, is_secure: bool) -> Failure:
    # httpcore raises its own exceptions from those of the ssl module.
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, ssl.SSLError):
            line = f"{address} and this client refused each other's keys: {cause.reason or cause}"
            return Failure(ExitCode.NO_CREDENTIALS, line)
        cause = cause.__cause__ or cause.__context__
    # In TLS 1.3 a server judges the client's key after the client's end of the handshake is done.
    if is_secure and isinstance(error, httpcore.RemoteProtocolError | httpcore.ReadError):
        line = f"{address} closed the connection, as it does on keys that it refuses"
        return Failure(ExitCode.NO_CREDENTIALS, f"{line}; its log says why")
    reason = str(error) or type(error).__name__
    is_slow = isinstance(error, httpcore.ReadTimeout)
    return Failure(ExitCode.NO_ANSWER, f"{address} did not answer: {reason}", is_slow)


def _read_error(answer: Answer) -> ErrorReply | None:
    if answer.status < 400:
        return None
    try:
        return msgspec.json.decode(answer.body, type=ErrorReply)
    except msgspec.DecodeError:
        return ErrorReply(f"status {answer.status}")


def _read_text(answer: Answer) -> Result[str, Failure]:
    error = _read_error(answer)
    if error is not None:
        return Error(_explain(error))
    return Ok(answer.body.decode(errors="replace"))


def _decode(answer: Answer, kind: type[_Reply]) -> Result[_Reply, Failure]:
    # A lost race and an expired plan come as errors in HTTP and as outcomes in the body.
    try:
        return Ok(msgspec.json.decode(answer.body, type=kind))
    except msgspec.DecodeError as fault:
        error = _read_error(answer)
        if error is None:
            return Error(Failure(ExitCode.REFUSED, f"answer not understood: {fault}"))
        return Error(_explain(error))


def _explain(error: ErrorReply) -> Failure:
    code = _CODES.get(error.error, ExitCode.REFUSED)
    match error.error:
        case "bad-intent":
            place = f"{error.file}: {error.key}" if error.key else error.file
            line = f"{place}: {error.expected or error.detail}"
        case "version-moved":
            line = f"another plan came first: version {error.version} by {error.plan or 'none'}"
        case "refused":
            line = "credentials refused"
        case "not-leader":
            line = "no leader among the control voters just now"
        case "no-quorum":
            line = "control has no quorum; nothing was changed"
        case "outcome-unknown":
            line = "outcome not known; run the same command again"
        case kind:
            line = f"{kind}: {error.detail}" if error.detail else kind
    return Failure(code, line)


def _worst(failures: list[Failure]) -> Failure:
    for code in (ExitCode.OUTCOME_UNKNOWN, ExitCode.NO_CREDENTIALS):
        telling = [found for found in failures if found.code is code]
        if telling:
            return telling[0]
    return Failure(ExitCode.NO_ANSWER, "; ".join(dict.fromkeys(found.line for found in failures)))
