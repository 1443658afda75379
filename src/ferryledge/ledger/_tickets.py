"""Tickets: let a request run at most once over several submissions.

Only the process that minted a ticket decides on its validity, by its own
monotonic clock and its records in memory, so neither synchronized clocks
nor replication are needed. A restart loses the records but also changes
the incarnation, so tickets of an earlier incarnation are never granted.
"""

import collections
import dataclasses
import enum
import typing

_SEPARATOR = "~"
_FIELDS = 3

OutcomeT = typing.TypeVar("OutcomeT")


class TicketStatus(enum.Enum):
    """The status of a ticket for a submission."""

    #: The submission may run.
    GRANTED = "granted"
    #: Another submission is running under the ticket.
    IN_PROGRESS = "in_progress"
    #: An earlier submission has ended and its outcome is kept.
    SETTLED = "settled"
    #: Expired, never minted, or minted by another incarnation.
    LOST = "lost"
    #: The ticket was used for a different request.
    MISMATCH = "mismatch"


@dataclasses.dataclass(frozen=True, slots=True)
class TicketVerdict(typing.Generic[OutcomeT]):
    """The answer to a request for authorisation."""

    status: TicketStatus
    #: Outcome of the submission that ran, if the ticket is settled.
    outcome: OutcomeT | None = None


@dataclasses.dataclass(slots=True)
class _Use(typing.Generic[OutcomeT]):
    """The submission that a ticket authorised, and its outcome."""

    submission: str
    digest: str
    owner: str
    outcome: OutcomeT | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Block:
    """Serial numbers of the tickets that one call minted."""

    first: int
    last: int
    minted_at: float


def issuer_of(ticket: str) -> str:
    """Return the name of the minting process, or ``""`` if malformed."""
    fields = ticket.split(_SEPARATOR)
    return fields[0] if len(fields) == _FIELDS else ""


class TicketLedger(typing.Generic[OutcomeT]):
    """Mints tickets and authorises one submission for each.

    :param name: the minting process's name
    :param incarnation: the minting process's incarnation
    :param life_s: seconds for which a ticket and its outcome are kept
    """

    def __init__(
        self, name: str, incarnation: str, life_s: float = 900.0
    ) -> None:
        self._prefix = f"{name}{_SEPARATOR}{incarnation}{_SEPARATOR}"
        self._life_s = life_s
        self._next_serial = 0
        self._oldest_serial = 0
        self._blocks: collections.deque[_Block] = collections.deque()
        self._uses: dict[int, _Use[OutcomeT]] = {}

    @property
    def in_progress(self) -> int:
        """Number of tickets whose submission has not ended."""
        return sum(use.outcome is None for use in self._uses.values())

    def mint(self, count: int, now: float) -> tuple[str, ...]:
        """Return new tickets.

        :param count: number of tickets
        :param now: monotonic seconds
        """
        first = self._next_serial
        self._next_serial += count
        self._blocks.append(_Block(first, self._next_serial - 1, now))
        return tuple(
            f"{self._prefix}{serial}"
            for serial in range(first, self._next_serial)
        )

    def authorise(
        self, ticket: str, submission: str, digest: str, owner: str
    ) -> TicketVerdict[OutcomeT]:
        """Decide whether a submission may run under a ticket.

        :param ticket: the ticket as minted
        :param submission: the submission to authorise
        :param digest: digest of the request's content
        :param owner: incarnation of the requesting scheduler
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
        """Record the outcome of the authorised submission.

        Later outcomes don't replace the first.

        :return: whether this outcome was recorded
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
        """Revoke an authorisation under which nothing has run."""
        serial = self._serial(ticket)
        if serial is None:
            return
        use = self._uses.get(serial)
        if use and use.submission == submission and use.outcome is None:
            del self._uses[serial]

    def open_uses(self, owner: str) -> list[tuple[str, str]]:
        """Return the tickets that a scheduler has in progress.

        :param owner: incarnation of the scheduler
        :return: each ticket with the submission that it authorised
        """
        return [
            (f"{self._prefix}{serial}", use.submission)
            for serial, use in self._uses.items()
            if use.owner == owner and use.outcome is None
        ]

    def settle_owner(self, owner: str, outcome: OutcomeT) -> None:
        """Settle the tickets that a lost scheduler left in progress."""
        for use in self._uses.values():
            if use.owner == owner and use.outcome is None:
                use.outcome = outcome

    def expire(self, now: float) -> None:
        """Drop tickets past their lifetime, used or not."""
        while self._blocks:
            block = self._blocks[0]
            if now - block.minted_at < self._life_s:
                return
            self._blocks.popleft()
            self._oldest_serial = block.last + 1
            for serial in range(block.first, block.last + 1):
                self._uses.pop(serial, None)

    def _serial(self, ticket: str) -> int | None:
        if not ticket.startswith(self._prefix):
            return None
        digits = ticket[len(self._prefix) :]
        if not (digits.isascii() and digits.isdigit()):
            return None
        if len(digits) > len(str(self._next_serial)):
            return None
        serial = int(digits)
        return (
            serial
            if self._oldest_serial <= serial < self._next_serial
            else None
        )
