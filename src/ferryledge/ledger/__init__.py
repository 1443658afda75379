"""An agent's records of started tasks and of used tickets."""

from ferryledge.ledger import _seen
from ferryledge.ledger import _starts
from ferryledge.ledger import _tickets

Admission = _starts.Admission
Finish = _starts.Finish
SUBMISSION_SEPARATOR = _starts.SUBMISSION_SEPARATOR
SeenNumbers = _seen.SeenNumbers
StartLedger = _starts.StartLedger
TaskKey = _starts.TaskKey
TaskRecord = _starts.TaskRecord
TicketLedger = _tickets.TicketLedger
TicketVerdict = _tickets.TicketVerdict
TicketStatus = _tickets.TicketStatus
submission_front = _starts.submission_front
submission_number = _starts.submission_number
issuer_of = _tickets.issuer_of

__all__ = [
    "SUBMISSION_SEPARATOR",
    "Admission",
    "Finish",
    "SeenNumbers",
    "StartLedger",
    "TaskKey",
    "TaskRecord",
    "TicketLedger",
    "TicketStatus",
    "TicketVerdict",
    "issuer_of",
    "submission_front",
    "submission_number",
]
