#pragma once

#include "Load/Experiment.h"

namespace rattancart {

/// Sequences a second that one engine of the group can carry: its batches full, its link to the
/// next stage not exceeded.
double engineCapacity(const PipelineExperiment &Setup, const EngineGroup &Group);

/// Sequences a second that no routing can exceed: the maximum flow through the graph whose nodes
/// are layer boundaries and whose edges are engines. Thread-safe.
double flowCapacity(const PipelineExperiment &Setup);

} // namespace rattancart
