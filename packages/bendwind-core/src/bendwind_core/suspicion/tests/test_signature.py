import unittest

from bendwind_core.suspicion import compute_signature

HOST = (b"host", b"records.example")


class SignatureTest(unittest.TestCase):
    def test_retry_of_a_request_has_the_same_signature(self):
        first = compute_signature("POST", b"/a", (HOST, (b"request-id", b"1")), b"x")
        again = compute_signature("POST", b"/a", ((b"request-id", b"2"), HOST), b"x")
        self.assertEqual(first, again)

    def test_different_requests_have_different_signatures(self):
        one = compute_signature("POST", b"/a", (HOST, (b"cookie", b"c=1")), b"x")
        others = {
            compute_signature("PUT", b"/a", (HOST, (b"cookie", b"c=1")), b"x"),
            compute_signature("POST", b"/a?b", (HOST, (b"cookie", b"c=1")), b"x"),
            compute_signature(
                "POST", b"/a", ((b"host", b"else.example"), (b"cookie", b"c=1")), b"x"
            ),
            compute_signature("POST", b"/a", (HOST, (b"cookie", b"c=2")), b"x"),
            compute_signature("POST", b"/a", (HOST, (b"authorization", b"c=1")), b"x"),
            compute_signature("POST", b"/a", (HOST, (b"cookie", b"c=1")), b"y"),
            compute_signature("POST", b"/ax", (HOST, (b"cookie", b"c=1")), b""),
        }
        self.assertEqual(len(others), 7)
        self.assertNotIn(one, others)

    def test_customer_replaces_the_identity_headers_of_its_callers(self):
        def sign(customer, *headers, host=HOST):
            return compute_signature("POST", b"/a", (host, *headers), b"x", customer)

        one = sign("norte", (b"cookie", b"c=1"))
        self.assertEqual(one, sign("norte", (b"authorization", b"a")))
        others = {
            sign("sul", (b"cookie", b"c=1")),
            sign("", (b"cookie", b"c=1")),
            sign("norte", host=(b"host", b"else.example")),
            sign("", (b"customer", b"norte")),
        }
        self.assertEqual(len(others), 4)
        self.assertNotIn(one, others)


if __name__ == "__main__":
    unittest.main()
