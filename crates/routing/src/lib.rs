//! Replica choice, health and admission.
