"""Reads the keys of the operator's settings file and of the deployed settings files."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterator
from pathlib import PurePosixPath
from typing import Any

from benchmarks.external_names.external_name import ExternalName
from benchmarks.external_names.source import Source
from benchmarks.external_names.structures import fields_of, structures
from benchmarks.external_names.tables import OPERATOR_CLASS


def settings_keys(source: Source) -> Iterator[ExternalName]:
    """Yields the keys of the operator's settings file, each with the path of its table."""
    structures_by_class = {
        node.name: structure for m in source.modules.values() for node, structure in structures(m)
    }

    def key_paths(fields: dict[str, str], prefix: str) -> Iterator[str]:
        for name, annotation in fields.items():
            yield f"{prefix}{name}"
            for struct_name in set(re.findall(r"\w+", annotation)) & structures_by_class.keys():
                yield from key_paths(structures_by_class[struct_name].fields, f"{prefix}{name}.")

    for path in key_paths(fields_of(source.class_at(*OPERATOR_CLASS)), ""):
        yield ExternalName("settings", path)


def toml_keys(value: Any, prefix: str = "") -> Iterator[str]:
    """Yields the paths of all keys in a TOML document."""
    if isinstance(value, dict):
        for name, content in value.items():
            yield f"{prefix}{name}"
            yield from toml_keys(content, f"{prefix}{name}.")
    elif isinstance(value, list):
        for content in value:
            yield from toml_keys(content, prefix)


def deployed_keys(source: Source) -> Iterator[ExternalName]:
    """Yields the keys of the TOML files in `deploy/`."""
    for path, text in source.texts.items():
        if path.startswith("deploy/") and path.endswith(".toml"):
            name = PurePosixPath(path).relative_to("deploy")
            yield from (ExternalName("deploy", f"{name}:{key}") for key in toml_keys(tomllib.loads(text)))
