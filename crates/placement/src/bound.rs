//! Lower bound on the step time that no placement can beat.
