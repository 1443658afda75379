"""A ticket authorises one submission to run."""

import pytest

from ferryledge import ledger

STATUS = ledger.TicketStatus


@pytest.fixture
def tickets():
    return ledger.TicketLedger("agent", "inc", life_s=10.0)


def authorise(tickets, ticket, submission, digest="d", owner="o"):
    return tickets.authorise(ticket, submission, digest, owner).status


def test_first_submission_is_granted_and_others_wait(tickets):
    (ticket,) = tickets.mint(1, 0.0)
    assert authorise(tickets, ticket, "f.1") is STATUS.GRANTED
    assert authorise(tickets, ticket, "f.2") is STATUS.IN_PROGRESS
    assert authorise(tickets, ticket, "f.1") is STATUS.GRANTED


def test_outcome_is_kept_for_later_submissions(tickets):
    (ticket,) = tickets.mint(1, 0.0)
    authorise(tickets, ticket, "f.1")
    assert not tickets.settle(ticket, "f.2", "stranger")
    assert tickets.settle(ticket, "f.1", "answer")
    assert not tickets.settle(ticket, "f.1", "other answer")
    verdict = tickets.authorise(ticket, "f.2", "d", "o")
    assert verdict.status is STATUS.SETTLED
    assert verdict.outcome == "answer"


def test_ticket_serves_one_request(tickets):
    (ticket,) = tickets.mint(1, 0.0)
    authorise(tickets, ticket, "f.1")
    assert authorise(tickets, ticket, "f.2", "else") is STATUS.MISMATCH


@pytest.mark.parametrize(
    "ticket",
    [
        "",
        "agent~old~0",
        "other~inc~0",
        "agent~inc~1",
        "agent~inc~-1",
        "agent~inc~x",
        "agent~inc~" + "9" * 5000,
        "agent~inc~\u0660",
    ],
)
def test_ticket_not_minted_here_is_lost(tickets, ticket):
    tickets.mint(1, 0.0)
    assert authorise(tickets, ticket, "f.1") is STATUS.LOST


def test_expired_ticket_is_lost_used_or_not(tickets):
    used, unused = tickets.mint(2, 0.0)
    authorise(tickets, used, "f.1")
    tickets.expire(10.0)
    assert authorise(tickets, used, "f.1") is STATUS.LOST
    assert authorise(tickets, unused, "f.2") is STATUS.LOST
    (fresh,) = tickets.mint(1, 10.0)
    assert authorise(tickets, fresh, "f.3") is STATUS.GRANTED


def test_tickets_of_a_lost_owner_are_settled(tickets):
    abandoned, active = tickets.mint(2, 0.0)
    authorise(tickets, abandoned, "f.1", owner="lost")
    authorise(tickets, active, "f.2", owner="here")
    tickets.settle_owner("lost", "may have run")
    assert authorise(tickets, abandoned, "f.3") is STATUS.SETTLED
    assert authorise(tickets, active, "f.3") is STATUS.IN_PROGRESS


def test_revoked_authorisation_can_be_used_again(tickets):
    (ticket,) = tickets.mint(1, 0.0)
    authorise(tickets, ticket, "f.1")
    tickets.revoke(ticket, "f.1")
    assert authorise(tickets, ticket, "f.2") is STATUS.GRANTED
