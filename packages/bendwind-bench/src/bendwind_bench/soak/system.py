"""Describe the deployment that a soak runs, its requests and its configuration."""

from bendwind_bench.deployment import DeploymentDescription, ServiceDescription
from bendwind_bench.experiments.phase_runner import describe_small_deployment
from bendwind_bench.load import RequestKind
from bendwind_core.core import Milliseconds

SERVICES = ("agenda", "emisor")
# Few enough that slow upstreams have none free.
SLOTS = 3
CONNECTIONS = 50
# Long enough that an end of a process meets requests that are being run.
SERVICE_MS = 60.0
STOP = {"notice_ms": 500.0, "claims_ms": 2000.0, "drain_ms": 10_000.0}
FIRST_WAIT_MS = 4000.0
KINDS = [
    RequestKind("agenda", "/visits/1", answer_bytes=(0, 60_000)),
    RequestKind("agenda", "/visits", "POST", marked=True, request_bytes=2000),
    RequestKind("emisor", "/records/1", answer_bytes=(100, 3000)),
    RequestKind("emisor", "/certificates", "POST", marked=True, keyed=True, request_bytes=40_000),
]


def describe_system(nodes: int) -> DeploymentDescription:
    """Return the deployment of a soak with this number of nodes."""
    services = [
        ServiceDescription(name, (nodes + index) // len(SERVICES), SLOTS, CONNECTIONS, SERVICE_MS)
        for index, name in enumerate(SERVICES)
    ]
    return describe_small_deployment(services)


def name_mark(wait_ms: Milliseconds) -> str:
    """Return the path that needs an idempotency key by the intent with this wait alone."""
    return f"/marks/{wait_ms:.0f}"


def make_intent(wait_ms: Milliseconds) -> str:
    """Return the intent in which requests may wait for this time."""
    return f"""
[[services]]
name = "agenda"
upstreams = ["agenda-*"]
longest_wait_ms = {wait_ms:.0f}

[[services.rules]]
path = "/visits"
methods = ["POST"]
repeat = "never"

[[services.rules]]
path = "{name_mark(wait_ms)}"
methods = ["POST"]
repeat = "never"
key_required = true

[[services]]
name = "emisor"
upstreams = ["emisor-*"]
longest_wait_ms = {wait_ms:.0f}

[[services.rules]]
path = "/certificates"
methods = ["POST"]
repeat = "never"
key_required = true
"""
