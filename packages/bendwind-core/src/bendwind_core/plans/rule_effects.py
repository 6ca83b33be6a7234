"""Find the requests that a change of rules treats less or more strictly.

Rules apply by first match, so a rule that is added, moved or removed can change what another one
decides. Sample requests are therefore put to both lists of rules, and the answers compared.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from bendwind_core.world import Repeat, Rule, Service, find_rule

# The methods that a rule without methods stands for, RFC 9110 and RFC 5789.
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE")
_WILDCARDS = ("*", "?")
_SAMPLE_TEXT = "x"


@dataclass(frozen=True, slots=True)
class RuleEffect:
    """Say how requests of a method and path are treated before and after."""

    method: str
    path: str
    aspect: str
    before: str
    after: str
    is_loosened: bool


def describe_rule(rule: Rule) -> str:
    """Return the methods and path that a rule matches.

    >>> describe_rule(Rule("/issue", ("POST",)))
    'POST /issue'
    """
    return f"{'|'.join(sorted(rule.methods)) or 'any'} {rule.path}"


def find_rule_effects(before: Service, after: Service) -> Iterator[RuleEffect]:
    """Yield each sampled request whose repetition or key is treated otherwise, once a path."""
    if before.rules == after.rules:
        return
    rules = dict.fromkeys(before.rules + after.rules)
    methods = _collect_methods(tuple(rules))
    seen: set[tuple[str, str, str]] = set()
    for pattern, path in _sample_paths([rule.path for rule in rules]):
        for method in methods:
            for effect in _compare(before, after, method, path, pattern):
                key = (effect.method, effect.path, effect.aspect)
                if key not in seen:
                    seen.add(key)
                    yield effect


def _collect_methods(rules: tuple[Rule, ...]) -> tuple[str, ...]:
    named = {method for rule in rules for method in rule.methods}
    return METHODS + tuple(sorted(named - set(METHODS)))


def _sample_paths(patterns: list[str]) -> Iterator[tuple[str, str]]:
    """Yield paths that match each pattern, and paths that match two patterns at once."""
    for pattern in dict.fromkeys(patterns):
        yield pattern, _fill(pattern, _SAMPLE_TEXT)
    for pattern in dict.fromkeys(patterns):
        for other in dict.fromkeys(patterns):
            if "*" in pattern and other != pattern:
                path = _fill(pattern, _fill(other, _SAMPLE_TEXT))
                yield path, path


def _fill(pattern: str, text: str) -> str:
    for wildcard in _WILDCARDS:
        pattern = pattern.replace(wildcard, text if wildcard == "*" else _SAMPLE_TEXT)
    return pattern


def _compare(
    before: Service, after: Service, method: str, path: str, shown: str
) -> Iterator[RuleEffect]:
    old, new = find_rule(before, method, path), find_rule(after, method, path)
    if old.repeat != new.repeat:
        is_loosened = new.repeat is Repeat.IDEMPOTENT
        yield RuleEffect(method, shown, "repeat", old.repeat, new.repeat, is_loosened)
    if old.key_required != new.key_required:
        texts = [str(rule.key_required).lower() for rule in (old, new)]
        yield RuleEffect(method, shown, "key_required", *texts, is_loosened=not new.key_required)
