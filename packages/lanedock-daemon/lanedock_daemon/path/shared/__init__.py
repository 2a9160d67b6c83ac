# SPDX-License-Identifier: BSD-3-Clause
"""What both sides of the request path share: pooled connections, exchanges and the dialect."""
