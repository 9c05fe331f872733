#include "Router/ModelPrompt.h"

#include "Core/Common/ErrorCode.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace rattancart {

namespace {

constexpr std::string_view WhiteSpace = " \t\r\n\f\v";

Error malformed(std::string Detail) { return {ErrorCode::MalformedBody, std::move(Detail)}; }

bool isJson(const HttpRequest &Request) {
  const std::string_view Type = Request.Headers_.get("content-type");
  if (Type.starts_with("application/json"))
    return true;
  if (Type.starts_with("text/plain"))
    return false;
  const std::size_t First = Request.Body_.find_first_not_of(WhiteSpace);
  return First != std::string::npos && Request.Body_[First] == '{';
}

bool isUtf8(const std::string &Text) {
  boost::system::error_code Failure;
  boost::json::parse(boost::json::serialize(boost::json::value(boost::json::string(Text))),
                     Failure);
  return !Failure;
}

Result<std::string> promptText(const HttpRequest &Request) {
  if (!isJson(Request)) {
    if (!isUtf8(Request.Body_))
      return malformed("the text is not valid UTF-8");
    return Request.Body_;
  }
  boost::system::error_code Failure;
  const boost::json::value Parsed = boost::json::parse(Request.Body_, Failure);
  if (Failure || !Parsed.is_object())
    return malformed("expected a JSON object");
  const boost::json::value *Prompt = Parsed.get_object().if_contains("prompt");
  if (!Prompt || !Prompt->is_string())
    return malformed("expected a text in the field prompt");
  return std::string(Prompt->get_string());
}

} // namespace

Result<TokenSequence> parsePrompt(const HttpRequest &Request, std::size_t MaxTokens) {
  const Result<std::string> Text = promptText(Request);
  if (!Text)
    return Text.error();
  TokenSequence Tokens;
  std::string_view Rest = *Text;
  for (;;) {
    const std::size_t Begin = Rest.find_first_not_of(WhiteSpace);
    if (Begin == std::string_view::npos)
      break;
    if (Tokens.size() == MaxTokens)
      return malformed("the prompt has more than " + std::to_string(MaxTokens) + " tokens");
    Rest.remove_prefix(Begin);
    const std::size_t End = std::min(Rest.find_first_of(WhiteSpace), Rest.size());
    Tokens.append(Rest.substr(0, End));
    Rest.remove_prefix(End);
  }
  if (Tokens.size() == 0)
    return malformed("the prompt is empty");
  return Tokens;
}

} // namespace rattancart
