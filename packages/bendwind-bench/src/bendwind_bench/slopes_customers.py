"""Measure the cost of customers for nodes and voters, and print it as JSON.

Run it with `python -m bendwind_bench.slopes_customers`. It runs only pure code in this process.
"""

import dataclasses
import gc
import json
import sys
import tracemalloc
from collections.abc import Callable

from bendwind_bench.slopes_membership.slope import Point, Slope, decode, encode, fit, time_median
from bendwind_core.customers import CustomersChange, find_customer
from bendwind_core.membership import ConfigurationChanged
from bendwind_core.membership.customer_history import (
    CustomerHistory,
    make_customers_change,
    update_customers,
)
from bendwind_core.membership.watch_cache import WatchCache, put_customers
from bendwind_core.plans import ControlState, PutRevision, encode_command
from bendwind_core.world import Customer, Routing, digest_key

COUNTS = (100, 1_000, 20_000)
KEYS = 2
FIRST_VERSION = 7
# Measurements of few customers are repeated up to this number of units of work, so that a run is
# not shorter than the resolution of the clock.
WORK_UNITS = 20_000


def make_customer(index: int, key_variant: int = 0) -> Customer:
    """Make a customer with two keys, a rank and a quota; `key_variant` selects the second key."""
    keys = (digest_key(b"%d" % index), digest_key(b"%d-%d" % (index, key_variant)))
    return Customer(f"customer-{index:05d}", keys, 1, 12.5, 40.0)


def make_customers(count: int, key_variant: int = 0) -> tuple[Customer, ...]:
    """Make this many customers, sorted by name."""
    return tuple(make_customer(index, key_variant) for index in range(count))


def make_history(count: int) -> CustomerHistory:
    """Make a voter's history of customers that were all added by one version."""
    history = CustomerHistory()
    update_customers(history, make_customers(count), FIRST_VERSION)
    return history


def make_cache(count: int) -> WatchCache:
    """Make the cache of a node after the first push to it."""
    cache = WatchCache()
    put_customers(cache, make_customers_change(make_history(count), 0))
    return cache


def _change_all(count: int, version: int) -> tuple[CustomersChange, CustomersChange]:
    """Return a change of one key of every customer, and the change that reverts it."""
    history = make_history(count)
    update_customers(history, make_customers(count, 1), version)
    forward = make_customers_change(history, FIRST_VERSION)
    update_customers(history, make_customers(count), version + 1)
    return forward, make_customers_change(history, version)


def _change_one(count: int) -> tuple[CustomersChange, CustomersChange]:
    history = make_history(count)
    others = make_customers(count)[1:]
    update_customers(history, (make_customer(0, 1), *others), FIRST_VERSION + 1)
    forward = make_customers_change(history, FIRST_VERSION)
    update_customers(history, (make_customer(0), *others), FIRST_VERSION + 2)
    return forward, make_customers_change(history, FIRST_VERSION + 1)


def _time_put(count: int, changes: tuple[CustomersChange, ...]) -> float:
    cache = make_cache(count)
    rounds = max(1, WORK_UNITS // count)

    def run() -> int:
        for _ in range(rounds):
            for change in changes:
                assert put_customers(cache, change) is not None
        return rounds * len(changes)

    return time_median(run)


def _time_update(count: int, lists: tuple[tuple[Customer, ...], ...]) -> float:
    history = make_history(count)
    rounds = max(1, WORK_UNITS // count)

    def run() -> int:
        version = history.newest_change
        for _ in range(rounds):
            for customers in lists:
                version += 1
                assert update_customers(history, customers, version)
        return rounds * len(lists)

    return time_median(run)


def _time_update_one(count: int) -> float:
    customers = make_customers(count)
    return _time_update(count, ((make_customer(0, 1), *customers[1:]), customers))


def _time_update_all(count: int) -> float:
    return _time_update(count, (make_customers(count, 1), make_customers(count)))


def _time_find(count: int) -> float:
    table = make_cache(count).customers

    def run() -> int:
        for index in range(WORK_UNITS):
            find_customer(table, b"%d" % (index % count))
        return WORK_UNITS

    return time_median(run)


def _time_decode(count: int) -> float:
    data = encode(make_push(make_customers_change(make_history(count), 0)))

    def run() -> int:
        decode(data)
        return 1

    return time_median(run)


def make_push(change: CustomersChange) -> ConfigurationChanged:
    """Return the message that sends a node only a change of customers."""
    return ConfigurationChanged(FIRST_VERSION + 1, (), base=change.base, customers=change)


def _count_bytes(change: CustomersChange) -> float:
    return float(len(encode(make_push(change))))


def _count_command(count: int) -> float:
    command = PutRevision((), Routing(1), b"", make_customers(count))
    return float(len(encode_command(command).ok))


def _count_snapshot(count: int) -> float:
    state = ControlState()
    state.apply(1, encode_command(PutRevision((), Routing(1), b"", make_customers(count))).ok)
    return float(len(state.snapshot()))


def _measure_memory(work: Callable[[], object]) -> float:
    """Return the bytes that the result occupies beyond the data that it was made from."""
    gc.collect()
    tracemalloc.start()
    result = work()
    gc.collect()
    byte_count, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert result is not None
    return float(byte_count)


def _measure_node(count: int) -> float:
    data = encode(make_push(make_customers_change(make_history(count), 0)))

    def receive() -> WatchCache:
        cache = WatchCache()
        message = decode(data)
        put_customers(cache, message.customers)
        return cache

    return _measure_memory(receive)


def _measure_voter(count: int) -> float:
    customers = make_customers(count)

    def update() -> CustomerHistory:
        history = CustomerHistory()
        update_customers(history, customers, FIRST_VERSION)
        return history

    return _measure_memory(update)


def measure_customers() -> dict[str, Slope]:
    """Measure the costs that grow with the number of customers."""
    works = {
        "node_memory": ("byte", _measure_node),
        "voter_ledger_memory": ("byte", _measure_voter),
        "node_put_one_key_time": ("us", lambda n: _time_put(n, _change_one(n))),
        "node_put_all_keys_time": ("us", lambda n: _time_put(n, _change_all(n, 8))),
        "node_put_whole_time": (
            "us",
            lambda n: _time_put(n, (make_customers_change(make_history(n), 0),)),
        ),
        "node_decode_whole_time": ("us", _time_decode),
        "node_find_time": ("us", _time_find),
        "voter_take_one_key_time": ("us", _time_update_one),
        "voter_take_all_keys_time": ("us", _time_update_all),
        "push_one_key_bytes": ("byte", lambda n: _count_bytes(_change_one(n)[0])),
        "push_whole_bytes": (
            "byte",
            lambda n: _count_bytes(make_customers_change(make_history(n), 0)),
        ),
        "command_bytes": ("byte", _count_command),
        "snapshot_bytes": ("byte", _count_snapshot),
    }
    return {
        name: fit(unit, "customer", [Point(count, work(count)) for count in COUNTS])
        for name, (unit, work) in works.items()
    }


def main() -> None:
    """Run all measurements and print them as JSON."""
    slopes = measure_customers()
    json.dump(
        {name: dataclasses.asdict(slope) for name, slope in slopes.items()}, sys.stdout, indent=1
    )
    print()


if __name__ == "__main__":
    main()
