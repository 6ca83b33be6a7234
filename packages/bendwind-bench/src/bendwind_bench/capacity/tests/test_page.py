"""Test that the page shows what was measured, and shows what is over its limit."""

import dataclasses
import re
import unittest
from pathlib import Path
from unittest import mock

import msgspec

from bendwind_bench.capacity import page
from bendwind_bench.capacity.model.roles import cost_of_control, cost_of_voter, list_costs
from bendwind_bench.capacity.model.sizes import SIZES, TARGET
from bendwind_bench.capacity.result import FILE, CapacityResult, read_result

ROOT = next(folder for folder in Path(__file__).parents if (folder / FILE).exists())


def read_committed() -> CapacityResult:
    """Read the result that is committed."""
    with mock.patch("bendwind_bench.capacity.result.FILE", ROOT / FILE):
        return read_result()


def render(result: CapacityResult) -> str:
    """Return the page of a result."""
    written = mock.Mock()
    with (
        mock.patch.object(page, "read_result", lambda: result),
        mock.patch.object(page, "PAGE", written),
    ):
        page.write_page()
    return written.write_text.call_args.args[0]


class TestPage(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.result = read_committed()

    def test_committed_page_is_what_the_committed_result_gives(self):
        self.assertEqual((ROOT / page.PAGE).read_text(), render(self.result))

    def test_every_measured_slope_has_four_sizes_and_stands_on_the_page(self):
        text = render(self.result)
        for slope in self.result.slopes.values():
            self.assertGreaterEqual(len({point.size for point in slope.points}), 4)
            self.assertIn(slope.title, text)

    def test_what_exceeds_a_limit_is_marked_over(self):
        slopes = self.result.slopes
        dear = msgspec.structs.replace(slopes["link_dialed_us"], slope=1e6)
        worse = msgspec.structs.replace(self.result, slopes={**slopes, "link_dialed_us": dear})
        row = re.search(r"^\| node: links \| (.*)\(2\.8%\)", render(worse), re.MULTILINE)
        self.assertIn("over", row.group(1))


class TestModel(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.result = read_committed()

    def test_control_of_a_node_is_the_sum_of_its_parts(self):
        for size in SIZES:
            parts = {cost.role: cost for cost in list_costs(self.result, size)}
            together = parts["node: membership"].cpu_percent + parts["node: links"].cpu_percent
            self.assertAlmostEqual(cost_of_control(self.result, size).cpu_percent, together)

    def test_one_voter_less_loads_the_others_by_its_share(self):
        fewer = dataclasses.replace(TARGET, voters=TARGET.voters - 1)
        before = cost_of_voter(self.result, TARGET).messages_in
        after = cost_of_voter(self.result, fewer).messages_in
        self.assertAlmostEqual(after / before, TARGET.voters / fewer.voters, places=2)


if __name__ == "__main__":
    unittest.main()
