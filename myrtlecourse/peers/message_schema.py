"""Typed schemas of messages in datagrams: how a message is encoded, and how received values are checked.

A schema states the types of a message's fields itself. They can't be read from the annotations of the
message's class, as these have another form once the class is compiled.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import Annotated, Any, Generic, TypeVar

import msgspec
from msgspec import Meta

from myrtlecourse.peers.seal import Dropped

MAX_NUMBER = 2**63 - 1
Number = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Message = TypeVar("Message")


def read_values(values: list[Any], types: Any) -> Any:
    """Return received values as the type `types`, such as `tuple[int, bool]`, after checking them.

    Raises:
        Dropped: the values do not have this type.
    """
    try:
        return msgspec.convert(values, types, builtin_types=(bytes,))
    except (msgspec.ValidationError, OverflowError):
        raise Dropped("malformed") from None


@dataclass(frozen=True, slots=True)
class MessageSchema(Generic[Message]):
    """The schema of one message: its class, and the types of its fields in their order."""

    message_type: type[Message]
    field_types: Any  # a type such as `tuple[int, bool]`

    def values(self, message: Message) -> list[Any]:
        """Return the values of the message's fields."""
        return [getattr(message, name) for name in self.field_names]

    @property
    def field_names(self) -> list[str]:
        """The names of the message's fields."""
        return [f.name for f in fields(self.message_type)]  # type: ignore[arg-type]

    def read(self, values: list[Any]) -> Message:
        """Return the message with these values. Raises Dropped: they are malformed."""
        return self.message_type(*read_values(values, self.field_types))
