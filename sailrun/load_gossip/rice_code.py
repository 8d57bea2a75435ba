"""Sorted numbers as a bit string: the gaps between them in a Rice code, each followed by a value of fixed
width (Rice, Plaunt 1971).
"""

from __future__ import annotations

from sailrun.errors import SailrunError


class TruncatedBitsError(SailrunError, ValueError):
    """More bits were read than there are."""


class BitWriter:
    """Appends bits, the most significant first."""

    def __init__(self) -> None:
        self._bits = 0
        self._length = 0

    def append(self, value: int, width: int) -> None:
        """Appends the lowest `width` bits of a value that has no others."""
        self._bits = self._bits << width | value
        self._length += width

    def append_rice(self, number: int, parameter: int) -> None:
        """Appends as many ones as the quotient by 2 ** parameter, a zero, and the remainder."""
        quotient = number >> parameter
        self.append(((1 << quotient) - 1) << 1, quotient + 1)
        self.append(number & ((1 << parameter) - 1), parameter)

    def to_bytes(self) -> bytes:
        """All bits, with zeros up to the end of the last byte."""
        padding = -self._length % 8
        return (self._bits << padding).to_bytes((self._length + padding) // 8, "big")


class BitReader:
    """Reads bits, the most significant first; raises TruncatedBitsError where there are too few."""

    def __init__(self, content: bytes) -> None:
        self._bits = int.from_bytes(content, "big")
        self._left = 8 * len(content)

    def read(self, width: int) -> int:
        """The next `width` bits as a number."""
        self._left -= width
        if self._left < 0:
            raise TruncatedBitsError("torn")
        return self._bits >> self._left & ((1 << width) - 1)

    def read_rice(self, parameter: int) -> int:
        """The next number that `BitWriter.append_rice` wrote."""
        quotient = 0
        while self.read(1):
            quotient += 1
        return quotient << parameter | self.read(parameter)

    def is_at_end(self) -> bool:
        """Whether nothing is left but zeros up to the end of the last byte."""
        return self._left < 8 and not self._bits & ((1 << self._left) - 1)


def choose_parameter(count: int, number_range: int) -> int:
    """The Rice parameter for that many numbers below `number_range`: about the logarithm of the mean gap."""
    return (number_range // count).bit_length() - 1 if count else 0


def max_bits(count: int, number_range: int, value_width: int) -> int:
    """The most bits that so many numbers with their values take, whatever the numbers are."""
    parameter = choose_parameter(count, number_range)
    return count * (1 + parameter + value_width) + (number_range >> parameter)
