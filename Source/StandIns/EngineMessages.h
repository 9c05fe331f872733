#pragma once

#include "StandIns/EngineModel.h"
#include "StandIns/EventLines.h"

#include <boost/json/object.hpp>

#include <optional>
#include <string>

/// The JSON bodies of the engine protocol.
namespace rattancart {

/// Reads a step request; missing fields get values that the model refuses.
StepRequest parseStep(const boost::json::object &Body);
/// Reads {"tokens":[...],"layer":N}; LayersRun_ is 0 if "layer" is missing.
Tensor parseTensor(const boost::json::object &Body);
std::string tensorText(const Tensor &Output);
/// Reads an exported KV cache; nothing if it is malformed.
std::optional<KvImage> parseKv(const std::string &Text);
std::string kvText(const KvImage &Image, std::uint64_t Bytes);
std::string cacheEventsText(const CacheEventPage &Page);
/// The history line of a layer run.
std::string layerRunText(const StepResult &Result, const EventOrigin &Origin,
                         std::uint64_t Sequence);
/// The history line of an imported KV cache. Of Import only the step is used.
std::string importText(const StepResult &Import, const EventOrigin &Origin, std::uint64_t Sequence);
/// {"error":reason}, with "expected" for StepRefusal::Position.
std::string refusalText(StepRefusal Refusal, std::uint32_t Expected);

} // namespace rattancart
