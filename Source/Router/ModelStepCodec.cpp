#include "Router/ModelStepCodec.h"

#include "Core/Common/ErrorCode.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include <limits>
#include <optional>
#include <string_view>
#include <utility>

namespace rattancart {

namespace {

namespace json = boost::json;

HttpRequest post(std::string Target, const json::object &Body) {
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = std::move(Target);
  Request.Headers_.add("Content-Type", "application/json");
  Request.Body_ = json::serialize(Body);
  return Request;
}

json::object encodeInput(const SendStep &Step, const TokenSequence &Tokens) {
  json::object Input;
  if (Step.Input_) {
    Input["ref"] = Step.Input_->Ref_;
    Input["address"] = Step.Input_->Address_.str();
    return Input;
  }
  json::array Texts;
  Texts.reserve(Step.Call_.Count_);
  for (std::uint32_t Index = 0; Index < Step.Call_.Count_; ++Index)
    Texts.emplace_back(json::string(Tokens.at(Step.Call_.Position_.value() + Index)));
  Input["tokens"] = std::move(Texts);
  return Input;
}

std::optional<std::string> textField(const json::object &Object, std::string_view Name) {
  const json::value *Field = Object.if_contains(Name);
  if (!Field || !Field->is_string())
    return std::nullopt;
  return std::string(Field->get_string());
}

std::optional<std::uint32_t> numberField(const json::object &Object, std::string_view Name) {
  const json::value *Field = Object.if_contains(Name);
  if (!Field)
    return std::nullopt;
  boost::system::error_code Failure;
  const auto Number = Field->to_number<std::uint32_t>(Failure);
  if (Failure)
    return std::nullopt;
  return Number;
}

std::optional<TensorRef> decodeTensor(const json::object &Answer) {
  const json::value *Output = Answer.if_contains("output");
  if (!Output || !Output->is_object())
    return std::nullopt;
  auto Ref = textField(Output->get_object(), "ref");
  auto Address = textField(Output->get_object(), "address");
  if (!Ref || !Address)
    return std::nullopt;
  return TensorRef{std::move(*Ref), NetAddress(std::move(*Address))};
}

std::optional<GeneratedToken> decodeToken(const json::object &Answer) {
  auto Text = textField(Answer, "token");
  const json::value *End = Answer.if_contains("end");
  if (!Text || !End || !End->is_bool())
    return std::nullopt;
  return GeneratedToken{std::move(*Text), End->get_bool()};
}

std::string errorName(const std::string &Body) {
  boost::system::error_code Failure;
  const json::value Parsed = json::parse(Body, Failure);
  if (Failure || !Parsed.is_object())
    return {};
  return textField(Parsed.get_object(), "error").value_or("");
}

StepFault classifyConflict(const std::string &Reason) {
  if (Reason.empty())
    return StepFault::EngineError;
  return Reason == "position" || Reason == "attempt" ? StepFault::SequenceLost : StepFault::Refused;
}

} // namespace

HttpRequest encodeStep(const StepContext &Context, const SendStep &Step,
                       const TokenSequence &Tokens) {
  json::object Body;
  Body["request"] = Context.Request_.str();
  Body["attempt"] = Step.Call_.Attempt_.value();
  Body["model"] = Context.Model_.str();
  Body["version"] = Context.Version_.str();
  Body["position"] = Step.Call_.Position_.value();
  Body["count"] = Step.Call_.Count_;
  Body["layer_begin"] = Step.Stage_.Layers_.Begin_;
  Body["layer_end"] = Step.Stage_.Layers_.End_;
  Body["layer_count"] = Context.LayerCount_;
  // An engine that was restarted refuses a step that was meant for its earlier run.
  Body["incarnation"] = Step.Stage_.Incarnation_.value();
  Body["priority"] = Context.Priority_.value();
  Body["input"] = encodeInput(Step, Tokens);
  Body["prefix"] = Context.Prefix_;
  Body["prefix_tokens"] = Context.PrefixTokens_;
  return post("/v1/step", Body);
}

HttpRequest encodeCancel(const RequestId &Request, AttemptNumber Attempt) {
  json::object Body;
  Body["request"] = Request.str();
  Body["attempt"] = Attempt.value();
  return post("/v1/cancel", Body);
}

Result<StepOutput> decodeStepOutput(const std::string &Body) {
  const Error Malformed{ErrorCode::MalformedResponse, "not a step's answer"};
  boost::system::error_code Failure;
  const json::value Parsed = json::parse(Body, Failure);
  if (Failure || !Parsed.is_object())
    return Malformed;
  const json::object &Answer = Parsed.get_object();
  const auto Request = textField(Answer, "request");
  const auto Engine = textField(Answer, "engine");
  const auto Attempt = numberField(Answer, "attempt");
  const auto Position = numberField(Answer, "position");
  const auto Count = numberField(Answer, "count");
  if (!Request || !Engine || !Attempt || !Position || !Count)
    return Malformed;
  StepOutput Output{RequestId(*Request), AttemptNumber(*Attempt), TokenPosition(*Position), *Count,
                    EndpointId(*Engine), decodeTensor(Answer),    decodeToken(Answer)};
  if (Output.Tensor_.has_value() == Output.Token_.has_value())
    return Malformed;
  return Output;
}

StepFault classifyStepFault(const HttpResult &Exchange) {
  if (Exchange.Error_ == ErrorCode::ConnectFailed)
    return StepFault::ConnectFailed;
  if (Exchange.Error_ == ErrorCode::ResponseTimeout)
    return StepFault::Silent;
  // The session's check before sending withheld the step.
  if (Exchange.Error_ == ErrorCode::Cancelled)
    return StepFault::Refused;
  if (Exchange.Error_)
    return StepFault::Connection;
  if (Exchange.Response_.Status_ == 409)
    return classifyConflict(errorName(Exchange.Response_.Body_));
  if (Exchange.Response_.Status_ == 503 || Exchange.Response_.Status_ == 429)
    return StepFault::Refused;
  if (Exchange.Response_.Status_ == 502 && errorName(Exchange.Response_.Body_) == "input")
    return StepFault::InputLost;
  return StepFault::EngineError;
}

} // namespace rattancart
