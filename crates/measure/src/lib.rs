//! Experiments of scripts/measure.
