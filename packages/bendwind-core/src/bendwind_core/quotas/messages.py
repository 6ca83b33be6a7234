"""Define the messages about quotas between a node and a voter, and between voters.

None of them is repeated. One that is lost loses its tokens; one that comes twice or late is
recognised by its numbers and makes none.
"""

from bendwind_core.core import Milliseconds, Record


class QuotaDemand(Record, frozen=True, array_like=True):
    """Say how many tokens of a customer are waited for, and how many more are soon needed.

    `reserve` is how many more the node would like to reserve for when no voter answers, and `kept`
    are the numbers of the reserved ones that it has of this voter and did not use.
    """

    customer: str
    waiting: int
    ahead: int = 0
    reserve: int = 0
    kept: tuple[int, ...] = ()


class QuotaRequest(Record, frozen=True, array_like=True, tag="quota?"):
    """Ask a voter for tokens; `number` is new with each ask of one run of a node."""

    number: int
    demands: tuple[QuotaDemand, ...]


class QuotaGrant(Record, frozen=True, array_like=True):
    """Grant tokens of one customer; `number` is new with each grant of one run of a voter.

    `reserve` are the numbers of the tokens that the node may hold for when no voter answers.
    Units: `wait_ms` is when there is room again; None where nobody is refused, be it that all who
    wait got a token or that they may ask again.
    """

    customer: str
    number: int
    tokens: int
    wait_ms: Milliseconds | None = None
    reserve: tuple[int, ...] = ()


class QuotaReply(Record, frozen=True, array_like=True, tag="quota"):
    """Answer some or all wants of an ask; `run` is the voter's."""

    number: int
    run: int
    grants: tuple[QuotaGrant, ...]


class QuotaUnused(Record, frozen=True, array_like=True):
    """Say how many tokens of a grant, of all its life, were not used and never will be."""

    number: int
    tokens: float


class QuotaReturn(Record, frozen=True, array_like=True, tag="quota-back"):
    """Give tokens back to the run of a voter that granted or lent them."""

    run: int
    unused: tuple[QuotaUnused, ...]


class QuotaLoanRequest(Record, frozen=True, array_like=True, tag="quota-pull"):
    """Ask another voter to lend tokens of a customer; `number` is new in the voter's run."""

    number: int
    customer: str
    tokens: float


class QuotaLoan(Record, frozen=True, array_like=True, tag="quota-loan"):
    """Lend tokens: `pull` is the number of the question, `number` that of the loan.

    Units: `tokens`, and `left`, which the lender could still lend, in tokens or parts of one.
    """

    pull: int
    run: int
    customer: str
    number: int
    tokens: float
    left: float
