"""Offer the bench's commands."""

import signal
import sys
from pathlib import Path


class Commands:
    """Measure Bendwind with stand-in upstreams, open-loop load and faults by schedule."""

    def upstream(self, config: str) -> None:
        """Run one stand-in upstream from a TOML file until SIGTERM."""
        import trio

        from bendwind_bench.upstream import read_upstream_settings, run_upstream

        trio.run(run_upstream, read_upstream_settings(Path(config)))

    def load(self, plan: str, out: str) -> None:
        """Send the load of a JSON plan and write its samples as JSON."""
        from bendwind_bench.load import run_worker

        run_worker(Path(plan), Path(out))

    def run(
        self,
        deployment: str = "certitermica",
        rate: float = 200.0,
        seconds: float = 5.0,
        workers: int = 1,
        seed: int = 0,
        direct: bool = False,
    ) -> int:
        """Send the deployment's mix of requests and print a table; --direct leaves nodes out."""
        import trio

        from bendwind_bench.mix import run_mix

        return trio.run(run_mix, deployment, rate, seconds, workers, seed, direct)

    def demo(self, deployment: str = "certitermica") -> int:
        """Show a deployment at work; ends with `demo: ok` or `demo: broken: ...`."""
        import trio

        from bendwind_bench.demo import run_demo

        return trio.run(run_demo, deployment)

    def experiment(self, name: str, runs: int = 5, seed: int = 1, direct: bool = False) -> int:
        """Run one experiment, or all, and write the result; --direct tries what needs no node."""
        import trio

        from bendwind_bench.experiments import EXPERIMENTS, run_experiment

        names = list(EXPERIMENTS) if name == "all" else [name]
        if not set(names) <= set(EXPERIMENTS):
            known = ", ".join(EXPERIMENTS)
            print(f"no experiment {name!r}; there are: all, {known}", file=sys.stderr)
            return 2
        return max(trio.run(run_experiment, item, runs, seed, direct) for item in names)

    def losses(self, *logs: str, by: str = "route", plot: str = "", place: str = "") -> int:
        """Tell from processes' logs which calls waited, were refused, late or for nothing, and why.

        Args:
            logs: Files with lines of any processes in any order, as a collector wrote them.
            by: route, rank, customer, service or data-centre.
            plot: PNG file to draw.
            place: Regular expression whose first group is the data centre, in what stands before
                a line; without it, the lines of processes' starts tell it.
        """
        from bendwind_bench.losses import report_losses

        return report_losses(logs, str(by), str(plot), str(place))

    def emulate(
        self,
        *scenarios: str,
        against: str = "",
        seeds: str = "1..5",
        jobs: int = 2,
        plot: str = "",
        json: str = "",
        size: int = 1,
    ) -> int:
        """Run scenarios in virtual time, beside an earlier revision or KEY=VALUE if asked.

        Args:
            scenarios: Names of shipped scenarios or TOML files; none runs all that are shipped.
            against: A revision of this repository, whose core decides, or keys of the scenario with
                other values, parted by spaces.
            seeds: A..B.
            jobs: Processes to run at a time.
            plot: PNG file to draw.
            json: File for machines to read, or - for standard output.
            size: Multiplies upstreams and callers.
        """
        from bendwind_bench.emulator.command import emulate

        return emulate(scenarios, str(against), str(seeds), jobs, plot, json, size)

    def page(self) -> None:
        """Rewrite the page of measurements from the results."""
        from bendwind_bench.reports.page import write_page

        write_page()

    def capacity(
        self, note: str = "Nothing else ran.", trial: bool = False, page: bool = False
    ) -> None:
        """Measure what the design carries and rewrite its page; --page only rewrites it."""
        from bendwind_bench.capacity import run_capacity, write_page

        if not page:
            run_capacity(note, trial)
        write_page()


def main() -> int:
    """Run the command that the arguments name."""
    import fire

    # A bench that is asked to end must end its processes first; trio does so on Ctrl-C, which a
    # shell makes its background processes ignore.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    result = fire.Fire(Commands, name="bendwind_bench", serialize=lambda _: None)
    return result if isinstance(result, int) else 0


if __name__ == "__main__":
    sys.exit(main())
