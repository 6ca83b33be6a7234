"""Measure what customers' quotas cost a node and a voter, and print it as JSON.

Run it with `python -m bendwind_bench.slopes_quotas`. All of it is the pure code and the codec in
this process; links and system calls are not in it.
"""

import dataclasses
import gc
import json
import sys
import tracemalloc

from bendwind_bench.slopes_membership.slope import Point, decode, encode, fit, time_median
from bendwind_core.core import Record
from bendwind_core.quotas import (
    NodeQuotas,
    QuotaBounds,
    QuotaDemand,
    QuotaGrant,
    QuotaLoan,
    QuotaLoanRequest,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
    QuotaUnused,
    VoterQuotas,
    create_node_quotas,
    create_voter_quotas,
    flush_quota_requests,
    handle_quota_loan,
    handle_quota_loan_request,
    handle_quota_reply,
    handle_quota_request,
    record_confirmation,
    request_token,
    return_token,
    tick_node,
    update_configuration,
    update_voters,
)
from bendwind_core.world import Configuration, Customer

WANTS = (1, 2, 4, 8, 16, 32, 64)
CUSTOMERS = (100, 1000, 10_000)
ROUNDS = 500
BOUNDS = QuotaBounds()
# Runs are the milliseconds since 1970 at which a process starts.
RUN = 1_764_685_000_123
AMPLE = 1e9
FOREVER = 1e9


def name_customer(number: int) -> str:
    """Return a name of the usual length."""
    return f"customer-{number:05}"


def make_voter(name: str, customers: int, burst: float = AMPLE) -> VoterQuotas:
    """Make one of two voters; each customer is new, so that its bucket is full."""
    quotas = create_voter_quotas(name, RUN, BOUNDS, 2, FOREVER)
    update_voters(quotas, 1, ("v2",) if name == "v1" else ("v1",), 0.0)
    record_confirmation(quotas, 0.0)
    listed = tuple(
        Customer(name_customer(number), rate_per_s=1.0, burst=burst) for number in range(customers)
    )
    update_configuration(quotas, Configuration(1, customers=listed), 0.0)
    return quotas


def measure_asks() -> dict:
    """Measure an ask at a voter, with its decoding and the encoding of the reply, by its wants."""
    points = []
    for size in WANTS:
        voter = make_voter("v1", size)
        wants = tuple(QuotaDemand(name_customer(number), 1, 2) for number in range(size))
        data = encode(QuotaRequest(RUN << 20, wants))

        def work(voter=voter, data=data) -> int:
            for _ in range(ROUNDS):
                for effect in handle_quota_request(voter, "n1", decode(data), 0.0):
                    encode(effect.message)
            return ROUNDS

        points.append(Point(size, time_median(work)))
    return dataclasses.asdict(fit("us", "want", points))


def measure_loan() -> float:
    """Measure an ask that one voter lacks tokens for, at both voters together, codec included.

    Units: microseconds.
    """
    lender = make_voter("v2", 1)
    name = name_customer(0)
    ask = encode(QuotaRequest(RUN << 20, (QuotaDemand(name, 1),)))

    def work() -> int:
        borrower = make_voter("v1", 1, burst=0.0)
        borrower.accounts[name].bucket.level = 0.0
        for _ in range(ROUNDS):
            (pull,) = handle_quota_request(borrower, "n1", decode(ask), 0.0)
            (loan,) = handle_quota_loan_request(lender, "v1", decode(encode(pull.message)), 0.0)
            for effect in handle_quota_loan(borrower, "v2", decode(encode(loan.message)), 0.0):
                encode(effect.message)
            borrower.accounts[name].borrowed.clear()
        return ROUNDS

    return time_median(work)


def measure_node_ask() -> float:
    """Measure a request at a node that waits for a token, codec included.

    Units: microseconds.
    """
    node = create_node_quotas(BOUNDS, RUN)
    name = name_customer(0)
    now = 0.0

    def work() -> int:
        nonlocal now
        for _ in range(ROUNDS):
            # A request a second asks for nothing ahead.
            now += 1.0
            request_token(node, name, now + 0.25, now)
            (effect,) = flush_quota_requests(node, ("v1",), now)
            encode(effect.message)
            reply = QuotaReply(effect.message.number, RUN, (QuotaGrant(name, 1, 1),))
            handle_quota_reply(node, "v1", decode(encode(reply)), now)
            node.settled.clear()
        return ROUNDS

    return time_median(work)


def measure_node_stock() -> float:
    """Measure a request at a node that has a token for it. Units: microseconds."""
    node = create_node_quotas(BOUNDS, RUN)
    name = name_customer(0)

    def work() -> int:
        stock_node(node, name, 0.0, ROUNDS)
        for _ in range(ROUNDS):
            assert request_token(node, name, 0.25, 0.0).is_ok()
        node.accounts.clear()
        node.to_request.clear()
        return ROUNDS

    return time_median(work)


def stock_node(node: NodeQuotas, name: str, now: float, tokens: int) -> None:
    """Have a node hold so many tokens of a customer."""
    request_token(node, name, now + 0.25, now)
    node.next_request_at = now
    (effect,) = flush_quota_requests(node, ("v1",), now)
    reply = QuotaReply(effect.message.number, RUN, (QuotaGrant(name, 1, tokens + 1),))
    handle_quota_reply(node, "v1", reply, now)
    node.settled.clear()


def measure_return() -> float:
    """Measure a token that a node gives back, the message included. Units: microseconds."""
    node = create_node_quotas(BOUNDS, RUN)
    name = name_customer(0)
    now = 0.0

    def work() -> int:
        nonlocal now
        for _ in range(ROUNDS):
            now += 1.0
            stock_node(node, name, now, 1)
            return_token(node, request_token(node, name, now + 0.25, now).ok)
            for effect in tick_node(node, now):
                encode(effect.message)
        return ROUNDS

    return time_median(work)


def measure_memory() -> dict:
    """Measure the memory of a voter's accounts and of a node's stocks."""
    accounts, stocks = [], []
    for size in CUSTOMERS:
        voter = make_voter("v1", size)
        voter.accounts.clear()
        accounts.append(Point(size, _trace(lambda v=voter, s=size: _ask_each(v, s))))
        node = create_node_quotas(BOUNDS, RUN)
        stocks.append(Point(size, _trace(lambda n=node, s=size: _stock_each(n, s))))
    return {
        "account": dataclasses.asdict(fit("bytes", "customer", accounts)),
        "stock": dataclasses.asdict(fit("bytes", "customer", stocks)),
    }


def _trace(fill) -> float:
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    fill()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used


def _ask_each(voter: VoterQuotas, number: int) -> None:
    for index in range(number):
        handle_quota_request(
            voter, "n1", QuotaRequest(index, (QuotaDemand(name_customer(index), 1),)), 60.0
        )


def _stock_each(node: NodeQuotas, number: int) -> None:
    for index in range(number):
        stock_node(node, name_customer(index), 0.0, 1)


def measure_bytes() -> dict[str, int]:
    """Measure each message in a frame of its own, with one customer."""
    name = name_customer(0)
    messages: tuple[Record, ...] = (
        QuotaRequest(RUN << 20, (QuotaDemand(name, 1, 2),)),
        QuotaReply(RUN << 20, RUN, (QuotaGrant(name, 123_456, 3),)),
        QuotaReturn(RUN, (QuotaUnused(123_456, 1),)),
        QuotaLoanRequest(RUN << 20, name, 1.25),
        QuotaLoan(RUN << 20, RUN, name, 123_456, 1.25, 7.5),
    )
    return {type(message).__name__: len(encode(message)) for message in messages}


def main() -> None:
    """Measure all and print JSON."""
    result = {
        "ask_at_voter_us": measure_asks(),
        "ask_with_loan_us": measure_loan(),
        "request_that_asks_us": measure_node_ask(),
        "request_from_stock_us": measure_node_stock(),
        "return_us": measure_return(),
        "memory": measure_memory(),
        "bytes": measure_bytes(),
    }
    json.dump(result, sys.stdout, indent=1)
    print()


if __name__ == "__main__":
    main()
