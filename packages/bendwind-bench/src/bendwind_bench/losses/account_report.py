"""Format the account of a deployment's calls as tables, and plot it."""

import collections
import statistics
from pathlib import Path

from bendwind_bench.losses.account import (
    Account,
    By,
    Fate,
    Row,
    aggregate_rows,
    group_rows,
)
from bendwind_bench.losses.causes import Cause
from bendwind_bench.losses.stages import Stages
from bendwind_bench.reports.table import format_table
from bendwind_core.core import MILLISECONDS_PER_SECOND

_SIZE_INCHES = (12.0, 7.0)
# More columns or plotted lines than this make a table or plot unreadable.
_MAX_COLUMNS = 6
_HEADER = [
    "calls",
    "in time",
    "late",
    "refused",
    "failed",
    "gone",
    "back/call",
    "waited",
    "free",
    "near",
    "s",
    "for nothing",
]
_NOTE = """\
back/call: hand-overs refused per call. waited: share of calls that waited over 20 ms at an owner;
free, near: while another upstream of the service was free, anywhere or in the data centre of the
entry node; s: total of the waits under free, in seconds. for nothing: runs that ended with an error
because a call that they made was refused."""


def render_account(rows: list[Row], by: By) -> str:
    """Return the tables: totals, losses, causes, stages, failed runs, and totals per second."""
    groups = group_rows(rows, by)
    accounts = {name: aggregate_rows(found) for name, found in groups.items()}
    whole = {"all": aggregate_rows(rows)} | accounts
    parts = (
        _render_overview(by, whole),
        _NOTE,
        _render_losses(by, whole),
        _render_causes(rows),
        _render_stages(by, whole),
        _render_failed_runs(rows),
        _render_seconds(groups),
    )
    return "\n\n".join(parts)


def _render_overview(by: By, accounts: dict[str, Account]) -> str:
    rows = [[name, *_list_cells(account)] for name, account in accounts.items()]
    return format_table([str(by), *_HEADER], rows)


def _list_cells(account: Account) -> list[str]:
    shares = [f"{account.share(account.fates[fate]):.3f}" for fate in Fate]
    return [
        str(account.calls),
        *shares,
        f"{account.share(account.sent_back):.2f}",
        f"{account.share(account.waited):.3f}",
        f"{account.share(account.waited_free):.3f}",
        f"{account.share(account.waited_near):.3f}",
        f"{account.waited_free_ms / MILLISECONDS_PER_SECOND:.1f}",
        str(account.for_nothing),
    ]


def _render_losses(by: By, accounts: dict[str, Account]) -> str:
    rows = []
    for name, account in accounts.items():
        reasons = ", ".join(f"{reason} {n}" for reason, n in account.reasons.most_common(4))
        causes = [(str(cause), n) for cause, n in account.causes.most_common() if _is_loss(cause)]
        lost = "; ".join(f"{cause} {n}" for cause, n in causes[:4])
        rows.append([name, reasons or "-", str(account.refused_free), lost or "-"])
    return _format_text_table([str(by), "refused as", "while one was free", "most lost by"], rows)


def _format_text_table(header: list[str], rows: list[list[str]]) -> str:
    """Format rows of texts as a table, all aligned to the left."""
    widths = [max(len(row[index]) for row in [header, *rows]) for index in range(len(header))]
    lines = []
    for row in [header, *rows]:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def _render_causes(rows: list[Row]) -> str:
    cells = []
    for cause in Cause:
        found = [row for row in rows if row.cause is cause]
        ages = [age for row in found for age in row.ages_ms if _is_loss(cause)]
        cells.append(
            [str(cause), str(len(found)), f"{statistics.median(ages):.0f}" if ages else "-"]
        )
    return format_table(["cause", "calls", "median age of reports, ms"], cells)


def _is_loss(cause: Cause) -> bool:
    return cause is not Cause.NONE


def _render_stages(by: By, accounts: dict[str, Account]) -> str:
    names = Stages.__struct_fields__
    rows = []
    for name, account in accounts.items():
        taken = [[getattr(stages, part) for stages in account.stages] for part in names]
        cells = [f"{statistics.fmean(times):.0f}" if times else "-" for times in taken]
        rows.append([name, str(len(account.stages)), *cells])
    head = [name.replace("_", " ") for name in names]
    return format_table([f"answered, mean ms by {by}", "calls", *head], rows)


def _render_failed_runs(rows: list[Row]) -> str:
    counts: collections.Counter[tuple[str, str, str]] = collections.Counter()
    for row in rows:
        if row.failed_run is not None:
            counts[_describe_failed_run(row)] += 1
    cells = [[*names, str(n)] for names, n in counts.most_common(2 * _MAX_COLUMNS)]
    header = ["runs that ended with an error", "for a call to", "that was", "runs"]
    return _format_text_table(header, cells)


def _describe_failed_run(row: Row) -> tuple[str, str, str]:
    outer = row.call.facts
    inner = row.failed_run.inner
    name = f"{outer.service} {outer.route}"
    if inner is None:
        return name, "-", "error of its own"
    found = inner.facts
    answer = f"answered {found.status}" if inner.detail == "answered" else inner.detail
    return name, f"{found.service} {found.route}", answer


def _render_seconds(groups: dict[str, list[Row]]) -> str:
    """Return one line per second: all calls, and the share in time of the largest groups."""
    shown = list(groups)[:_MAX_COLUMNS]
    by_second = _group_by_second([row for found in groups.values() for row in found])
    of_groups = {name: _group_by_second(groups[name]) for name in shown}
    rows = []
    for second, found in sorted(by_second.items()):
        cells = [_format_in_time_share(of_groups[name].get(second, [])) for name in shown]
        rows.append([str(second), *_list_cells(aggregate_rows(found)), *cells])
    return format_table(["second", *_HEADER, *(f"in time: {name}" for name in shown)], rows)


def _group_by_second(rows: list[Row]) -> dict[int, list[Row]]:
    seconds: dict[int, list[Row]] = collections.defaultdict(list)
    for row in rows:
        seconds[row.second].append(row)
    return seconds


def _format_in_time_share(rows: list[Row]) -> str:
    if not rows:
        return "-"
    account = aggregate_rows(rows)
    return f"{account.share(account.fates[Fate.IN_TIME]):.2f}"


def write_account_plot(rows: list[Row], by: By, file: Path) -> None:
    """Plot the calls of each second by cause, and the share in time by group, to a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (upper, lower) = pyplot.subplots(2, 1, sharex=True, figsize=_SIZE_INCHES)
    seconds = {
        second: aggregate_rows(found) for second, found in sorted(_group_by_second(rows).items())
    }
    bottom = [0] * len(seconds)
    colours = pyplot.get_cmap("tab20").colors
    for cause, colour in zip(Cause, colours, strict=False):
        counts = [account.causes[cause] for account in seconds.values()]
        if any(counts):
            upper.bar(
                list(seconds), counts, bottom=bottom, width=1.0, color=colour, label=str(cause)
            )
            bottom = [low + count for low, count in zip(bottom, counts, strict=True)]
    waited = [account.waited_free for account in seconds.values()]
    upper.plot(list(seconds), waited, color="black", label="waited while another was free")
    for name, found in list(group_rows(rows, by).items())[:_MAX_COLUMNS]:
        accounts = {
            at: aggregate_rows(some) for at, some in sorted(_group_by_second(found).items())
        }
        shares = [account.share(account.fates[Fate.IN_TIME]) for account in accounts.values()]
        lower.plot(list(accounts), shares, marker=".", label=name)
    upper.set_ylabel("calls")
    lower.set_ylabel("in time")
    lower.set_xlabel("seconds from the first call")
    for panel in (upper, lower):
        panel.legend(fontsize=6, loc="upper left", bbox_to_anchor=(1.0, 1.0))
    figure.tight_layout()
    figure.savefig(file, dpi=80)
    pyplot.close(figure)


__all__ = ["render_account", "write_account_plot"]
