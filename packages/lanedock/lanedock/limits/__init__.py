# SPDX-License-Identifier: BSD-3-Clause
"""Limits on requests: slots and their shares, request rates, bodies in flight, retry budgets and admission."""

from lanedock.limits.admission import AdmissionRateLimiter
from lanedock.limits.answer_admission import AnswerAdmission
from lanedock.limits.answer_link import LONG_ANSWER_BYTES, AnswerLink, AnswerTransfer, is_narrow_link
from lanedock.limits.bodies import BodyAdmission
from lanedock.limits.body_transfer import MAX_LINK_QUEUE_TIME, BodyTransfer
from lanedock.limits.call_kinds import CallKinds
from lanedock.limits.first_attempts import FirstAttempts
from lanedock.limits.queue import CALL_PRIORITY, AdmissionRequest, QueuedRequest
from lanedock.limits.rate import RateLimiter
from lanedock.limits.resources import Holding, ResourceBudget
from lanedock.limits.retries import RetryBudget, SavingBudget, WindowBudget
from lanedock.limits.slots import Refused, SlotLimiter

__all__ = [
    "CALL_PRIORITY",
    "LONG_ANSWER_BYTES",
    "MAX_LINK_QUEUE_TIME",
    "AdmissionRateLimiter",
    "AdmissionRequest",
    "AnswerAdmission",
    "AnswerLink",
    "AnswerTransfer",
    "BodyAdmission",
    "BodyTransfer",
    "CallKinds",
    "FirstAttempts",
    "Holding",
    "QueuedRequest",
    "RateLimiter",
    "Refused",
    "ResourceBudget",
    "RetryBudget",
    "SavingBudget",
    "SlotLimiter",
    "WindowBudget",
    "is_narrow_link",
]
