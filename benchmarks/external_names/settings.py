"""Reads the keys of the operator's settings and of the files that are deployed."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterator
from pathlib import PurePosixPath
from typing import Any

from benchmarks.external_names.external_name import ExternalName
from benchmarks.external_names.source import Source
from benchmarks.external_names.structures import fields_of, structures
from benchmarks.external_names.tables import OPERATOR


def settings_keys(source: Source) -> Iterator[ExternalName]:
    """The keys of the operator's file, with their tables."""
    known = {node.name: found for m in source.modules.values() for node, found in structures(m)}

    def walk(fields: dict[str, str], prefix: str) -> Iterator[str]:
        for name, kind in fields.items():
            yield f"{prefix}{name}"
            for inner in set(re.findall(r"\w+", kind)) & known.keys():
                yield from walk(known[inner].fields, f"{prefix}{name}.")

    for path in walk(fields_of(source.class_at(*OPERATOR)), ""):
        yield ExternalName("settings", path)


def toml_keys(value: Any, prefix: str = "") -> Iterator[str]:
    """The paths of a TOML document."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield f"{prefix}{name}"
            yield from toml_keys(inner, f"{prefix}{name}.")
    elif isinstance(value, list):
        for inner in value:
            yield from toml_keys(inner, prefix)


def deployed_keys(source: Source) -> Iterator[ExternalName]:
    """The keys of the files that are deployed."""
    for path, text in source.texts.items():
        if path.startswith("deploy/") and path.endswith(".toml"):
            name = PurePosixPath(path).relative_to("deploy")
            yield from (ExternalName("deploy", f"{name}:{key}") for key in toml_keys(tomllib.loads(text)))
