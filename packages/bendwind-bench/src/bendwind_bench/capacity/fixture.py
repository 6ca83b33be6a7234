"""Make instances, upstreams and services of typical size for the measurements."""

import msgspec

from bendwind_bench.slopes_membership import fixture
from bendwind_bench.slopes_membership.fixture import make_instance
from bendwind_core.world import Service, Upstream

INCARNATION = make_instance(0).incarnation

__all__ = ["INCARNATION", "make_instance", "make_service", "make_upstream"]


def make_upstream(index: int, service: str) -> Upstream:
    """Make the upstream on the instance of a node."""
    return fixture.make_upstream(make_instance(index), service)


def make_service(index: int, wait_ms: float = 1000.0) -> Service:
    """Make a service whose longest wait can differ from that of other services."""
    service = fixture.make_service(f"service-{index:03d}")
    return msgspec.structs.replace(service, longest_wait_ms=wait_ms)
