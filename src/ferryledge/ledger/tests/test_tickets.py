"""A ticket lets one submission run."""

import pytest

from ferryledge import ledger

WORD = ledger.TicketStatus


@pytest.fixture
def tickets():
    return ledger.TicketLedger("agent", "inc", life_s=10.0)


def authorise(tickets, ticket, submission, digest="d", owner="o"):
    return tickets.authorise(ticket, submission, digest, owner).status


def test_the_first_submission_is_granted_and_others_wait(tickets):
    (ticket,) = tickets.mint(1, 0.0)
    assert authorise(tickets, ticket, "f.1") is WORD.GRANTED
    assert authorise(tickets, ticket, "f.2") is WORD.IN_PROGRESS
    assert authorise(tickets, ticket, "f.1") is WORD.GRANTED


def test_the_outcome_is_kept_for_later_submissions(tickets):
    (ticket,) = tickets.mint(1, 0.0)
    authorise(tickets, ticket, "f.1")
    assert not tickets.settle(ticket, "f.2", "stranger")
    assert tickets.settle(ticket, "f.1", "answer")
    assert not tickets.settle(ticket, "f.1", "other answer")
    verdict = tickets.authorise(ticket, "f.2", "d", "o")
    assert verdict.status is WORD.SETTLED
    assert verdict.outcome == "answer"


def test_a_ticket_serves_one_request(tickets):
    (ticket,) = tickets.mint(1, 0.0)
    authorise(tickets, ticket, "f.1")
    assert authorise(tickets, ticket, "f.2", "else") is WORD.MISMATCH


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
def test_what_was_not_minted_here_is_lost(tickets, ticket):
    tickets.mint(1, 0.0)
    assert authorise(tickets, ticket, "f.1") is WORD.LOST


def test_an_expired_ticket_is_lost_used_or_not(tickets):
    used, unused = tickets.mint(2, 0.0)
    authorise(tickets, used, "f.1")
    tickets.expire(10.0)
    assert authorise(tickets, used, "f.1") is WORD.LOST
    assert authorise(tickets, unused, "f.2") is WORD.LOST
    (fresh,) = tickets.mint(1, 10.0)
    assert authorise(tickets, fresh, "f.3") is WORD.GRANTED


def test_a_lost_owner_settles_what_it_left(tickets):
    mine, theirs = tickets.mint(2, 0.0)
    authorise(tickets, mine, "f.1", owner="lost")
    authorise(tickets, theirs, "f.2", owner="here")
    tickets.settle_owner("lost", "may have run")
    assert authorise(tickets, mine, "f.3") is WORD.SETTLED
    assert authorise(tickets, theirs, "f.3") is WORD.IN_PROGRESS


def test_an_authorisation_given_back_can_be_used_again(tickets):
    (ticket,) = tickets.mint(1, 0.0)
    authorise(tickets, ticket, "f.1")
    tickets.revoke(ticket, "f.1")
    assert authorise(tickets, ticket, "f.2") is WORD.GRANTED
