"""Lay out the account of a day as tables, and draw it."""

import collections
import statistics
from pathlib import Path

from bendwind_bench.losses.account import (
    Account,
    By,
    Fate,
    Row,
    group,
    sum_up,
)
from bendwind_bench.losses.causes import Cause
from bendwind_bench.losses.stages import Stages
from bendwind_bench.reports.table import format_table
from bendwind_core.core import MILLISECONDS_PER_SECOND

_SIZE_INCHES = (12.0, 7.0)
# More columns or lines than this hide what they show.
_MOST_COLUMNS = 6
_HEAD = [
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
back/call: hand-overs sent back. waited: share of calls that waited over 20 ms at an owner; free,
near: while another upstream of the service was free, anywhere or in the data centre of the entry
node; s: how long all waited so. for nothing: runs that ended with an error since a call they made
was refused."""


def render_account(rows: list[Row], by: By) -> str:
    """Return the tables: the whole day, refusals, where time went, runs for nothing, seconds."""
    groups = group(rows, by)
    accounts = {name: sum_up(found) for name, found in groups.items()}
    whole = {"all": sum_up(rows)} | accounts
    parts = (
        _render_whole(by, whole),
        _NOTE,
        _render_losses(by, whole),
        _render_causes(rows),
        _render_stages(by, whole),
        _render_nothing(rows),
        _render_seconds(groups),
    )
    return "\n\n".join(parts)


def _render_whole(by: By, accounts: dict[str, Account]) -> str:
    rows = [[name, *_list_cells(account)] for name, account in accounts.items()]
    return format_table([str(by), *_HEAD], rows)


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
    return _format_texts([str(by), "refused as", "while one was free", "most lost by"], rows)


def _format_texts(header: list[str], rows: list[list[str]]) -> str:
    """Lay out rows of texts, all to the left."""
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


def _render_nothing(rows: list[Row]) -> str:
    counts: collections.Counter[tuple[str, str, str]] = collections.Counter()
    for row in rows:
        if row.failed_run is not None:
            counts[_describe_failed(row)] += 1
    cells = [[*names, str(n)] for names, n in counts.most_common(2 * _MOST_COLUMNS)]
    header = ["runs that ended with an error", "for a call to", "that was", "runs"]
    return _format_texts(header, cells)


def _describe_failed(row: Row) -> tuple[str, str, str]:
    outer = row.call.facts
    inner = row.failed_run.inner
    name = f"{outer.service} {outer.route}"
    if inner is None:
        return name, "-", "error of its own"
    found = inner.facts
    answer = f"answered {found.status}" if inner.detail == "answered" else inner.detail
    return name, f"{found.service} {found.route}", answer


def _render_seconds(groups: dict[str, list[Row]]) -> str:
    """Return a line a second: all calls, and the share in time of the largest groups."""
    shown = list(groups)[:_MOST_COLUMNS]
    by_second = _split_seconds([row for found in groups.values() for row in found])
    of_groups = {name: _split_seconds(groups[name]) for name in shown}
    rows = []
    for second, found in sorted(by_second.items()):
        cells = [_show_in_time(of_groups[name].get(second, [])) for name in shown]
        rows.append([str(second), *_list_cells(sum_up(found)), *cells])
    return format_table(["second", *_HEAD, *(f"in time: {name}" for name in shown)], rows)


def _split_seconds(rows: list[Row]) -> dict[int, list[Row]]:
    seconds: dict[int, list[Row]] = collections.defaultdict(list)
    for row in rows:
        seconds[row.second].append(row)
    return seconds


def _show_in_time(rows: list[Row]) -> str:
    if not rows:
        return "-"
    account = sum_up(rows)
    return f"{account.share(account.fates[Fate.IN_TIME]):.2f}"


def write_account(rows: list[Row], by: By, file: Path) -> None:
    """Draw the calls of each second by cause, and the share in time by group, into a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (upper, lower) = pyplot.subplots(2, 1, sharex=True, figsize=_SIZE_INCHES)
    seconds = {second: sum_up(found) for second, found in sorted(_split_seconds(rows).items())}
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
    upper.plot(list(seconds), waited, color="black", label="waited beside a free one")
    for name, found in list(group(rows, by).items())[:_MOST_COLUMNS]:
        accounts = {at: sum_up(some) for at, some in sorted(_split_seconds(found).items())}
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


__all__ = ["render_account", "write_account"]
