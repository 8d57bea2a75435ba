"""Encodes sorted numbers as a bit string: the gaps between them in a Rice code (Rice, Plaunt 1971), each
followed by a value of fixed width.
"""

from __future__ import annotations

from sailrun.errors import SailrunError


class TruncatedBitsError(SailrunError, ValueError):
    """The bit string ended before the requested bits."""


class BitWriter:
    """Writes bits, most significant first."""

    def __init__(self) -> None:
        self._bits = 0
        self._length = 0

    def append(self, value: int, width: int) -> None:
        """Appends a value of `width` bits; higher bits must be zero."""
        self._bits = self._bits << width | value
        self._length += width

    def append_rice(self, number: int, parameter: int) -> None:
        """Appends a Rice code: the quotient by 2 ** parameter as that many ones and a zero, then the
        remainder.
        """
        quotient = number >> parameter
        self.append(((1 << quotient) - 1) << 1, quotient + 1)
        self.append(number & ((1 << parameter) - 1), parameter)

    def to_bytes(self) -> bytes:
        """Returns all bits, padded with zeros to whole bytes."""
        padding = -self._length % 8
        return (self._bits << padding).to_bytes((self._length + padding) // 8, "big")


class BitReader:
    """Reads bits, most significant first; raises TruncatedBitsError at the end."""

    def __init__(self, content: bytes) -> None:
        self._bits = int.from_bytes(content, "big")
        self._remaining_bits = 8 * len(content)

    def read(self, width: int) -> int:
        """Returns the next `width` bits as a number."""
        self._remaining_bits -= width
        if self._remaining_bits < 0:
            raise TruncatedBitsError("bit string is truncated: fewer bits left than requested")
        return self._bits >> self._remaining_bits & ((1 << width) - 1)

    def read_rice(self, parameter: int) -> int:
        """Returns the next number that `BitWriter.append_rice` wrote."""
        quotient = 0
        while self.read(1):
            quotient += 1
        return quotient << parameter | self.read(parameter)

    def is_at_end(self) -> bool:
        """Whether only zero padding of the last byte is left."""
        return self._remaining_bits < 8 and not self._bits & ((1 << self._remaining_bits) - 1)


def choose_parameter(count: int, number_range: int) -> int:
    """Returns the Rice parameter for `count` numbers below `number_range`: about log2 of the mean gap."""
    return (number_range // count).bit_length() - 1 if count else 0


def max_bits(count: int, number_range: int, value_width: int) -> int:
    """Returns the maximum number of bits for `count` numbers with their values."""
    parameter = choose_parameter(count, number_range)
    return count * (1 + parameter + value_width) + (number_range >> parameter)
