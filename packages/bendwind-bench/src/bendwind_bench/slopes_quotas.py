"""Measure the cost of customer quotas for a node and a voter, and print it as JSON.

Run it with `python -m bendwind_bench.slopes_quotas`. It runs only the pure code and the codec in
this process; links and system calls are not included.
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

DEMAND_COUNTS = (1, 2, 4, 8, 16, 32, 64)
CUSTOMERS = (100, 1000, 10_000)
ROUNDS = 500
BOUNDS = QuotaBounds()
# An incarnation is the time at which a process starts, in milliseconds since 1970.
INCARNATION = 1_764_685_000_123
FULL_BURST = 1e9
FOREVER = 1e9


def name_customer(number: int) -> str:
    """Return a customer name of the usual length."""
    return f"customer-{number:05}"


def make_voter(name: str, customers: int, burst: float = FULL_BURST) -> VoterQuotas:
    """Make one of two voters; the bucket of each customer is full since the customer is new."""
    quotas = create_voter_quotas(name, INCARNATION, BOUNDS, 2, FOREVER)
    update_voters(quotas, 1, ("v2",) if name == "v1" else ("v1",), 0.0)
    record_confirmation(quotas, 0.0)
    all_customers = tuple(
        Customer(name_customer(number), rate_per_s=1.0, burst=burst) for number in range(customers)
    )
    update_configuration(quotas, Configuration(1, customers=all_customers), 0.0)
    return quotas


def measure_quota_requests() -> dict:
    """Measure a quota request at a voter per demand, with decoding and encoding of the reply."""
    points = []
    for size in DEMAND_COUNTS:
        voter = make_voter("v1", size)
        demands = tuple(QuotaDemand(name_customer(number), 1, 2) for number in range(size))
        data = encode(QuotaRequest(INCARNATION << 20, demands))

        def work(voter=voter, data=data) -> int:
            for _ in range(ROUNDS):
                for effect in handle_quota_request(voter, "n1", decode(data), 0.0):
                    encode(effect.message)
            return ROUNDS

        points.append(Point(size, time_median(work)))
    return dataclasses.asdict(fit("us", "want", points))


def measure_loan() -> float:
    """Measure a quota request that needs a loan, at both voters together, codec included.

    Units: microseconds.
    """
    lender = make_voter("v2", 1)
    name = name_customer(0)
    request_data = encode(QuotaRequest(INCARNATION << 20, (QuotaDemand(name, 1),)))

    def work() -> int:
        borrower = make_voter("v1", 1, burst=0.0)
        borrower.accounts[name].bucket.level = 0.0
        for _ in range(ROUNDS):
            (loan_request,) = handle_quota_request(borrower, "n1", decode(request_data), 0.0)
            (loan,) = handle_quota_loan_request(
                lender, "v1", decode(encode(loan_request.message)), 0.0
            )
            for effect in handle_quota_loan(borrower, "v2", decode(encode(loan.message)), 0.0):
                encode(effect.message)
            borrower.accounts[name].borrowed.clear()
        return ROUNDS

    return time_median(work)


def measure_request_without_token() -> float:
    """Measure a caller's request at a node that has to request a token for it, codec included.

    Units: microseconds.
    """
    node = create_node_quotas(BOUNDS, INCARNATION)
    name = name_customer(0)
    now = 0.0

    def work() -> int:
        nonlocal now
        for _ in range(ROUNDS):
            # At one request per second the node prefetches no tokens.
            now += 1.0
            request_token(node, name, now + 0.25, now)
            (effect,) = flush_quota_requests(node, ("v1",), now)
            encode(effect.message)
            reply = QuotaReply(effect.message.number, INCARNATION, (QuotaGrant(name, 1, 1),))
            handle_quota_reply(node, "v1", decode(encode(reply)), now)
            node.settled.clear()
        return ROUNDS

    return time_median(work)


def measure_request_with_token() -> float:
    """Measure a caller's request at a node that holds a token for it. Units: microseconds."""
    node = create_node_quotas(BOUNDS, INCARNATION)
    name = name_customer(0)

    def work() -> int:
        fill_account(node, name, 0.0, ROUNDS)
        for _ in range(ROUNDS):
            assert request_token(node, name, 0.25, 0.0).is_ok()
        node.accounts.clear()
        node.to_request.clear()
        return ROUNDS

    return time_median(work)


def fill_account(node: NodeQuotas, name: str, now: float, tokens: int) -> None:
    """Give a node this many tokens of a customer."""
    request_token(node, name, now + 0.25, now)
    node.next_request_at = now
    (effect,) = flush_quota_requests(node, ("v1",), now)
    reply = QuotaReply(effect.message.number, INCARNATION, (QuotaGrant(name, 1, tokens + 1),))
    handle_quota_reply(node, "v1", reply, now)
    node.settled.clear()


def measure_return() -> float:
    """Measure the return of a token by a node, with its message. Units: microseconds."""
    node = create_node_quotas(BOUNDS, INCARNATION)
    name = name_customer(0)
    now = 0.0

    def work() -> int:
        nonlocal now
        for _ in range(ROUNDS):
            now += 1.0
            fill_account(node, name, now, 1)
            return_token(node, request_token(node, name, now + 0.25, now).ok)
            for effect in tick_node(node, now):
                encode(effect.message)
        return ROUNDS

    return time_median(work)


def measure_memory() -> dict:
    """Measure the memory of customer accounts at a voter and at a node."""
    accounts, node_accounts = [], []
    for size in CUSTOMERS:
        voter = make_voter("v1", size)
        voter.accounts.clear()
        accounts.append(
            Point(size, _count_allocated(lambda v=voter, s=size: _request_for_each(v, s)))
        )
        node = create_node_quotas(BOUNDS, INCARNATION)
        node_accounts.append(Point(size, _count_allocated(lambda n=node, s=size: _fill_each(n, s))))
    return {
        "account": dataclasses.asdict(fit("bytes", "customer", accounts)),
        "stock": dataclasses.asdict(fit("bytes", "customer", node_accounts)),
    }


def _count_allocated(fill) -> float:
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    fill()
    gc.collect()
    allocated = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return allocated


def _request_for_each(voter: VoterQuotas, number: int) -> None:
    for index in range(number):
        handle_quota_request(
            voter, "n1", QuotaRequest(index, (QuotaDemand(name_customer(index), 1),)), 60.0
        )


def _fill_each(node: NodeQuotas, number: int) -> None:
    for index in range(number):
        fill_account(node, name_customer(index), 0.0, 1)


def measure_bytes() -> dict[str, int]:
    """Measure the size of each message, alone in a frame and with one customer.

    The keys are the names that readers of the output expect; the classes have other names."""
    name = name_customer(0)
    messages: dict[str, Record] = {
        "QuotaAsk": QuotaRequest(INCARNATION << 20, (QuotaDemand(name, 1, 2),)),
        "QuotaReply": QuotaReply(INCARNATION << 20, INCARNATION, (QuotaGrant(name, 123_456, 3),)),
        "QuotaBack": QuotaReturn(INCARNATION, (QuotaUnused(123_456, 1),)),
        "QuotaPull": QuotaLoanRequest(INCARNATION << 20, name, 1.25),
        "QuotaLoan": QuotaLoan(INCARNATION << 20, INCARNATION, name, 123_456, 1.25, 7.5),
    }
    return {key: len(encode(message)) for key, message in messages.items()}


def main() -> None:
    """Run all measurements and print them as JSON."""
    result = {
        "ask_at_voter_us": measure_quota_requests(),
        "ask_with_loan_us": measure_loan(),
        "request_that_asks_us": measure_request_without_token(),
        "request_from_stock_us": measure_request_with_token(),
        "return_us": measure_return(),
        "memory": measure_memory(),
        "bytes": measure_bytes(),
    }
    json.dump(result, sys.stdout, indent=1)
    print()


if __name__ == "__main__":
    main()
