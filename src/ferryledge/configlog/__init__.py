"""Configuration that is replicated through an append-only log.

A change takes effect in the order of the log. Every reader applies the same
records by the same rule, so all readers of the same prefix of the log hold
the same version.
"""

from ferryledge.configlog import _diff
from ferryledge.configlog import _earlier_names
from ferryledge.configlog import _entities
from ferryledge.configlog import _fold
from ferryledge.configlog import _follower
from ferryledge.configlog import _records

Accepted = _fold.Accepted
AuditEntry = _entities.AuditEntry
Change = _entities.Change
Checkpoint = _entities.Checkpoint
CheckpointPolicy = _follower.CheckpointPolicy
Cordon = _entities.Cordon
EARLIER_KINDS = _earlier_names.KINDS
EARLIER_SETTINGS = _earlier_names.SETTINGS
FORMAT = _entities.FORMAT
EMPTY_SNAPSHOT = _entities.EMPTY_SNAPSHOT
Entity = _entities.Entity
EntityKey = _entities.EntityKey
Follower = _follower.Follower
FollowerState = _follower.FollowerState
InvalidRecordError = _records.InvalidRecordError
LogPage = _follower.LogPage
LogRecord = _follower.LogRecord
NotApplied = _fold.NotApplied
Place = _entities.Place
Policy = _entities.Policy
Rejected = _fold.Rejected
Service = _entities.Service
Snapshot = _entities.Snapshot
Workspace = _entities.Workspace
Verdict = _fold.Verdict
change_between = _diff.change_between
check_references = _fold.check_references
decode_record = _records.decode_record
decode_snapshot = _records.decode_snapshot
encode_record = _records.encode_record
encode_snapshot = _records.encode_snapshot
fold = _fold.fold

__all__ = [
    "EARLIER_KINDS",
    "EARLIER_SETTINGS",
    "EMPTY_SNAPSHOT",
    "FORMAT",
    "Accepted",
    "AuditEntry",
    "Change",
    "Checkpoint",
    "CheckpointPolicy",
    "Cordon",
    "Entity",
    "EntityKey",
    "Follower",
    "FollowerState",
    "InvalidRecordError",
    "LogPage",
    "LogRecord",
    "NotApplied",
    "Place",
    "Policy",
    "Rejected",
    "Service",
    "Snapshot",
    "Verdict",
    "Workspace",
    "change_between",
    "check_references",
    "decode_record",
    "decode_snapshot",
    "encode_record",
    "encode_snapshot",
    "fold",
]
