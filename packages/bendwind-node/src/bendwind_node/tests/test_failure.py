import enum
import unittest

import msgspec
import trio

from bendwind_node.failure import (
    HandledInput,
    bound,
    describe_end,
    describe_failure,
    describe_input,
    run_named,
)


class Color(enum.Enum):
    RED = 1


class Record(msgspec.Struct):
    name: str
    sequence: int
    body: bytes = b""
    inner: tuple = ()
    color: Color = Color.RED


def catch(run, *arguments):
    try:
        run(*arguments)
    except BaseException as error:
        return error


async def fail(error):
    raise error


class FailureTest(unittest.TestCase):
    def test_input_shows_numbers_and_types_but_no_text(self):
        secret = Record("api-key", 7, b"a body", (Record("password", 2**70),))
        found = describe_input(secret)
        for text in ("api-key", "a body", "password"):
            self.assertNotIn(text, found)
        for text in ("Record(", "sequence=7", "<number of 71 bits>", "<6 bytes>", "color=RED"):
            self.assertIn(text, found)

    def test_input_is_bounded(self):
        items = tuple(Record("x" * 1000, number) for number in range(1000))
        self.assertLess(len(describe_input(Record("x", 10**9999, inner=items))), 500)

    def test_input_of_deep_nesting_is_bounded(self):
        record = Record("x", 1)
        for _ in range(5000):
            record = Record("x", 1, inner=(record,))
        self.assertLess(len(describe_input(record)), 500)

    def test_text_is_bounded_and_stays_on_one_line(self):
        self.assertEqual(bound("a\x00\x1b\r\n\u2028\ud800"), r"a\x00\x1b\r\n\u2028\ud800")
        self.assertLess(len(bound("\x00" * 10**6)), 250)

    def test_quoted_data_and_keys_are_left_out_of_the_text(self):
        for error in (
            catch(int, "token"),
            catch(dict().__getitem__, "token"),
            catch(msgspec.convert, "token", Color),
            catch(
                msgspec.json.decode,
                b'"' + b"token" * 99,
            ),
        ):
            self.assertNotIn("token", describe_failure(error))

    def test_quoted_data_is_left_out_whatever_it_holds(self):
        for data in ("token", "it's token", 'say "token"', 'it\'s "token"', "a\\", "token\n'"):
            for shown in (repr(data), repr(data.encode())):
                error = ValueError(f"can't read {shown}, or can't it")
                self.assertNotIn("token", describe_failure(error))
                self.assertIn("can't read <", describe_failure(error))
        self.assertNotIn("token", describe_failure(ValueError("cut: 'a token")))

    def test_names_in_the_code_are_shown(self):
        found = describe_failure(catch(getattr, None, "missing"))
        self.assertIn("'NoneType' object has no attribute 'missing'", found)

    def test_every_distinct_exception_of_nested_groups_is_shown_once(self):
        leaves = [ValueError("a"), ValueError("a"), OSError("b"), MemoryError()]
        group = ExceptionGroup("outer", [ExceptionGroup("inner", leaves), RuntimeError("c")])
        found = describe_failure(group)
        for text in ("OSError: b", "MemoryError", "RuntimeError: c"):
            self.assertIn(text, found)
        self.assertEqual(found.count("ValueError: a"), 1)

    def test_number_of_exceptions_is_bounded(self):
        found = describe_failure(ExceptionGroup("many", [OSError(str(n)) for n in range(900)]))
        self.assertTrue(found.endswith("and 896 more"))
        self.assertLess(len(found), 1000)

    def test_cause_is_shown_and_a_circle_of_causes_ends(self):
        outer, inner = RuntimeError("outer"), OSError("inner")
        outer.__cause__, inner.__cause__ = inner, outer
        self.assertIn("OSError: inner", describe_failure(outer))

    def test_exception_whose_text_raises_is_described(self):
        class BrokenError(Exception):
            def __str__(self):
                raise ValueError("no text")

        self.assertIn("its text raised ValueError", describe_failure(BrokenError()))

    def test_end_names_the_tasks_from_the_outermost_inwards_and_the_input(self):
        def handle(message):
            with HandledInput(message, "peer-1"):
                raise OverflowError("too large")

        async def inner():
            handle(Record("x", 2**64))

        async def outer():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run_named, inner)
                nursery.start_soon(run_named, trio.sleep_forever)

        found = describe_end(catch(trio.run, run_named, outer), "main")
        self.assertRegex(found, r"^task=\S+outer > \S+inner input=Record\(.* from peer-1 fault=")
        self.assertIn("OverflowError: too large", found)
        self.assertNotIn("Cancelled", found)

    def test_end_without_a_named_task_names_the_default(self):
        found = describe_end(catch(trio.run, fail, ValueError("x")), "main")
        self.assertIn("task=main fault=ValueError: x", found)


if __name__ == "__main__":
    unittest.main()
