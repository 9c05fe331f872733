#include "StandIns/EngineMessages.h"

#include "StandIns/JsonFields.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace rattancart {

namespace json = boost::json;

namespace {

std::uint32_t jsonCount(const json::object &Body, std::string_view Name) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(jsonInteger(Body, Name), 0, UINT32_MAX));
}

std::vector<std::string> jsonTexts(const json::object &Body, std::string_view Name) {
  std::vector<std::string> Texts;
  const json::value *List = Body.if_contains(Name);
  if (!List || !List->is_array())
    return Texts;
  for (const json::value &Item : List->as_array())
    if (Item.is_string())
      Texts.emplace_back(Item.as_string());
  return Texts;
}

std::string line(const json::object &Body) { return json::serialize(Body) + "\n"; }

json::object runLine(const char *Kind, const StepRequest &Step, const EventOrigin &Origin,
                     std::uint64_t Sequence) {
  return {{"kind", Kind},
          {"request", Step.Request_.str()},
          {"attempt", Step.Attempt_.value()},
          {"position", Step.Position_},
          {"count", Step.Count_},
          {"layer_begin", Step.Layers_.Begin_},
          {"layer_end", Step.Layers_.End_},
          {"layer_count", Step.LayerCount_},
          {"version", Step.Version_.str()},
          {"engine", Origin.Endpoint_.str()},
          {"incarnation", Origin.Incarnation_.value()},
          {"sequence", Sequence},
          {"at", microsecondsSinceEpoch(Origin.At_)}};
}

} // namespace

StepRequest parseStep(const json::object &Body) {
  StepRequest Request;
  Request.Request_ = RequestId(jsonText(Body, "request"));
  Request.Attempt_ = AttemptNumber(jsonCount(Body, "attempt"));
  Request.Model_ = ModelId(jsonText(Body, "model"));
  Request.Version_ = ModelVersion(jsonText(Body, "version"));
  Request.Position_ = jsonCount(Body, "position");
  Request.Count_ = jsonCount(Body, "count");
  Request.Layers_ = {jsonCount(Body, "layer_begin"), jsonCount(Body, "layer_end")};
  Request.LayerCount_ = jsonCount(Body, "layer_count");
  Request.Priority_ = jsonCount(Body, "priority");
  Request.Prefix_ = jsonText(Body, "prefix");
  Request.PrefixTokens_ =
      Body.contains("prefix_tokens") ? jsonCount(Body, "prefix_tokens") : Request.Count_;
  return Request;
}

Tensor parseTensor(const json::object &Body) {
  return {jsonTexts(Body, "tokens"), jsonCount(Body, "layer")};
}

std::string tensorText(const Tensor &Output) {
  return line({{"tokens", json::array(Output.Tokens_.begin(), Output.Tokens_.end())},
               {"layer", Output.LayersRun_}});
}

std::optional<KvImage> parseKv(const std::string &Text) {
  const json::value Body = parseObject(Text);
  if (!Body.is_object())
    return std::nullopt;
  const json::value Payload = parseObject(jsonText(Body.as_object(), "payload"));
  if (!Payload.is_object())
    return std::nullopt;
  const json::object &Content = Payload.as_object();
  KvImage Image;
  Image.Version_ = ModelVersion(jsonText(Content, "version"));
  Image.Layers_ = {jsonCount(Content, "layer_begin"), jsonCount(Content, "layer_end")};
  Image.Tokens_ = jsonTexts(Content, "tokens");
  if (Image.Tokens_.size() != jsonCount(Body.as_object(), "positions"))
    return std::nullopt;
  return Image;
}

std::string kvText(const KvImage &Image, std::uint64_t Bytes) {
  const json::object Payload{{"version", Image.Version_.str()},
                             {"layer_begin", Image.Layers_.Begin_},
                             {"layer_end", Image.Layers_.End_},
                             {"tokens", json::array(Image.Tokens_.begin(), Image.Tokens_.end())}};
  return line({{"positions", Image.Tokens_.size()},
               {"bytes", Bytes},
               {"payload", json::serialize(Payload)}});
}

std::string cacheEventsText(const CacheEventPage &Page) {
  json::array Events;
  for (const CacheEvent &Event : Page.Events_)
    Events.push_back({{"sequence", Event.Sequence_},
                      {"kind", Event.Kind_ == CacheEvent::Kind::Stored ? "stored" : "evicted"},
                      {"prefix", Event.Prefix_}});
  return line({{"first", Page.First_}, {"next", Page.Next_}, {"events", std::move(Events)}});
}

std::string layerRunText(const StepResult &Result, const EventOrigin &Origin,
                         std::uint64_t Sequence) {
  return json::serialize(runLine("layers", Result.Step_, Origin, Sequence));
}

std::string importText(const StepResult &Import, const EventOrigin &Origin,
                       std::uint64_t Sequence) {
  return json::serialize(runLine("import", Import.Step_, Origin, Sequence));
}

std::string refusalText(StepRefusal Refusal, std::uint32_t Expected) {
  const std::string_view Name = refusalName(Refusal);
  json::object Body{{"error", json::string_view(Name.data(), Name.size())}};
  if (Refusal == StepRefusal::Position)
    Body["expected"] = Expected;
  return line(Body);
}

} // namespace rattancart
