import doctest
import unittest

import h11
from hypothesis import given
from hypothesis import strategies as st

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_core.world import encode_target, normalize_path, uri


def load_tests(loader, tests, pattern):
    tests.addTests(doctest.DocTestSuite(uri))
    return tests


class EncodeTest(unittest.TestCase):
    @given(st.text())
    def test_any_text_becomes_a_target_that_can_be_sent_and_stays_so(self, text):
        encoded = encode_target("/" + text)
        h11.Request(method=b"GET", target=encoded, headers=((b"host", b"h"),))
        self.assertEqual(encode_target(encoded.decode("ascii")), encoded)

    @given(st.text(st.characters(codec="ascii", categories=("L", "N"))))
    def test_plain_paths_stay_as_they_are(self, text):
        path = f"/{text}/?a={text}"
        self.assertEqual(encode_target(path), path.encode())

    @given(st.text())
    def test_normalizing_again_changes_nothing(self, text):
        normalized = normalize_path(text)
        self.assertTrue(normalized.isascii())
        self.assertEqual(normalize_path(normalized), normalized)

    def test_lone_percent_sign_is_encoded_and_a_triplet_is_kept(self):
        self.assertEqual(encode_target("/100%/%41%4"), b"/100%25/%41%254")


if __name__ == "__main__":
    unittest.main()
