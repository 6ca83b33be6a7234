"""Describe unexpected exceptions on one bounded line, without any data of a caller."""

import collections
import enum
import re
from collections.abc import Callable, Iterator

import msgspec
import trio

# The innermost frames show where it occurred; the outer ones are the same for each request.
_FRAMES = 5
_MAX_TEXT_CHARACTERS = 200
_MAX_INPUT_CHARACTERS = 400
_MAX_FAULTS = 4
_MAX_VISITED = 1000
_MAX_FIELDS = 12
_MAX_ITEMS = 3
_MAX_DEPTH = 4
_MAX_NUMBER_BITS = 64
# What these types quote are names in the code, types, files and addresses.
_QUOTING_NO_DATA = (AttributeError, TypeError, NameError, ImportError, OSError)
# An apostrophe within a word opens no quotation; one that is left open quotes the rest.
_QUOTED = re.compile(
    r"""(?<!\w)(?:b|B)?(?:'(?:[^'\\]|\\.)*(?:'|$)|"(?:[^"\\]|\\.)*(?:"|$)|`[^`]*(?:`|$))""",
    re.DOTALL,
)


class TaskNote(str):
    """Name a task in which an exception occurred, as a note of that exception."""


class InputNote(str):
    """Describe the message that a task handled when an exception occurred, as a note of it."""


class Failure(msgspec.Struct, frozen=True):
    """Describe one exception; `task` and `input` are empty if unknown."""

    fault: str
    task: str = ""
    input: str = ""


class HandledInput:
    """Note on an exception which message was being handled, and from which peer."""

    __slots__ = ("message", "sender")

    def __init__(self, message: object, sender: str):
        self.message = message
        self.sender = sender

    def __enter__(self) -> None:
        """Begin to handle the message."""

    def __exit__(self, kind: type | None, error: BaseException | None, places: object) -> None:
        """Add the note if handling the message raised."""
        if isinstance(error, Exception):
            note_input(error, self.message, self.sender)


def note_input(error: Exception, message: object, sender: str) -> None:
    """Note on an exception which message was being handled, and from which peer."""
    error.add_note(InputNote(f"{describe_input(message)} from {bound(sender)}"))


def describe_task(run: Callable[..., object]) -> str:
    """Return the name of a task's function."""
    run = getattr(run, "func", run)
    return getattr(run, "__qualname__", type(run).__name__)


async def run_named(run: Callable[..., object], *arguments: object, **keywords: object) -> None:
    """Run a task and note its name on an exception that it raises."""
    try:
        await run(*arguments, **keywords)
    except BaseException as error:
        if not isinstance(error, trio.Cancelled):
            error.add_note(TaskNote(describe_task(run)))
        raise


def describe_failure(error: BaseException) -> str:
    """Return every distinct exception, where it was raised and the message in hand, on one line."""
    failures, rest = list_failures(error)
    texts = [_add_input(failure) for failure in failures]
    return "; ".join(texts + _describe_rest(rest))


def _add_input(failure: Failure) -> str:
    return f"{failure.fault} handling {failure.input}" if failure.input else failure.fault


def describe_end(error: BaseException, default_task: str) -> str:
    """Return task, input and fault of every distinct exception that ended a process."""
    failures, rest = list_failures(error)
    texts = [_describe_one(failure, default_task) for failure in failures]
    return "; ".join(texts + _describe_rest(rest))


def _describe_one(failure: Failure, default_task: str) -> str:
    found = f" input={failure.input}" if failure.input else ""
    return f"task={failure.task or default_task}{found} fault={failure.fault}"


def _describe_rest(rest: int) -> list[str]:
    return [f"and {rest} more"] if rest else []


def list_failures(error: BaseException) -> tuple[list[Failure], int]:
    """Return the first distinct exceptions of a group, and the number of those left out."""
    found = list(dict.fromkeys(_walk(error)))
    return found[:_MAX_FAULTS], len(found) - len(found[:_MAX_FAULTS])


def _walk(error: BaseException) -> Iterator[Failure]:
    waiting = collections.deque([(error, (), "")])
    visited: set[int] = set()
    while waiting and len(visited) < _MAX_VISITED:
        current, tasks, found = waiting.popleft()
        if id(current) in visited or isinstance(current, trio.Cancelled):
            continue
        visited.add(id(current))
        notes = getattr(current, "__notes__", ())
        own_tasks = [note for note in notes if isinstance(note, TaskNote)]
        # The innermost task notes its name first.
        tasks = (*tasks, *reversed(own_tasks))
        found = next((note for note in notes if isinstance(note, InputNote)), found)
        if isinstance(current, BaseExceptionGroup):
            waiting.extend((inner, tasks, found) for inner in current.exceptions)
            continue
        yield Failure(_describe_fault(current), bound(" > ".join(tasks)), found)
        if current.__cause__ is not None:
            waiting.append((current.__cause__, tasks, found))


def _describe_fault(error: BaseException) -> str:
    text = bound(_read_text(error))
    return f"{type(error).__name__}: {text} (in {bound(_describe_places(error))})"


def _read_text(error: BaseException) -> str:
    try:
        text = str(error)
    except Exception as failed:
        return f"its text raised {type(failed).__name__}"
    if isinstance(error, _QUOTING_NO_DATA):
        return text
    if isinstance(error, LookupError) and not isinstance(error, IndexError):
        # The text of a KeyError is the key, which may be a caller's.
        return f"<{len(text)} characters>"
    return _QUOTED.sub(lambda quoted: f"<{len(quoted[0])} characters>", text)


def _describe_places(error: BaseException) -> str:
    places: collections.deque[str] = collections.deque(maxlen=_FRAMES)
    traceback = error.__traceback__
    while traceback is not None:
        places.append(f"{traceback.tb_frame.f_code.co_qualname}:{traceback.tb_lineno}")
        traceback = traceback.tb_next
    return ", ".join(reversed(places))


def bound(text: str, limit: int = _MAX_TEXT_CHARACTERS) -> str:
    r"""Return a text on one line, cut to a limit, with what cannot be printed escaped.

    >>> bound("a\nb")
    'a\\nb'
    """
    escaped = "".join(
        one if one.isprintable() else one.encode("unicode_escape").decode() for one in text[:limit]
    )
    if len(text) <= limit and len(escaped) <= limit:
        return escaped
    return f"{escaped[:limit]}... ({len(text)} characters)"


def describe_input(message: object) -> str:
    """Return a message's type and numbers; every text in it is replaced by its length.

    Texts and bytes may be credentials, keys or bodies of callers.
    """
    return bound(_describe_value(message, _MAX_DEPTH), _MAX_INPUT_CHARACTERS)


def _describe_value(value: object, depth: int) -> str:
    match value:
        case enum.Enum():
            return value.name
        case None | bool() | float():
            return repr(value)
        case int():
            bits = value.bit_length()
            return repr(value) if bits <= _MAX_NUMBER_BITS else f"<number of {bits} bits>"
        case msgspec.Struct():
            return f"{type(value).__name__}({_describe_fields(value, depth)})"
        case str():
            return f"<{len(value)} characters>"
        case bytes() | bytearray():
            return f"<{len(value)} bytes>"
        case tuple() | list() if depth:
            items = [_describe_value(item, depth - 1) for item in value[:_MAX_ITEMS]]
            return f"[{', '.join(items)}] of {len(value)}"
    return f"<{type(value).__name__}>"


def _describe_fields(value: msgspec.Struct, depth: int) -> str:
    if not depth:
        return "..."
    names = value.__struct_fields__[:_MAX_FIELDS]
    return ", ".join(f"{name}={_describe_value(getattr(value, name), depth - 1)}" for name in names)
