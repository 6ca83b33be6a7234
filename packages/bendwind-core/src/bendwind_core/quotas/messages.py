"""Define the messages about quotas between a node and a voter, and between voters.

No message is sent again. The tokens of a lost message are lost; a duplicate or late message is
recognised by its numbers and creates no tokens.
"""

from bendwind_core.core import Count, Record, SignedAmount, Unsigned64


class QuotaDemand(Record, frozen=True, array_like=True):
    """State how many tokens of a customer requests wait for, and how many to prefetch.

    `prefetch` is the number of further tokens that the node will soon need. `reserve` is how many
    more tokens the node would like to reserve for use while no voter answers, and `held_numbers`
    are the numbers of the unused reserved tokens that it holds from this voter.
    """

    customer: str
    waiting: Count
    prefetch: Count = 0
    reserve: Count = 0
    held_numbers: tuple[Unsigned64, ...] = ()


class QuotaRequest(Record, frozen=True, array_like=True, tag="quota?"):
    """Request tokens from a voter; `number` is unique for each request of one run of a node."""

    number: Unsigned64
    demands: tuple[QuotaDemand, ...]


class QuotaGrant(Record, frozen=True, array_like=True):
    """Grant tokens of one customer; `number` is unique for each grant of one run of a voter.

    `reserve` are the numbers of the tokens that the node may hold for use while no voter answers.
    Units: `wait_ms` is the time until tokens are available again. It is None if nobody is refused:
    either each waiting request gets a token, or the node may send a new request for the rest.
    """

    customer: str
    number: Unsigned64
    tokens: Count
    wait_ms: SignedAmount | None = None
    reserve: tuple[Unsigned64, ...] = ()


class QuotaReply(Record, frozen=True, array_like=True, tag="quota"):
    """Answer some or all demands of a quota request; `run` is the voter's run."""

    number: Unsigned64
    run: Unsigned64
    grants: tuple[QuotaGrant, ...]


class QuotaUnused(Record, frozen=True, array_like=True):
    """State the total number of tokens of a grant or loan that will never be used.

    `tokens` is the sum since the grant or loan was made; `number` is that of the grant or loan.
    """

    number: Unsigned64
    tokens: SignedAmount


class QuotaReturn(Record, frozen=True, array_like=True, tag="quota-back"):
    """Return tokens to the run of a voter that granted or lent them."""

    run: Unsigned64
    unused: tuple[QuotaUnused, ...]


class QuotaLoanRequest(Record, frozen=True, array_like=True, tag="quota-pull"):
    """Request a loan of a customer's tokens; `number` is unique within the voter's run."""

    number: Unsigned64
    customer: str
    tokens: SignedAmount


class QuotaLoan(Record, frozen=True, array_like=True, tag="quota-loan"):
    """Lend tokens: `request_number` is that of the loan request, `number` that of the loan.

    `lendable` is how many more tokens the lender could lend.
    Units: `tokens` and `lendable` in tokens or fractions of a token.
    """

    request_number: Unsigned64
    run: Unsigned64
    customer: str
    number: Unsigned64
    tokens: SignedAmount
    lendable: SignedAmount
