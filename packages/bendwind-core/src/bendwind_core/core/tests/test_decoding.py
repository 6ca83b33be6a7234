"""Decode texts that a decoder of a library may raise at; each is a value or an error."""

import unittest

import cbor2
import msgspec

from bendwind_core.core import decode_cbor, decode_json, decode_toml

MANY = 100_000


class Number(msgspec.Struct):
    """Hold one number."""

    number: float = 0.0


class DecodingTest(unittest.TestCase):
    def test_json_that_is_nested_deep_or_has_many_digits_is_an_error(self):
        texts = (
            b"[" * MANY,
            b'{"other":' + b"[" * MANY,
            b'{"number":' + b'{"number":' * MANY,
            b'{"number":' + b"9" * MANY + b"}",
            b'{"number":1e999}',
            b'{"number":NaN}',
            b'{"number":"\xff"}',
        )
        for text in texts:
            self.assertTrue(decode_json(text, Number).is_error(), text[:20])

    def test_toml_that_is_nested_deep_or_has_many_digits_is_an_error(self):
        texts = (
            b"number = " + b"[" * MANY,
            b"number = " + b"9" * MANY,
            b"number = 0x" + b"f" * MANY,
            b"[number." + b"a." * 3000 + b"a]",
            b"number = \xff",
        )
        for text in texts:
            found = decode_toml(text, "file", Number)
            self.assertTrue(found.is_error(), text[:20])
            self.assertIn("file", str(found.error))

    def test_cbor_with_a_tag_or_nested_deep_is_an_error(self):
        tagged = (
            2**64,
            -(2**64) - 1,
            *(cbor2.CBORTag(tag, 1) for tag in (0, 1, 4, 5, 30, 35, 37, 99, 258, 55799)),
        )
        encoded = [cbor2.dumps([value]) for value in tagged]
        shared = b"\xd8\x1c\x81\xd8\x1d\x00"
        for data in (
            *encoded,
            shared,
            b"\x81" * MANY,
            b"\x9b" + b"\xff" * 8,
            b"\x5b" + b"\xff" * 8,
        ):
            self.assertTrue(decode_cbor(data).is_error(), data[:20])

    def test_cbor_without_tags_is_decoded(self):
        value = [2**64 - 1, -(2**64), 1.5, None, True, "á", b"\xff", [[]], {"a": 1}]
        self.assertEqual(decode_cbor(cbor2.dumps(value)).ok, value)


if __name__ == "__main__":
    unittest.main()
