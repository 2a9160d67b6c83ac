# SPDX-License-Identifier: BSD-3-Clause
"""The upstream's side of the request path: admits requests and passes them to the application."""
