"""Send requests to servers over HTTP, and try the next server when that is safe."""

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
from bendwind_core.core import decode_json

_Reply = TypeVar("_Reply")
_RETRY_INTERVAL_S = 0.2
_CONNECT_TIMEOUT_S = 2.0
# A voter answers within milliseconds, and within some hundred milliseconds for the plan of a large
# intent. After this timeout the next server is tried; the timeout doubles with each further round.
_ATTEMPT_TIMEOUT_S = 1.0
# After these errors another server is tried, since every request is safe to resend
# (docs/OPERATORS_API.md).
_NEXT_SERVER_ERRORS = frozenset({"not-leader", "not-a-voter", "no-quorum", "outcome-unknown"})
_EXIT_CODES = {
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

_UNKNOWN_LINE = "outcome not known; run the same command again"
# After these errors the server has got nothing of the request.
_UNSENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.LocalProtocolError,
)


class HttpAnswer(msgspec.Struct, frozen=True):
    """Hold the status and body of one HTTP response."""

    status: int
    body: bytes


class RoundResult(msgspec.Struct, frozen=True):
    """Hold the result of trying every server once.

    `should_retry` is true if a server answered without a decision or was only slow.
    """

    answer: HttpAnswer | None
    failure: Failure
    should_retry: bool


class Client(msgspec.Struct):
    """Hold the connections and the server addresses, most promising first."""

    settings: ClientSettings
    pool: httpcore.ConnectionPool
    scheme: str
    token: str
    addresses: list[str] = msgspec.field(default_factory=list)

    def request_control(
        self, method: str, path: str, kind: type[_Reply], body: bytes = b"", key: str = ""
    ) -> Result[_Reply, Failure]:
        """Send a request to control until a voter decides, within the timeout of the settings.

        Errors: no server answered, or a server refused the request.
        """
        return self._request_until_decided(method, path, body, key).bind(
            lambda answer: _decode(answer, kind)
        )

    def request_text(self, method: str, path: str) -> Result[str, Failure]:
        """Send a request as `request_control` does, and return the plain text of the response.

        Errors: no server answered, or a server refused the request.
        """
        return self._request_until_decided(method, path, b"", "").bind(_read_text)

    def _request_until_decided(
        self, method: str, path: str, body: bytes, key: str
    ) -> Result[HttpAnswer, Failure]:
        deadline = time.monotonic() + self.settings.timeout_s
        attempt_timeout = _ATTEMPT_TIMEOUT_S
        failures: list[Failure] = []
        while True:
            round_result = self._try_servers(method, path, body, key, attempt_timeout)
            if round_result.answer is not None:
                return Ok(round_result.answer)
            failures.append(round_result.failure)
            if not round_result.should_retry or time.monotonic() > deadline:
                # What an earlier round left unknown stays so, whatever the last one says.
                unknown = _find_failure(failures, ExitCode.OUTCOME_UNKNOWN)
                return Error(unknown or round_result.failure)
            attempt_timeout *= 2
            time.sleep(_RETRY_INTERVAL_S)

    def request_from(
        self, address: str, method: str, path: str, kind: type[_Reply]
    ) -> Result[_Reply, Failure]:
        """Send a request to one process only.

        Errors: it did not answer, or it refused the request.
        """
        sent = self._send(address, method, path, b"", "", self.settings.timeout_s)
        return sent.bind(lambda answer: _decode(answer, kind))

    def close(self) -> None:
        """Close the connections."""
        self.pool.close()

    def _try_servers(
        self, method: str, path: str, body: bytes, key: str, attempt_timeout: float
    ) -> RoundResult:
        failures: list[Failure] = []
        should_retry = False
        queue = list(self.addresses)
        tried_addresses: set[str] = set()
        while queue:
            address = queue.pop(0)
            if address in tried_addresses:
                continue
            tried_addresses.add(address)
            # The last remaining server gets the whole timeout of the settings.
            timeout = (
                min(attempt_timeout, self.settings.timeout_s) if queue else self.settings.timeout_s
            )
            match self._send(address, method, path, body, key, timeout):
                case Result(tag="error", error=failure):
                    failures.append(failure)
                    if failure.is_slow:
                        should_retry = True
                        self._move_last(address)
                case Result(ok=answer):
                    should_retry = True
                    error = _read_error(answer)
                    if error is None or error.error not in _NEXT_SERVER_ERRORS:
                        self._move_first(address)
                        return RoundResult(answer, Failure(ExitCode.DONE, ""), True)
                    failures.append(_describe_error(error))
                    if error.leader_url:
                        queue.insert(0, error.leader_url.partition("//")[2])
        return RoundResult(None, _choose_failure(failures), should_retry)

    def _move_first(self, address: str) -> None:
        rest = [other for other in self.addresses if other != address]
        self.addresses = [address, *rest]

    def _move_last(self, address: str) -> None:
        if address in self.addresses:
            self.addresses = [other for other in self.addresses if other != address] + [address]

    def _send(
        self, address: str, method: str, path: str, body: bytes, key: str, timeout: float
    ) -> Result[HttpAnswer, Failure]:
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
            is_change = method != "GET"
            is_secure = self.scheme == "https"
            return Error(
                _describe_transport_error(address, error, is_change=is_change, is_secure=is_secure)
            )
        return Ok(HttpAnswer(response.status, response.content))


def open_client(settings: ClientSettings) -> Result[Client, Failure]:
    """Create a client with the credentials of the settings.

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


def _describe_transport_error(
    address: str, error: Exception, *, is_change: bool, is_secure: bool
) -> Failure:
    # httpcore wraps exceptions of the ssl module in its own.
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, ssl.SSLError):
            line = f"{address} and this client refused each other's keys: {cause.reason or cause}"
            return Failure(ExitCode.NO_CREDENTIALS, line)
        cause = cause.__cause__ or cause.__context__
    is_slow = isinstance(error, httpcore.ReadTimeout)
    reason = str(error) or type(error).__name__
    if is_change and not isinstance(error, _UNSENT_ERRORS):
        line = f"{address} did not answer: {reason}; {_UNKNOWN_LINE}"
        return Failure(ExitCode.OUTCOME_UNKNOWN, line, is_slow)
    # In TLS 1.3 a server verifies the client's key after the client has completed the handshake.
    if is_secure and isinstance(error, httpcore.RemoteProtocolError | httpcore.ReadError):
        line = f"{address} closed the connection, as it does when it refuses the client's keys"
        return Failure(ExitCode.NO_CREDENTIALS, f"{line}; its log gives the reason")
    return Failure(ExitCode.NO_ANSWER, f"{address} did not answer: {reason}", is_slow)


def _read_error(answer: HttpAnswer) -> ErrorReply | None:
    if answer.status < 400:
        return None
    return decode_json(answer.body, ErrorReply).default_value(ErrorReply(f"status {answer.status}"))


def _read_text(answer: HttpAnswer) -> Result[str, Failure]:
    error = _read_error(answer)
    if error is not None:
        return Error(_describe_error(error))
    return Ok(answer.body.decode(errors="replace"))


def _decode(answer: HttpAnswer, kind: type[_Reply]) -> Result[_Reply, Failure]:
    # A lost race and an expired plan have an HTTP error status but an outcome as their body.
    decoded = decode_json(answer.body, kind)
    if decoded.is_ok():
        return decoded
    error = _read_error(answer)
    if error is None:
        return Error(Failure(ExitCode.REFUSED, f"cannot decode the response: {decoded.error}"))
    return Error(_describe_error(error))


def _describe_error(error: ErrorReply) -> Failure:
    code = _EXIT_CODES.get(error.error, ExitCode.REFUSED)
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
            line = _UNKNOWN_LINE
        case kind:
            line = f"{kind}: {error.detail}" if error.detail else kind
    return Failure(code, line)


def _choose_failure(failures: list[Failure]) -> Failure:
    for code in (ExitCode.OUTCOME_UNKNOWN, ExitCode.NO_CREDENTIALS):
        if (found := _find_failure(failures, code)) is not None:
            return found
    return Failure(ExitCode.NO_ANSWER, "; ".join(dict.fromkeys(found.line for found in failures)))


def _find_failure(failures: list[Failure], code: ExitCode) -> Failure | None:
    return next((found for found in failures if found.code is code), None)
