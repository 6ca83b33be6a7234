"""Collect the values of the metrics from the tasks of a process."""

import logging
import resource
from collections.abc import Iterable, Iterator

import trio

from bendwind_core.admission import is_cold
from bendwind_core.core import MILLISECONDS_PER_SECOND
from bendwind_core.suspicion import SuspectTable, is_quarantined
from bendwind_core.timeline import Recorder
from bendwind_core.timeline.statistics import CallStatistics, Histogram
from bendwind_node.calls.entry_node import EntryNode
from bendwind_node.calls.owner_node import OwnerNode
from bendwind_node.calls.probe_task import ProbeTask
from bendwind_node.calls.request_account import Ending, RequestAccount
from bendwind_node.claims.task import ClaimTask
from bendwind_node.control.service import ControlService
from bendwind_node.links import LinkHub
from bendwind_node.logs.background_handler import BackgroundHandler
from bendwind_node.membership import MembershipTask
from bendwind_node.metrics.catalogue import Metric
from bendwind_node.metrics.sample import Sample
from bendwind_node.quotas import NodeQuotaTask

_BYTES_PER_KIB = 1024


def gather_timeline(recorder: Recorder) -> Iterator[Sample]:
    """Yield the counters of the recorder."""
    for kind, count in recorder.counts.items():
        yield Sample(Metric.EVENTS, count, (str(int(kind)), kind.name))
    yield Sample(Metric.EVENTS_DROPPED, recorder.dropped)
    yield Sample(Metric.CLOCK_IGNORED, recorder.clock.ignored)


def gather_statistics(statistics: CallStatistics) -> Iterator[Sample]:
    """Yield the counts and times of calls, dispatches and refusals."""
    for labels, count in statistics.calls.items():
        yield Sample(Metric.CALLS, count, labels)
    for labels, count in statistics.refusals.items():
        yield Sample(Metric.REFUSALS, count, labels)
    for labels, count in statistics.calls_refused.items():
        yield Sample(Metric.CALLS_REFUSED, count, labels)
    for labels, count in statistics.sent_back.items():
        yield Sample(Metric.SENT_BACK, count, labels)
    yield from _gather_histograms(
        statistics.call_times,
        Metric.CALL_BUCKET,
        Metric.CALL_SUM,
        Metric.CALL_COUNT,
    )
    yield from _gather_histograms(
        statistics.waits,
        Metric.WAIT_BUCKET,
        Metric.WAIT_SUM,
        Metric.WAIT_COUNT,
    )
    yield from _gather_histograms(
        statistics.runs,
        Metric.RUN_BUCKET,
        Metric.RUN_SUM,
        Metric.RUN_COUNT,
    )
    yield from _gather_histograms(
        statistics.rank_waits,
        Metric.RANK_WAIT_BUCKET,
        Metric.RANK_WAIT_SUM,
        Metric.RANK_WAIT_COUNT,
    )


def _gather_histograms(
    histograms: dict[str, Histogram], bucket: Metric, total: Metric, count: Metric
) -> Iterator[Sample]:
    for label, histogram in histograms.items():
        for bound, number in histogram.list_cumulative():
            yield Sample(bucket, number, (label, bound))
        yield Sample(total, histogram.total_ms / MILLISECONDS_PER_SECOND, (label,))
        yield Sample(count, sum(histogram.counts), (label,))


def gather_logs() -> Iterator[Sample]:
    """Yield the number of log lines dropped since the buffer was full."""
    handlers = logging.getLogger().handlers
    background_handlers = [
        handler for handler in handlers if isinstance(handler, BackgroundHandler)
    ]
    yield Sample(
        Metric.LOG_LINES_LEFT_OUT, sum(handler.total_dropped for handler in background_handlers)
    )


def gather_requests(accounts: Iterable[RequestAccount]) -> Iterator[Sample]:
    """Yield the requests received at each address, in flight and by how they ended."""
    for account in accounts:
        yield Sample(Metric.REQUESTS_TAKEN, account.received, (account.address,))
        yield Sample(Metric.REQUESTS_IN_HAND, account.in_flight, (account.address,))
        for ending in Ending:
            labels = (account.address, ending)
            yield Sample(Metric.REQUESTS_ENDED, account.ended[ending], labels)


def gather_calls(entry: EntryNode, owner: OwnerNode) -> Iterator[Sample]:
    """Yield the calls and attempts in progress, and the state of upstreams and customers."""
    for service, state in entry.service_states.items():
        yield Sample(Metric.CALLS_IN_FLIGHT, state.in_flight, (service,))
        waits = state.table.avoidable_waits
        yield Sample(Metric.AVOIDABLE_WAITS, waits.requests, (service,))
        yield Sample(Metric.AVOIDABLE_WAIT_SECONDS, waits.total, (service,))
    for upstream, owned in owner.register.owned.items():
        yield Sample(Metric.ATTEMPTS_RUNNING, len(owned.owner_state.running), (upstream,))
        yield Sample(Metric.ATTEMPTS_WAITING, len(owned.owner_state.waiting), (upstream,))
        yield Sample(Metric.UPSTREAM_SLOTS, owned.upstream.slots, (upstream,))
        warm_up = owned.owner_state.warm_up
        is_upstream_cold = is_cold(warm_up, trio.current_time())
        yield Sample(Metric.UPSTREAM_COLD, int(is_upstream_cold), (upstream,))
        yield Sample(Metric.UPSTREAM_COLD_PEAK, warm_up.cold_peak, (upstream,))
        limit = owned.owner_state.rate_limit.per_second
        if limit is not None:
            yield Sample(Metric.UPSTREAM_LIMIT, limit, (upstream,))
        yield Sample(Metric.UPSTREAM_UNREACHABLE, int(owned.is_unreachable), (upstream,))
    yield from _gather_suspects(owner.register.suspects)
    customers = entry.membership.customers
    if customers is not None:
        yield Sample(Metric.CUSTOMERS, len(customers.by_name))
        yield Sample(Metric.UNKNOWN_KEYS, entry.unknown_keys)
    yield Sample(Metric.DRAINING, int(owner.register.is_draining))
    yield Sample(Metric.EVACUATED, int(owner.register.is_evacuated))


def _gather_suspects(table: SuspectTable) -> Iterator[Sample]:
    suspects = [suspect for suspect in table.suspects.values() if suspect.ends]
    quarantined = sum(is_quarantined(table, suspect) for suspect in suspects)
    yield Sample(Metric.SUSPECTS, len(suspects) - quarantined, ("noted",))
    yield Sample(Metric.SUSPECTS, quarantined, ("quarantined",))


def gather_probes(probes: ProbeTask) -> Iterator[Sample]:
    """Yield the number of load probes sent and answered to measure the load of upstreams."""
    yield Sample(Metric.LOAD_PROBES, probes.sent, ("asked",))
    yield Sample(Metric.LOAD_PROBES, probes.owner.probes_answered, ("answered",))


def gather_node(hub: LinkHub, membership: MembershipTask, claims: ClaimTask) -> Iterator[Sample]:
    """Yield the links, the configuration in force and the claim groups."""
    yield Sample(Metric.LINKS, len(hub.dialed), ("this",))
    yield Sample(Metric.LINKS, len(hub.accepted), ("peer",))
    yield Sample(Metric.MESSAGES_NOT_SENT, hub.traffic.unsendable_count)
    yield Sample(Metric.CONFIGURATION_VERSION, membership.view.version)
    yield Sample(Metric.FRESH, int(membership.is_fresh()))
    age_ms = membership.confirmed_age_ms()
    if age_ms is not None:
        yield Sample(Metric.CONFIRMED_AGE, age_ms / MILLISECONDS_PER_SECOND)
    joined = sum(holder.is_member() for holder in claims.holders.values())
    yield Sample(Metric.CLAIM_GROUPS, joined)


def gather_voter(control: ControlService) -> Iterator[Sample]:
    """Yield the state of a control voter."""
    status = control.voter.status()
    yield Sample(Metric.VOTER_APPLIED, status.applied)
    yield Sample(Metric.VOTER_TERM, status.term)
    yield Sample(Metric.VOTER_LEADER, int(status.leader == status.name))
    since = status.replacing_since
    yield Sample(Metric.VOTER_REPLACING, 0.0 if since is None else trio.current_time() - since)
    yield Sample(Metric.MEMBERS, len(control.registry.registry.members))
    quotas = control.quotas.quotas
    yield Sample(Metric.VOTER_QUOTAS, len(quotas.accounts))
    for action in ("granted", "refused", "lent", "borrowed"):
        yield Sample(Metric.VOTER_QUOTA_TOKENS, getattr(quotas.totals, action), (action,))


def gather_quotas(task: NodeQuotaTask) -> Iterator[Sample]:
    """Yield the outcomes of requests of customers with a quota."""
    totals = task.quotas.totals
    for outcome in ("taken", "reserve", "refused", "unknown", "returned"):
        yield Sample(Metric.QUOTA_REQUESTS, getattr(totals, outcome), (outcome,))
    yield Sample(Metric.QUOTA_ASKS, totals.asks)


def gather_process() -> Iterator[Sample]:
    """Yield the processor time and memory that the process has used."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    yield Sample(Metric.CPU, usage.ru_utime + usage.ru_stime)
    yield Sample(Metric.PEAK_MEMORY, usage.ru_maxrss * _BYTES_PER_KIB)
