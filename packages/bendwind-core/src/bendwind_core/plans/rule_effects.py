"""Find the requests that a change of rules treats less or more strictly.

The first matching rule applies, so a rule that is added, moved or removed can change which requests
another rule applies to. Sample requests are therefore matched against both lists of rules, and the
matching rules are compared.
"""

import itertools
from collections.abc import Iterator

import msgspec

from bendwind_core.world import Repeat, Rule, Service, find_rule

# The methods that a rule without methods represents, from RFC 9110 and RFC 5789.
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE")
_WILDCARDS = ("*", "?")
_WILDCARD_SAMPLE = "x"


class RuleEffect(msgspec.Struct, frozen=True):
    """Describe how requests with a method and path are treated before and after a change."""

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


class _Sample(msgspec.Struct, frozen=True):
    """Hold a path, the label to show instead, and the patterns that it was made from."""

    path: str
    label: str
    patterns: tuple[str, ...]


def find_rule_effects(before: Service, after: Service) -> Iterator[RuleEffect]:
    """Yield each change in whether sampled requests can be repeated and which keys they need.

    A path that matches two patterns is left out if one of them already shows the same effect.
    """
    if before.rules == after.rules:
        return
    rules = dict.fromkeys(before.rules + after.rules)
    methods = _collect_methods(tuple(rules))
    reported: set[tuple[str, str, str, bool]] = set()
    for sample in _sample_paths(list(dict.fromkeys(rule.path for rule in rules))):
        for method in methods:
            for effect in _compare_matched_rules(before, after, method, sample):
                keys = {(p, method, effect.aspect, effect.is_loosened) for p in sample.patterns}
                if not keys & reported:
                    yield effect
                reported |= keys


def _collect_methods(rules: tuple[Rule, ...]) -> tuple[str, ...]:
    named = {method for rule in rules for method in rule.methods}
    return METHODS + tuple(sorted(named - set(METHODS)))


def _sample_paths(patterns: list[str]) -> Iterator[_Sample]:
    """Yield paths that match each pattern, and paths that match two patterns at once."""
    for pattern in patterns:
        yield _Sample(_replace_wildcards(pattern, _WILDCARD_SAMPLE), pattern, (pattern,))
    for pattern, other in itertools.permutations(patterns, 2):
        if "*" in pattern:
            path = _replace_wildcards(pattern, _replace_wildcards(other, _WILDCARD_SAMPLE))
            yield _Sample(path, path, (pattern, other))


def _replace_wildcards(pattern: str, text: str) -> str:
    for wildcard in _WILDCARDS:
        pattern = pattern.replace(wildcard, text if wildcard == "*" else _WILDCARD_SAMPLE)
    return pattern


def _compare_matched_rules(
    before: Service, after: Service, method: str, sample: _Sample
) -> Iterator[RuleEffect]:
    old = find_rule(before, method, sample.path)
    new = find_rule(after, method, sample.path)
    if old.repeat != new.repeat:
        is_loosened = new.repeat is Repeat.IDEMPOTENT
        yield RuleEffect(method, sample.label, "repeat", old.repeat, new.repeat, is_loosened)
    if old.key_required != new.key_required:
        texts = [str(rule.key_required).lower() for rule in (old, new)]
        yield RuleEffect(
            method, sample.label, "key_required", *texts, is_loosened=not new.key_required
        )
    if old.is_open != new.is_open:
        texts = [str(rule.is_open).lower() for rule in (old, new)]
        yield RuleEffect(method, sample.label, "open", *texts, is_loosened=new.is_open)
