"""Frame format between entry instances.

A frame consists of the magic bytes, a version byte and a msgpack array with
the sender and its messages.  Each message is a tagged struct.  A message of a
type without a subscriber is dropped; the others in its frame are delivered.
"""

import dataclasses
import enum
from typing import Any, Final

import msgspec

from guavaroad.domain import identity, names

MAX_FRAME_BYTES: Final = 1_048_576
WIRE_VERSION: Final = 1
_MAGIC: Final = b'GVR'
_HEADER: Final = _MAGIC + bytes((WIRE_VERSION,))


class Rejection(enum.Enum):
    """Why a frame or one of its messages was dropped."""

    GARBAGE = 'garbage'
    OTHER_VERSION = 'other_version'
    TOO_LARGE = 'too_large'
    UNKNOWN_KIND = 'unknown_kind'


class Sender(msgspec.Struct, frozen=True, array_like=True):
    """Process that sent a frame, an array on the wire.

    Attributes:
        availability_zone: Its zone.
        address: Its client address.
        epoch: Its epoch.
        peer_address: Address of its peer bus.
    """

    availability_zone: names.AvailabilityZone
    address: names.ClientAddress
    epoch: names.Epoch
    peer_address: names.PeerAddress

    def incarnation(self) -> identity.Incarnation:
        """Return the sender as an incarnation."""
        return identity.Incarnation(
            availability_zone=self.availability_zone,
            address=self.address,
            epoch=self.epoch,
        )


class FrameBody(msgspec.Struct, frozen=True, array_like=True):
    """Body of a frame, after its header.

    Attributes:
        sender: Process that sent it.
        messages: Encoded tagged structs.
    """

    sender: Sender
    messages: tuple[msgspec.Raw, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DecodedFrame:
    """A decoded frame.

    Attributes:
        sender: Process that sent it.
        messages: Decoded messages of the subscribed types.
        unknown_kind: Number of messages dropped for an unknown type or
            invalid fields.
    """

    sender: Sender
    messages: tuple[Any, ...]
    unknown_kind: int


_encoder = msgspec.msgpack.Encoder()
_body_decoder = msgspec.msgpack.Decoder(FrameBody)


def encode_message(message: msgspec.Struct) -> bytes:
    """Encode a message for a frame."""
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
    return _HEADER + _encoder.encode(FrameBody(sender, raw))


class FrameDecoder:
    """Decodes frames with messages of the subscribed types."""

    def __init__(self, *, kinds: tuple[type[msgspec.Struct], ...]) -> None:
        self.decoder: Any = None
        if kinds:
            union: Any = kinds[0]
            for kind in kinds[1:]:
                union |= kind
            self.decoder = msgspec.msgpack.Decoder(union)

    def decode(self, frame: bytes) -> DecodedFrame | Rejection:
        """Decode a frame.

        Args:
            frame: Received bytes, not trusted.

        Returns:
            The decoded frame, or why the whole frame is rejected.
        """
        if len(frame) > MAX_FRAME_BYTES:
            return Rejection.TOO_LARGE
        if not frame.startswith(_MAGIC):
            return Rejection.GARBAGE
        if not frame.startswith(_HEADER):
            return Rejection.OTHER_VERSION
        try:
            body = _body_decoder.decode(frame[len(_HEADER) :])
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return Rejection.GARBAGE
        return self.decode_body(body)

    def decode_body(self, body: FrameBody) -> DecodedFrame:
        """Decode the messages of subscribed types."""
        messages = [self.decode_message(raw) for raw in body.messages]
        decoded = tuple(message for message in messages if message is not None)
        return DecodedFrame(
            sender=body.sender,
            messages=decoded,
            unknown_kind=len(messages) - len(decoded),
        )

    def decode_message(self, raw: msgspec.Raw) -> Any:
        """Decode a message; None if its type is not subscribed."""
        if self.decoder is None:
            return None
        try:
            return self.decoder.decode(raw)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return None
