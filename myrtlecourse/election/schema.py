"""The schemas of the election's messages, for the datagrams of the service address and of duties."""

from __future__ import annotations

from typing import Any

from myrtlecourse.election import messages
from myrtlecourse.peers.message_schema import MessageSchema, Number

ASK = MessageSchema(messages.Ask, tuple[Number, Number, bool])
GRANT = MessageSchema(messages.Grant, tuple[Number, Number, bool])
DENY = MessageSchema(messages.Deny, tuple[Number])
BEAT = MessageSchema(messages.Beat, tuple[Number, Number])
RENEW = MessageSchema(messages.Renew, tuple[Number, Number])
RELEASE = MessageSchema(messages.Release, tuple[Number])
TAKE = MessageSchema(messages.Take, tuple[Number, bool])
INVITE = MessageSchema(messages.Invite, tuple[Number])
SCHEMAS: tuple[MessageSchema[Any], ...] = (ASK, GRANT, DENY, BEAT, RENEW, RELEASE, TAKE, INVITE)
