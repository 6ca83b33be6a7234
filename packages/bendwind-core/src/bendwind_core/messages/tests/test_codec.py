import typing
import unittest

import cbor2

from bendwind_core.membership import HeartbeatReply
from bendwind_core.messages import Goodbye, PeerMessage, decode_message, encode_message


class DecodeTest(unittest.TestCase):
    def test_decoded_message_equals_the_encoded_message(self):
        for message in (Goodbye("n"), HeartbeatReply(1, 2, None, True)):
            self.assertEqual(decode_message(encode_message(message)).ok, message)

    def test_data_that_is_not_a_message_is_an_error(self):
        wrong = (7, [], {}, "beat", [7], [["beat"]], [{}], ["no-such-tag"], ["goodbye"], [None])
        for value in wrong:
            self.assertTrue(decode_message(cbor2.dumps(value)).is_error(), value)
        self.assertTrue(decode_message(b"").is_error())

    def test_each_message_type_has_a_unique_tag(self):
        kinds = typing.get_args(PeerMessage)
        self.assertEqual(len({kind.__struct_config__.tag for kind in kinds}), len(kinds))


if __name__ == "__main__":
    unittest.main()
