"""Send every message with extreme numbers; what is taken can be kept, digested and sent on.

A message is drawn from the description of its type, so that a new field is drawn as well.
"""

import math
import typing
import unittest

import cbor2
import msgspec
from hypothesis import given
from hypothesis import strategies as st

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_core.messages import PeerMessage, decode_frame, decode_message, encode_message

KINDS = {kind.__struct_config__.tag: kind for kind in typing.get_args(PeerMessage)}
EDGES = (0, 1, 2**16, 10**13, 2**31, 2**53, 2**62, 2**63, 2**64, 2**70, 10**400)
STEPS = (-1, 0, 1)
INTEGERS = [sign * (edge + step) for edge in EDGES for sign in (1, -1) for step in STEPS]
FLOATS = [math.nan, math.inf, -math.inf, 5e-324, -0.0, 1e15, 1e308, -1.7e308]
integers = st.one_of(st.integers(0, 5), st.sampled_from(INTEGERS))
numbers = st.one_of(st.floats(0.0, 1000.0), st.sampled_from(FLOATS), integers)


def draw_values(kind: msgspec.inspect.Type) -> st.SearchStrategy:
    """Return a strategy for the encoded values of a type; only its numbers may be invalid."""
    match kind:
        case msgspec.inspect.Metadata(type=inner):
            return draw_values(inner)
        case msgspec.inspect.IntType():
            return integers
        case msgspec.inspect.FloatType():
            return numbers
        case msgspec.inspect.StrType():
            return st.sampled_from(["", "a", "n1#5"])
        case msgspec.inspect.BytesType():
            return st.binary(max_size=3)
        case msgspec.inspect.BoolType():
            return st.booleans()
        case msgspec.inspect.NoneType():
            return st.none()
        case msgspec.inspect.EnumType(cls=choices):
            return st.sampled_from([choice.value for choice in choices])
        case msgspec.inspect.VarTupleType(item_type=item):
            return st.lists(draw_values(item), max_size=2)
        case msgspec.inspect.TupleType(item_types=items):
            return st.tuples(*map(draw_values, items)).map(list)
        case msgspec.inspect.UnionType(types=types):
            return st.one_of(*map(draw_values, types))
        case msgspec.inspect.StructType(fields=fields, tag=tag):
            head = [] if tag is None else [st.just(tag)]
            return st.tuples(*head, *(draw_values(field.type) for field in fields)).map(list)
    raise AssertionError(kind)


MESSAGES = {tag: draw_values(msgspec.inspect.type_info(kind)) for tag, kind in KINDS.items()}


def list_numbers(value: object) -> list[int | float]:
    """Return all numbers within an encoded value."""
    if isinstance(value, list | tuple):
        return [number for item in value for number in list_numbers(item)]
    return [value] if isinstance(value, int | float) else []


class NumbersTest(unittest.TestCase):
    def check(self, value: list) -> bool:
        """Return whether a message is taken; one that is can be kept and sent on as it is."""
        data = cbor2.dumps(value)
        decoded = decode_message(data)
        framed = decode_frame(cbor2.dumps([0, 0, [value], 0]))
        self.assertEqual(decoded.is_ok(), framed.is_ok())
        if decoded.is_error():
            return False
        # The control log and the digests of records are encoded like this.
        msgspec.msgpack.encode(decoded.ok)
        # NaN differs from itself.
        kept = decode_message(encode_message(decoded.ok)).ok
        self.assertEqual(repr(kept), repr(decoded.ok))
        for number in list_numbers(msgspec.to_builtins(decoded.ok, builtin_types=(bytes,))):
            self.assertFalse(math.isnan(number), value)
        return True

    def test_message_with_extreme_numbers_is_refused_or_can_be_kept(self):
        for tag, messages in MESSAGES.items():
            with self.subTest(tag):
                given(messages)(self.check_any)()

    def check_any(self, value: list) -> None:
        self.check(value)

    @given(st.integers(), st.integers(), st.integers())
    def test_frame_with_extreme_numbers_is_refused_or_read(self, physical_ms, logical, version):
        data = cbor2.dumps([physical_ms, logical, [], version])
        frame = decode_frame(data)
        if frame.is_ok():
            msgspec.msgpack.encode(frame.ok)

    def test_one_extreme_number_in_a_valid_message_is_refused_or_can_be_kept(self):
        for tag, kind in KINDS.items():
            value = make_smallest(msgspec.inspect.type_info(kind))
            self.assertTrue(self.check(value), tag)
            for place in list_places(value):
                for number in (*INTEGERS, *FLOATS):
                    self.check(replace_at(value, place, number))


def list_places(value: object) -> list[tuple[int, ...]]:
    """Return the positions of all numbers within an encoded value."""
    if isinstance(value, list):
        return [(at, *rest) for at, item in enumerate(value) for rest in list_places(item)]
    return [()] if isinstance(value, int | float) and not isinstance(value, bool) else []


def replace_at(value: object, place: tuple[int, ...], number: float) -> object:
    """Return an encoded value with another number at one position."""
    if not place:
        return number
    changed = replace_at(value[place[0]], place[1:], number)
    return [*value[: place[0]], changed, *value[place[0] + 1 :]]


def make_smallest(kind: msgspec.inspect.Type) -> object:
    """Return an encoded value of a type whose numbers are 1."""
    match kind:
        case msgspec.inspect.Metadata(type=inner):
            return make_smallest(inner)
        case msgspec.inspect.IntType() | msgspec.inspect.FloatType():
            return 1
        case msgspec.inspect.StrType():
            return "a"
        case msgspec.inspect.BytesType():
            return b"a"
        case msgspec.inspect.BoolType():
            return True
        case msgspec.inspect.NoneType():
            return None
        case msgspec.inspect.EnumType(cls=choices):
            return next(iter(choices)).value
        case msgspec.inspect.VarTupleType(item_type=item):
            return [make_smallest(item)]
        case msgspec.inspect.TupleType(item_types=items):
            return [make_smallest(item) for item in items]
        case msgspec.inspect.UnionType(types=types):
            return make_smallest(types[0])
        case msgspec.inspect.StructType(fields=fields, tag=tag):
            head = [] if tag is None else [tag]
            return [*head, *(make_smallest(field.type) for field in fields)]
    raise AssertionError(kind)


if __name__ == "__main__":
    unittest.main()
