# SPDX-License-Identifier: BSD-3-Clause
"""The request path: from callers through daemons to upstreams."""
