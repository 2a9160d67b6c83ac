# SPDX-License-Identifier: BSD-3-Clause
"""Findings with positions, and readers for JSON with comments and for fields of received objects."""

from lanedock.findings.core import Finding, FindingsError, Place
from lanedock.findings.fields import MAX_COUNT, FieldReader, is_number, is_text
from lanedock.findings.jsonc import Document, read_document, read_text

__all__ = [
    "MAX_COUNT",
    "Document",
    "FieldReader",
    "Finding",
    "FindingsError",
    "Place",
    "is_number",
    "is_text",
    "read_document",
    "read_text",
]
