#pragma once

#include "Load/Experiment.h"

namespace rattancart {

/// Sequences per second that one engine of the group can process with full batches, limited by its
/// link to the next stage.
double engineCapacity(const PipelineExperiment &Setup, const EngineGroup &Group);

/// Upper bound of the sequences per second under any routing: the maximum flow through the graph
/// whose nodes are layer boundaries and whose edges are engines. Thread-safe.
double flowCapacity(const PipelineExperiment &Setup);

} // namespace rattancart
