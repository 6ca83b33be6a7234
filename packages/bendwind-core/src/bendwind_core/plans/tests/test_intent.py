"""Check the sample intents and the page that documents their keys."""

import re
import unittest
from pathlib import Path

import msgspec.inspect

from bendwind_core.plans import parse_intent
from bendwind_core.plans.intent import StatedIntent

ROOT = Path(__file__).resolve().parents[6]
ROW = re.compile(r"^\| `([a-z_.]+)` \| [^|]*\| (?:`([^`]*)`)?", re.MULTILINE)


def list_keys(found, prefix: str = ""):
    match found:
        case msgspec.inspect.StructType(fields=fields):
            for field in fields:
                yield prefix + field.encode_name, field.default
                yield from list_keys(field.type, f"{prefix}{field.encode_name}.")
        case msgspec.inspect.VarTupleType(item_type=item):
            yield from list_keys(item, prefix)
        case msgspec.inspect.UnionType(types=types):
            for member in types:
                yield from list_keys(member, prefix)
        case msgspec.inspect.Metadata(type=inner):
            yield from list_keys(inner, prefix)


class IntentTest(unittest.TestCase):
    def test_page_documents_every_key_and_its_default(self):
        documented = dict(ROW.findall((ROOT / "docs/INTENT.md").read_text()))
        keys = dict(list_keys(msgspec.inspect.type_info(StatedIntent)))
        self.assertEqual(documented.keys(), keys.keys())
        for key, default in keys.items():
            if isinstance(default, bool | int | float | str):
                text = f"{default:g}" if isinstance(default, float) else str(default).lower()
                self.assertEqual(documented[key], text, key)

    def test_sample_intents_are_valid(self):
        for file in sorted(ROOT.glob("examples/*/intent.toml")):
            self.assertTrue(parse_intent(file.read_bytes(), str(file)).is_ok(), file)

    def test_conflicting_keys_are_reported(self):
        service = '[[services]]\nname = "a"\nupstreams = ["*"]\n'
        rule = '[[services.rules]]\npath = "/x"\n'
        faulty = {
            'remove = ["b"]\n' + service: "remove",
            service + service: "services",
            service + rule + "key_required = true": "services[0].rules[0].key_required",
            service + rule + rule: "services[0].rules[1]",
            service + 'hosts = ["h", "h"]': "services",
        }
        for text, key in faulty.items():
            self.assertEqual(parse_intent(text, "f").error.key, key, text)


if __name__ == "__main__":
    unittest.main()
