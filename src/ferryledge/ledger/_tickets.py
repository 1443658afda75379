"""Tickets: at most one run of a request, over many submissions.

The minting process alone decides whether a ticket is still good, by its own
monotonic clock and its own memory, so no clocks are compared and nothing
is replicated. A restart loses the memory together with the incarnation
that tickets name, so a ticket of an earlier incarnation is never granted.
"""

import collections
import dataclasses
import enum
import typing

_SEPARATOR = "~"
_FIELDS = 3

OutcomeT = typing.TypeVar("OutcomeT")


class TicketStatus(enum.Enum):
    """The ledger's word on a ticket."""

    #: First use: the submission may run.
    GRANTED = "granted"
    #: Another submission runs under it.
    IN_PROGRESS = "in_progress"
    #: An earlier submission ended; its outcome is kept.
    SETTLED = "settled"
    #: Minted by another incarnation, expired or never minted.
    LOST = "lost"
    #: Used before for a different request.
    MISMATCH = "mismatch"


@dataclasses.dataclass(frozen=True, slots=True)
class TicketVerdict(typing.Generic[OutcomeT]):
    """The ledger's answer to a request for authorisation."""

    status: TicketStatus
    #: The first submission's outcome, if settled.
    outcome: OutcomeT | None = None


@dataclasses.dataclass(slots=True)
class _Use(typing.Generic[OutcomeT]):
    submission: str
    digest: str
    owner: str
    outcome: OutcomeT | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Block:
    first: int
    last: int
    minted_at: float


def minter_of(ticket: str) -> str:
    """Return the name of the process that minted a ticket, or ``""``."""
    fields = ticket.split(_SEPARATOR)
    return fields[0] if len(fields) == _FIELDS else ""


class TicketLedger(typing.Generic[OutcomeT]):
    """Mints tickets and authorises each one once.

    :param name: the minting process's name
    :param incarnation: the minting process's incarnation
    :param life_s: seconds for which a ticket and its outcome are kept
    """

    def __init__(
        self, name: str, incarnation: str, life_s: float = 900.0
    ) -> None:
        self._prefix = f"{name}{_SEPARATOR}{incarnation}{_SEPARATOR}"
        self._life_s = life_s
        self._next = 0
        self._oldest = 0
        self._blocks: collections.deque[_Block] = collections.deque()
        self._uses: dict[int, _Use[OutcomeT]] = {}

    @property
    def in_progress(self) -> int:
        """Tickets whose submissions have not ended."""
        return sum(use.outcome is None for use in self._uses.values())

    def mint(self, count: int, now: float) -> tuple[str, ...]:
        """Return that many fresh tickets.

        :param count: how many
        :param now: monotonic seconds
        """
        first = self._next
        self._next += count
        self._blocks.append(_Block(first, self._next - 1, now))
        return tuple(
            f"{self._prefix}{serial}" for serial in range(first, self._next)
        )

    def authorise(
        self, ticket: str, submission: str, digest: str, owner: str
    ) -> TicketVerdict[OutcomeT]:
        """Decide whether a submission may run under a ticket.

        :param ticket: as minted
        :param submission: the submission that asks
        :param digest: names the request's content
        :param owner: incarnation of the scheduler that asks
        """
        serial = self._serial(ticket)
        if serial is None:
            return TicketVerdict(TicketStatus.LOST)
        use = self._uses.get(serial)
        if use is None:
            self._uses[serial] = _Use(submission, digest, owner)
            return TicketVerdict(TicketStatus.GRANTED)
        if use.digest != digest:
            return TicketVerdict(TicketStatus.MISMATCH)
        if use.outcome is not None:
            return TicketVerdict(TicketStatus.SETTLED, use.outcome)
        if use.submission == submission and use.owner == owner:
            return TicketVerdict(TicketStatus.GRANTED)
        return TicketVerdict(TicketStatus.IN_PROGRESS)

    def settle(self, ticket: str, submission: str, outcome: OutcomeT) -> bool:
        """Keep the outcome of the submission that was authorised.

        The first outcome stays.

        :return: whether this outcome was taken
        """
        serial = self._serial(ticket)
        use = None if serial is None else self._uses.get(serial)
        if use is None or use.submission != submission:
            return False
        if use.outcome is not None:
            return False
        use.outcome = outcome
        return True

    def revoke(self, ticket: str, submission: str) -> None:
        """Give back an authorisation under which nothing has run."""
        serial = self._serial(ticket)
        if serial is None:
            return
        use = self._uses.get(serial)
        if use and use.submission == submission and use.outcome is None:
            del self._uses[serial]

    def settle_owner(self, owner: str, outcome: OutcomeT) -> None:
        """Settle all that a lost scheduler left in progress."""
        for use in self._uses.values():
            if use.owner == owner and use.outcome is None:
                use.outcome = outcome

    def expire(self, now: float) -> None:
        """Drop tickets past their life, used or not."""
        while self._blocks:
            block = self._blocks[0]
            if now - block.minted_at < self._life_s:
                return
            self._blocks.popleft()
            self._oldest = block.last + 1
            for serial in range(block.first, block.last + 1):
                self._uses.pop(serial, None)

    def _serial(self, ticket: str) -> int | None:
        if not ticket.startswith(self._prefix):
            return None
        text = ticket[len(self._prefix) :]
        if not (text.isascii() and text.isdigit()):
            return None
        if len(text) > len(str(self._next)):
            return None
        serial = int(text)
        return serial if self._oldest <= serial < self._next else None
