"""Measure the cost of membership for a voter and a node, and print it as JSON.

Run it with `python -m bendwind_bench.slopes_membership`. It runs only the pure code and
the codec in this process; links and system calls are not included.
"""

import dataclasses
import json
import sys

from bendwind_bench.slopes_membership.node import measure_bytes, measure_nodes
from bendwind_bench.slopes_membership.route_changes import measure_route_changes
from bendwind_bench.slopes_membership.voter import (
    measure_data_centre,
    measure_registries,
    measure_watchers,
)


def main() -> None:
    """Run all measurements and print them as JSON."""
    slopes = measure_registries() | measure_watchers() | measure_nodes()
    slopes |= measure_route_changes()
    result = {
        "slopes": {name: dataclasses.asdict(slope) for name, slope in slopes.items()},
        "data_centre": measure_data_centre(),
        "bytes": measure_bytes(),
    }
    json.dump(result, sys.stdout, indent=1)
    print()


if __name__ == "__main__":
    main()
