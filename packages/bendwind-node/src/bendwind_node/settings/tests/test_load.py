import tempfile
import unittest
from pathlib import Path

from bendwind_node.settings import Settings, load_settings, parse_settings

PLAIN = """
[instance]
name = "sala-norte-1"
data_centre = "sala-norte"
[peers]
host = "127.0.0.1"
port = 7101
insecure = true
[callers]
host = "127.0.0.1"
port = 0
[upstreams]
host = "127.0.0.1"
port = 9101
[operators]
host = "127.0.0.1"
port = 9201
insecure = true
[[voters]]
name = "sala-norte-1"
host = "127.0.0.1"
port = 7101
"""
TLS = '[tls]\nauthority = "ca.pem"\ncertificate = "node.pem"\nkey = "node.key"\n'


def parse(text: str):
    return parse_settings(text.encode(), "node.toml")


class TestLoadSettings(unittest.TestCase):
    def test_fills_defaults_and_keeps_port_zero(self):
        settings = parse(PLAIN).ok
        self.assertIsInstance(settings, Settings)
        self.assertEqual(settings.callers.port, 0)
        self.assertEqual(settings.lease.lease_ms, 4000)
        self.assertEqual(settings.limits.connections, 1024)
        self.assertIsNone(settings.control)

    def test_resolves_paths_against_the_folder_of_the_file(self):
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder, "node.toml")
            file.write_text(PLAIN + '[control]\ndata_folder = "run/a"\n')
            found = load_settings(file).ok
            self.assertEqual(found.control.data_folder, str(Path(folder, "run/a").resolve()))

    def test_error_names_file_key_and_expected_value_in_one_line(self):
        cases = {
            PLAIN.replace("9101", "70000"): "upstreams.port: expected `int` <= 65535",
            PLAIN.replace("9101", '"x"'): "upstreams.port: expected `int`, got `str`",
            PLAIN + "[watch]\nservice = 1\n": "watch.service: expected no such key",
            PLAIN + "[extra]\n": "extra: expected no such key",
            PLAIN.replace('data_centre = "sala-norte"\n', ""): "instance.data_centre: expected "
            "this key, found none",
            PLAIN.replace("insecure = true\n", "", 1): "tls: expected a table with authority, "
            "certificate and key",
            PLAIN + TLS: "peers.insecure: expected false, since there is a [tls] table",
            PLAIN.replace("127.0.0.1", "10.0.0.1", 1): "peers.insecure: expected false, unless "
            "peers.host is a loopback address",
            PLAIN.replace('name = "sala-norte-1"', 'name = "b"', 1)
            + '[control]\ndata_folder = "d"\n': "control: expected no such table, or 'b' among "
            "[[voters]]",
            PLAIN + "[lease]\nlease_ms = 1500\n": "lease.lease_ms: expected at least two times "
            "lease.heartbeat_ms",
        }
        for text, line in cases.items():
            with self.subTest(line):
                self.assertEqual(str(parse(text).error), f"node.toml: {line}")

    def test_reports_invalid_toml_and_missing_file(self):
        self.assertIn("node.toml: expected TOML: ", str(parse("[peers\n").error))
        self.assertEqual(
            str(load_settings("no/such.toml").error),
            "no/such.toml: expected a readable file: no such file or directory",
        )


if __name__ == "__main__":
    unittest.main()
