import unittest

from bendwind_bench.emulator import list_scenarios, load_scenario
from bendwind_bench.emulator.scenario import change_scenario, parse_scenario

SERVICE = b'[[services]]\nname = "a"\nupstreams = 2\nslots = 4\n'
ROUTE = (
    b'[[routes]]\nname = "r"\nservice = "a"\nper_second = 20.0\nwork_ms = 50.0\n'
    b"target_ms = 200.0\ntimeout_ms = 800.0\n"
)
HEAD = b'name = "x"\nabout = "."\nseconds = 2.0\n'


class ScenarioTest(unittest.TestCase):
    def find_fault(self, data):
        parsed = parse_scenario(data, "x.toml")
        self.assertTrue(parsed.is_error(), data)
        return parsed.error

    def test_every_shipped_scenario_is_valid_and_has_a_description(self):
        self.assertGreaterEqual(len(list_scenarios()), 12)
        for name in list_scenarios():
            scenario = load_scenario(name)
            self.assertTrue(scenario.is_ok(), scenario)
            self.assertEqual(scenario.ok.name, name)
            self.assertTrue(scenario.ok.about)

    def test_errors_name_the_file_the_key_and_the_expectation(self):
        complete = HEAD + SERVICE + ROUTE
        cases = {
            complete.replace(b"slots", b"slosts"): "services[0]",
            complete.replace(b"upstreams = 2", b"upstreams = 0"): "services[0].upstreams",
            complete.replace(b'service = "a"', b'service = "b"'): "routes[0].service",
            complete + b'calls = ["nowhere"]\n': "routes[0].calls",
            complete + b'calls = ["r"]\n': "routes[0].calls",
            complete + b'[[faults]]\nkind = "storm"\nat = 1.0\n': "faults[0].kind",
            complete + b'[[faults]]\nkind = "slow"\nat = 1.0\nservice = "b"\n': "faults[0].service",
            complete
            + b'[[faults]]\nkind = "hot-customer"\nat = 1.0\ncustomer = "c-1"\n': "customer",
            complete + b'[[customers]]\nname = "c"\nroutes = ["s"]\n': "customers[0].routes",
            complete + b'[callers]\nwaves = [{ data_centre = "x" }]\n': "waves[0].data_centre",
            complete + b'[callers]\nwaves = [{ data_centre = "north", swing = 2.0 }]\n': "swing",
            complete.replace(b"slots", b'data_centres = ["x"]\nslots'): "services[0].data_centres",
            HEAD + SERVICE: "routes",
            HEAD + b'base = "nowhere"\n': "base",
        }
        for data, key in cases.items():
            error = self.find_fault(data)
            self.assertEqual(error.file, "x.toml")
            self.assertIn(key, f"{error.key} {error}", data)

    def test_omitted_tables_are_taken_from_the_base(self):
        calm, burst = load_scenario("calm").ok, load_scenario("burst").ok
        self.assertEqual(burst.services, calm.services)
        self.assertNotEqual(burst.faults, calm.faults)

    def test_key_is_changed_by_its_path(self):
        calm = load_scenario("calm").ok
        changes = ("policy.slot_share=1.0", "services.agenda.slots=8", "policy.policy=random")
        changed = change_scenario(calm, changes).ok
        self.assertEqual(changed.policy.slot_share, 1.0)
        self.assertEqual(changed.find_service("agenda").slots, 8)
        self.assertEqual(changed.policy.policy, "random")
        for change in ("policy.nothing=1", "services.b.slots=8", "policy.slot_share=2"):
            self.assertTrue(change_scenario(calm, (change,)).is_error(), change)

    def test_error_for_a_missing_file_lists_the_shipped_scenarios(self):
        self.assertIn("power-loss", str(load_scenario("no-such").error))


if __name__ == "__main__":
    unittest.main()
