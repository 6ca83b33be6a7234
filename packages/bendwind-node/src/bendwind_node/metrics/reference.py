"""Generate docs/METRICS.md from the catalogue of metrics."""

from bendwind_node.metrics.catalogue import Metric

_HEAD = """\
# Metrics

Every process serves these at `GET /metrics` on its `[operators]` address, and on that of
`[metrics]` where there is one, in the format that Prometheus reads. Values are read when they are
asked for; only calls are counted as they go. Histograms come as their three series, each a counter;
of routes beyond 200 the figures stand together under `other`, of ranks above 3 under `more`. Made
by `python -m bendwind_node.metrics.reference > docs/METRICS.md`; a test compares the two.

| metric | kind | unit | labels | meaning |
|---|---|---|---|---|
"""


def render_reference() -> str:
    """Return the text of docs/METRICS.md."""
    rows = []
    for metric in Metric:
        found = metric.value
        labels = ", ".join(f"`{label}`" for label in found.labels)
        rows.append(
            f"| `{found.name}` | {found.kind} | {found.unit} | {labels} | {found.meaning} |\n"
        )
    return _HEAD + "".join(rows)


if __name__ == "__main__":
    print(render_reference(), end="")
