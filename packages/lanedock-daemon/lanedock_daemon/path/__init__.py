# SPDX-License-Identifier: BSD-3-Clause
"""The request path: HTTP servers and clients that pass requests from callers to upstreams."""
