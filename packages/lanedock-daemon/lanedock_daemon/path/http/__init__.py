# SPDX-License-Identifier: BSD-3-Clause
"""Reading and writing HTTP: messages, connections and servers of the request path."""
