"""Separate random streams, so that the draws of one part of a world do not affect the other parts."""

from __future__ import annotations

import math
import zlib

import numpy as np

# Number of values that are drawn from the generator at a time.
_BLOCK_SIZE = 1024


class Stream:
    """A stream of random numbers for one purpose, drawn in blocks from a NumPy generator."""

    def __init__(self, seed: int, purpose: str) -> None:
        sequence = np.random.SeedSequence([seed, zlib.crc32(purpose.encode())])
        self._generator = np.random.Generator(np.random.PCG64(sequence))
        self._uniform: list[float] = []
        self._normal: list[float] = []

    def random(self) -> float:
        if not self._uniform:
            self._uniform = self._generator.random(_BLOCK_SIZE).tolist()
        return self._uniform.pop()

    def between(self, bounds: tuple[float, float]) -> float:
        return bounds[0] + (bounds[1] - bounds[0]) * self.random()

    def integer(self, bounds: tuple[int, int]) -> int:
        """Returns a uniform integer between the bounds, both included."""
        return bounds[0] + int((bounds[1] - bounds[0] + 1) * self.random())

    def below(self, count: int) -> int:
        """Returns a uniform integer from 0 to `count` - 1."""
        return int(count * self.random())

    def exponential(self, mean: float) -> float:
        return -mean * math.log(1.0 - self.random())

    def lognormal(self, mean: float, sigma: float) -> float:
        """Returns a log-normal number with this mean. `sigma` is the standard deviation of its logarithm."""
        if not self._normal:
            self._normal = self._generator.standard_normal(_BLOCK_SIZE).tolist()
        return mean * math.exp(sigma * self._normal.pop() - sigma * sigma / 2)

    def pick(self, probabilities: tuple[float, ...]) -> int:
        """Returns an index drawn by the given probabilities, which must add up to 1."""
        remaining = self.random()
        for n, probability in enumerate(probabilities):
            remaining -= probability
            if remaining < 0:
                return n
        return len(probabilities) - 1
