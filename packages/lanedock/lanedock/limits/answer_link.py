# SPDX-License-Identifier: BSD-3-Clause
"""The long answers that one daemon sends over a narrow link."""

__all__ = ["LONG_ANSWER_BYTES"]

# Length in bytes above which an answer counts as long. Sending 16 kB takes 64 ms on a link of
# 2 Mbit/s, as long as the shortest calls work.
LONG_ANSWER_BYTES = 16 * 1024
