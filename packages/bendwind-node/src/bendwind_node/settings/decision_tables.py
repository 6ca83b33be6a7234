"""Define the tables of a settings file that decisions go by: limits, quotas, claims, suspects."""

from typing import Annotated

from msgspec import Meta

from bendwind_core.quotas.bounds import DEFAULT_OVERAGE, DEFAULT_SLACK, DEFAULT_WINDOW
from bendwind_core.suspicion.limits import (
    DEFAULT_APART_FROM,
    DEFAULT_KEEP,
    DEFAULT_QUARANTINE,
    DEFAULT_QUARANTINE_FROM,
)
from bendwind_node.settings.table import Table, describe


class MeasuringTable(Table, frozen=True, kw_only=True):
    """Limit the traffic that measures the load of upstreams."""

    messages_per_s: Annotated[
        int,
        Meta(ge=0, le=10_000),
        describe("Maximum number of load probes in any second.", "messages/s"),
    ] = 20
    bytes_per_s: Annotated[
        int,
        Meta(ge=0, le=10_000_000),
        describe("Maximum number of bytes of load probes in any second.", "B/s"),
    ] = 4000


class LimitsTable(Table, frozen=True, kw_only=True):
    """Limit the resources of the process that callers may use."""

    connections: Annotated[
        int,
        Meta(ge=1, le=65_536),
        describe("Maximum number of open connections of callers.", "connections"),
    ] = 1024
    in_flight: Annotated[
        int, Meta(ge=1, le=65_536), describe("Maximum number of calls at a time.", "calls")
    ] = 512
    body_bytes: Annotated[
        int, Meta(ge=0, le=1 << 30), describe("Maximum size of a request body of a caller.", "B")
    ] = (8 << 20)
    buffered_bytes: Annotated[
        int,
        Meta(ge=1 << 20, le=1 << 36),
        describe(
            "Maximum total size of request bodies in memory; more is refused as not run.", "B"
        ),
    ] = (
        64 << 20
    )
    header_bytes: Annotated[
        int,
        Meta(ge=1024, le=1 << 20),
        describe("Maximum size of the request line and headers of a caller.", "B"),
    ] = (
        16 << 10
    )
    far_body_bytes: Annotated[
        int,
        Meta(ge=0, le=1 << 30),
        describe(
            "Maximum size of a request body that is sent before its owner permits it, and that is "
            "sent to another data centre while the own data centre serves; the latter for services "
            "that prefer near upstreams.",
            "B",
        ),
    ] = (
        16 << 10
    )
    slot_share: Annotated[
        float,
        Meta(gt=0, le=1),
        describe(
            "Share of an upstream's slots that is used; some upstreams slow down when nearly full."
        ),
    ] = 1.0
    warm_up_overage: Annotated[
        float,
        Meta(gt=0, le=100),
        describe(
            "Factor by which requests to a cold upstream may exceed its service's warm-up rate."
        ),
    ] = 1.0
    warm_up_slack: Annotated[
        float,
        Meta(ge=0, le=10_000),
        describe(
            "Number of requests to a cold upstream that may exceed that rate in any second.",
            "requests",
        ),
    ] = 1.0
    keep_alive_s: Annotated[
        float, Meta(gt=0, le=3600), describe("Time an idle connection of a caller stays open.", "s")
    ] = 60


class SuspicionTable(Table, frozen=True, kw_only=True):
    """Restrict requests that may crash upstreams; all nodes should have the same values."""

    apart_from: Annotated[
        int,
        Meta(ge=1, le=8),
        describe(
            "Number of upstream ends from which a request runs beside few other suspects.", "ends"
        ),
    ] = DEFAULT_APART_FROM
    quarantine_from: Annotated[
        int,
        Meta(ge=2, le=8),
        describe(
            "Number of upstream ends from which a request is refused, except for trials.", "ends"
        ),
    ] = DEFAULT_QUARANTINE_FROM
    quarantine_s: Annotated[
        float,
        Meta(ge=1, le=3600),
        describe("Time to the first trial; each further end makes it eight times as long.", "s"),
    ] = DEFAULT_QUARANTINE
    keep_s: Annotated[
        float,
        Meta(ge=10, le=86_400),
        describe("Time without a further end after which the suspicion expires.", "s"),
    ] = DEFAULT_KEEP


class QuotasTable(Table, frozen=True, kw_only=True):
    """Limit how far customers may exceed their quotas; all processes need the same values.

    In any window, the number of a customer's requests that run is at most
    (rate x window + burst) x (1 + overage) + slack.
    """

    window_s: Annotated[
        float,
        Meta(ge=1, le=3600),
        describe("Time over which a customer's requests are counted.", "s"),
    ] = DEFAULT_WINDOW
    overage: Annotated[
        float,
        Meta(ge=0, le=1),
        describe(
            "Share by which a customer may exceed its quota; if low, nodes request tokens more "
            "often."
        ),
    ] = DEFAULT_OVERAGE
    slack: Annotated[
        float,
        Meta(ge=0, le=10_000),
        describe(
            "Number of further requests that a customer may run; two for each voter are best for "
            "customers with less than one request per second.",
            "requests",
        ),
    ] = DEFAULT_SLACK


class ClaimsTable(Table, frozen=True, kw_only=True):
    """Limit the keys and answers that the process keeps of each service whose claims it holds.

    The instances that may hold a service's claims should have the same bounds.
    """

    retention_s: Annotated[
        float,
        Meta(ge=60, le=2_592_000),
        describe(
            "Time for which a key is kept; a request that is resent later may run again.", "s"
        ),
    ] = 86_400
    keys: Annotated[
        int,
        Meta(ge=100, le=100_000_000),
        describe(
            "Maximum number of keys of a service; further ones are refused as not run.", "keys"
        ),
    ] = 50_000
    key_bytes: Annotated[
        int,
        Meta(ge=1 << 16, le=1 << 40),
        describe(
            "Maximum memory for a service's keys and answers; further keys are refused as not run.",
            "B",
        ),
    ] = (
        16 << 20
    )
    answer_bytes: Annotated[
        int,
        Meta(ge=0, le=1 << 40),
        describe(
            "Maximum memory for a service's answers; the oldest are evicted, their keys are kept.",
            "B",
        ),
    ] = (
        4 << 20
    )
