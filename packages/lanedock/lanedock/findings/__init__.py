# SPDX-License-Identifier: BSD-3-Clause
"""Findings with their place, and the reading of JSON with comments."""

from lanedock.findings.core import Finding, FindingsError, Place
from lanedock.findings.jsonc import Document, read_document, read_text

__all__ = ["Document", "Finding", "FindingsError", "Place", "read_document", "read_text"]
