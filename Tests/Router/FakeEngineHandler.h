#pragma once

#include "Core/Common/Hash.h"
#include "Net/HttpServer.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattancart {

/// The next token of a sequence in the model of the fake engines.
inline std::string fakeToken(const std::vector<std::string> &Tokens) {
  std::string Text;
  for (const std::string &Token : Tokens)
    Text += Token + " ";
  return "w" + std::to_string(stableHash(Text) % 1000000);
}

/// The complete answer of Count tokens to a prompt.
inline std::string fakeAnswer(std::vector<std::string> Prompt, int Count) {
  std::string Text;
  for (int Index = 0; Index < Count; ++Index) {
    Prompt.push_back(fakeToken(Prompt));
    Text += (Index == 0 ? "" : " ") + Prompt.back();
  }
  return Text;
}

/// An engine that follows the step protocol, with one sequence table and a few faults. Its tensor
/// references contain the tokens themselves.
class FakeEngineHandler final : public HttpHandler {
public:
  FakeEngineHandler(std::string Id, std::uint32_t AnswerTokens)
      : Id_(std::move(Id)), AnswerTokens_(AnswerTokens) {}

  void handle(HttpRequest Request, HttpResponderPtr Responder) override {
    const auto Body = boost::json::parse(Request.Body_).as_object();
    const std::string Key = std::string(Body.at("request").as_string()) + "/" +
                            std::to_string(Body.at("attempt").to_number<int>());
    if (Request.path() == "/v1/cancel") {
      ++Cancels_;
      Sequences_.erase(Key);
      return Responder->send({});
    }
    ++Steps_;
    if (OnStep_)
      OnStep_();
    if (Steps_ > DieAfterSteps_)
      return Responder->abort();
    if (SilentSteps_ > 0 || HoldSteps_) {
      SilentSteps_ -= SilentSteps_ > 0;
      HeldResponders_.push_back(std::move(Responder));
      return;
    }
    Responder->send(step(Body, Sequences_[Key]));
  }

  HttpResponse step(const boost::json::object &Body, std::vector<std::string> &Tokens) {
    const auto Position = Body.at("position").to_number<std::size_t>();
    const auto Count = Body.at("count").to_number<std::size_t>();
    HttpResponse Response;
    if (Position > Tokens.size()) {
      Response.Status_ = 409;
      Response.Body_ = R"({"error":"position","expected":0})";
      return Response;
    }
    Tokens.resize(Position);
    for (const std::string &Token : inputTokens(Body.at("input").as_object()))
      Tokens.push_back(Token);
    boost::json::object Answer;
    for (const char *Name : {"request", "attempt", "position", "count"})
      Answer[Name] = Body.at(Name);
    if (CrossedAnswers_ > 0 && CrossedAnswers_-- > 0)
      Answer["request"] = "another";
    Answer["engine"] = Id_;
    if (Body.at("layer_end") == Body.at("layer_count")) {
      PromptLength_ = Position == 0 && PromptLength_ == 0 ? Count : PromptLength_;
      Answer["token"] = fakeToken(Tokens);
      Answer["end"] = Tokens.size() - PromptLength_ + 1 == AnswerTokens_;
    } else {
      std::string Ref;
      for (std::size_t Index = Position; Index < Position + Count; ++Index)
        Ref += Tokens[Index] + " ";
      Answer["output"] = {{"ref", Ref}, {"address", "127.0.0.1:1"}};
    }
    Response.Body_ = boost::json::serialize(Answer);
    return Response;
  }

  std::string Id_;
  std::uint32_t AnswerTokens_;
  /// After this many steps, each step closes its connection without an answer.
  int DieAfterSteps_ = 1 << 30;
  /// This many next steps are never answered.
  int SilentSteps_ = 0;
  /// No step is answered.
  bool HoldSteps_ = false;
  /// This many next answers name another request.
  int CrossedAnswers_ = 0;
  int Steps_ = 0;
  int Cancels_ = 0;
  /// Called when a step arrives, before it runs.
  std::function<void()> OnStep_;
  /// The number of tokens in the prompt, taken from the first prefill. A test has one prompt.
  std::size_t PromptLength_ = 0;
  std::vector<HttpResponderPtr> HeldResponders_;
  std::map<std::string, std::vector<std::string>> Sequences_;

private:
  static std::vector<std::string> inputTokens(const boost::json::object &Input) {
    std::vector<std::string> Tokens;
    if (const auto *Texts = Input.if_contains("tokens")) {
      for (const auto &Text : Texts->as_array())
        Tokens.emplace_back(Text.as_string());
      return Tokens;
    }
    const std::string Ref(Input.at("ref").as_string());
    for (std::size_t At = 0; At < Ref.size(); At = Ref.find(' ', At) + 1)
      Tokens.push_back(Ref.substr(At, Ref.find(' ', At) - At));
    return Tokens;
  }
};

} // namespace rattancart
