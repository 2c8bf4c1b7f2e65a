"""Names of the registry records that hold policies. They are stored and sent, so they never change."""

DECISION_RECORD = "policy.now"  # the decision that holds
ACTIVATED_RECORD = "policy.past"  # the number of the last decision whose activation time has passed
DOCUMENT_RECORD_PREFIX = "policy.doc-"  # and the document's digest
HISTORY_RECORD_PREFIX = "policy.log-"  # and the decision's number
CHANGE_TASK_RECORD = "task.policy"  # the last change that was asked for, as a task
