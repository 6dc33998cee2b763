"""Frames between entry instances: a version, the sender, its messages.

A frame is the magic bytes, one byte of version, then a msgpack array.  Each
message is a tagged struct; a kind that nobody subscribed to is dropped alone.
"""

import dataclasses
import enum
from typing import Any, Final

import msgspec

from guavaroad.domain import identity, names

MAX_FRAME_BYTES: Final = 1_048_576
WIRE_VERSION: Final = 1
_MAGIC: Final = b'GVR'
_HEAD: Final = _MAGIC + bytes((WIRE_VERSION,))


class Rejection(enum.Enum):
    """Why a frame or one of its messages was dropped."""

    GARBAGE = 'garbage'
    OTHER_VERSION = 'other_version'
    TOO_LARGE = 'too_large'
    UNKNOWN_KIND = 'unknown_kind'


class Sender(msgspec.Struct, frozen=True, array_like=True):
    """Process that sent a frame.

    Attributes:
        availability_zone: Its zone.
        address: Its client address.
        epoch: Its epoch.
        peer_address: Where it takes frames.
    """

    availability_zone: names.AvailabilityZone
    address: names.ClientAddress
    epoch: names.Epoch
    peer_address: names.PeerAddress

    def incarnation(self) -> identity.Incarnation:
        """Return the process as the other parts name it."""
        return identity.Incarnation(
            availability_zone=self.availability_zone,
            address=self.address,
            epoch=self.epoch,
        )


class FrameBody(msgspec.Struct, frozen=True, array_like=True):
    """What follows the head of a frame.

    Attributes:
        sender: Process that sent it.
        messages: Encoded tagged structs.
    """

    sender: Sender
    messages: tuple[msgspec.Raw, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Opened:
    """A frame that could be read.

    Attributes:
        sender: Process that sent it.
        messages: Decoded messages of the kinds that somebody takes.
        unknown: Messages dropped for an unknown kind or bad fields.
    """

    sender: Sender
    messages: tuple[Any, ...]
    unknown: int


_encoder = msgspec.msgpack.Encoder()
_body_decoder = msgspec.msgpack.Decoder(FrameBody)


def encode_message(message: msgspec.Struct) -> bytes:
    """Encode one message for a frame."""
    return _encoder.encode(message)


def encode_frame(sender: Sender, messages: list[bytes]) -> bytes:
    """Encode a frame.

    Args:
        sender: This process.
        messages: Encoded messages.

    Returns:
        The frame.
    """
    raw = tuple(map(msgspec.Raw, messages))
    return _HEAD + _encoder.encode(FrameBody(sender, raw))


class FrameReader:
    """Reads frames with messages of the subscribed kinds."""

    def __init__(self, *, kinds: tuple[type[msgspec.Struct], ...]) -> None:
        self.decoder: Any = None
        if kinds:
            union: Any = kinds[0]
            for kind in kinds[1:]:
                union |= kind
            self.decoder = msgspec.msgpack.Decoder(union)

    def open(self, frame: bytes) -> Opened | Rejection:
        """Read one frame.

        Args:
            frame: Any bytes that came in.

        Returns:
            What it holds, or why it is dropped whole.
        """
        if len(frame) > MAX_FRAME_BYTES:
            return Rejection.TOO_LARGE
        if not frame.startswith(_MAGIC):
            return Rejection.GARBAGE
        if not frame.startswith(_HEAD):
            return Rejection.OTHER_VERSION
        try:
            body = _body_decoder.decode(frame[len(_HEAD) :])
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return Rejection.GARBAGE
        return self.open_body(body)

    def open_body(self, body: FrameBody) -> Opened:
        """Decode the messages that somebody takes."""
        messages = [self.open_message(raw) for raw in body.messages]
        taken = tuple(one for one in messages if one is not None)
        return Opened(
            sender=body.sender,
            messages=taken,
            unknown=len(messages) - len(taken),
        )

    def open_message(self, raw: msgspec.Raw) -> Any:
        """Decode one message; none if nobody takes it."""
        if self.decoder is None:
            return None
        try:
            return self.decoder.decode(raw)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return None
