//! Expected step time of a layer.
