//! State machines of one request: entry side, agent ledger, claims and retry budget.
