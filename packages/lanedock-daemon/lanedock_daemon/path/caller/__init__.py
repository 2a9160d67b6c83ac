# SPDX-License-Identifier: BSD-3-Clause
"""The caller's side of the request path: chooses upstreams, sends requests and retries them."""
