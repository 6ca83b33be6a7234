"""Answer the queries of nodes that are attached to another voter."""

from bendwind_core.core import Milliseconds
from bendwind_core.membership.events import RegistryEffect, SendTo
from bendwind_core.membership.messages import ConfigurationAnswer, ConfigurationQuery
from bendwind_core.membership.pushes import (
    digest_watched,
    is_current,
    is_large,
    make_push,
)
from bendwind_core.membership.state import VoterRegistry, find_or_create_row


def answer_query(
    registry: VoterRegistry,
    query: ConfigurationQuery,
    confirmed_age_ms: Milliseconds | None,
    effects: list[RegistryEffect],
) -> None:
    """Send a node what it lacks and how fresh that is, and keep nothing about the node."""
    rows = [find_or_create_row(registry, name) for name in query.services]
    version = registry.configuration.version
    has_all = is_current(registry, query.version, query.customers, rows)
    content = digest_watched(registry, query.services)
    change = None
    if not has_all and query.version <= version:
        made = make_push(registry, query.services, query.watch, query.version, query.customers)
        # The voter that the node is attached to has sent it too: two copies would delay each other.
        change = None if is_large(made) else made
    answer = ConfigurationAnswer(query.number, version, confirmed_age_ms, has_all, change, content)
    effects.append(SendTo(query.node, answer))
