"""Provide the command line of the benchmarks."""

import signal
import sys
from pathlib import Path


class Commands:
    """Benchmark Bendwind with simulated upstreams, open-loop load and scheduled faults."""

    def upstream(self, config: str) -> None:
        """Run one simulated upstream with the settings of a TOML file until SIGTERM."""
        import trio

        from bendwind_bench.upstream import read_upstream_settings, run_upstream

        trio.run(run_upstream, read_upstream_settings(Path(config)))

    def load(self, plan: str, out: str) -> None:
        """Send the load that a JSON plan describes and write the samples as JSON."""
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
        """Send the deployment's mix of requests and print a table; --direct bypasses the nodes."""
        import trio

        from bendwind_bench.mix import run_mix

        return trio.run(run_mix, deployment, rate, seconds, workers, seed, direct)

    def demo(self, deployment: str = "certitermica") -> int:
        """Demonstrate a deployment; the last line is `demo: ok` or `demo: broken: ...`."""
        import trio

        from bendwind_bench.demo import run_demo

        return trio.run(run_demo, deployment)

    def experiment(self, name: str, runs: int = 5, seed: int = 1, direct: bool = False) -> int:
        """Run one experiment or all and write the results; --direct runs without nodes."""
        import trio

        from bendwind_bench.experiments import EXPERIMENTS, run_experiment

        names = list(EXPERIMENTS) if name == "all" else [name]
        if not set(names) <= set(EXPERIMENTS):
            known = ", ".join(EXPERIMENTS)
            print(f"no experiment {name!r}; there are: all, {known}", file=sys.stderr)
            return 2
        return max(trio.run(run_experiment, item, runs, seed, direct) for item in names)

    def losses(self, *logs: str, by: str = "route", plot: str = "", place: str = "") -> int:
        """Report from logs which calls waited, were refused, were late or ran in vain, and why.

        Args:
            logs: Files with lines of any processes in any order, as a log collector writes them.
            by: route, rank, customer, service or data-centre.
            plot: PNG file to draw.
            place: Regular expression that is applied to the text before each log line and whose
                first group is the data centre; without it, the data centre is read from the
                lines that processes log at their start.
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
        """Run scenarios in virtual time, optionally compared with a revision or changed keys.

        Args:
            scenarios: Names of shipped scenarios or TOML files; all shipped scenarios if empty.
            against: What to compare with: a revision of this repository, whose bendwind_core makes
                the decisions, or KEY=VALUE changes of the scenario, separated by spaces.
            seeds: Range of seeds, as A..B.
            jobs: Maximum number of concurrent processes.
            plot: PNG file to draw.
            json: JSON file to write, or - for standard output.
            size: Factor for the numbers of upstreams and callers.
        """
        from bendwind_bench.emulator.command import emulate

        return emulate(scenarios, str(against), str(seeds), jobs, plot, json, size)

    def soak(
        self,
        seeds: str = "1..3",
        minutes: float = 0.5,
        processes: int = 12,
        shrink: int = 0,
        schedule: str = "",
    ) -> int:
        """Run real processes under random faults and check what callers and operators see.

        Args:
            seeds: Range of seeds, as A..B; a seed states all faults and changes.
            minutes: Time for each seed.
            processes: Number of processes, half of them nodes and half of them upstreams.
            shrink: Number of further runs in which a seed that failed is tried with fewer faults.
            schedule: File with a schedule that is run instead of seeds, as they write it.
        """
        from bendwind_bench.soak import replay, soak

        if schedule:
            return replay(Path(schedule), processes)
        return soak(str(seeds), minutes, processes, shrink)

    def page(self) -> None:
        """Regenerate the page of measurements from the results."""
        from bendwind_bench.reports.page import write_page

        write_page()

    def capacity(
        self, note: str = "Nothing else ran.", trial: bool = False, page: bool = False
    ) -> None:
        """Measure the capacity of the design and regenerate its page; --page skips measuring."""
        from bendwind_bench.capacity import run_capacity, write_page

        if not page:
            run_capacity(note, trial)
        write_page()


def main() -> int:
    """Run the command that the arguments name and return the exit code."""
    import fire

    # A benchmark that is told to stop must stop its child processes first. trio does so on SIGINT,
    # but a shell makes its background processes ignore SIGINT, so the handler is set again.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    result = fire.Fire(Commands, name="bendwind_bench", serialize=lambda _: None)
    return result if isinstance(result, int) else 0


if __name__ == "__main__":
    sys.exit(main())
