#include "Router/CallHttp.h"

#include "Core/Common/Hash.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>

namespace rattancart {

namespace {

constexpr std::string_view SystemHeaderPrefix = "x-rattancart-";
/// Headers that belong to one connection, and content-length, which the sender sets anew.
constexpr std::array<std::string_view, 10> HopByHopHeaders = {"connection",
                                                              "keep-alive",
                                                              "proxy-authenticate",
                                                              "proxy-authorization",
                                                              "proxy-connection",
                                                              "te",
                                                              "trailer",
                                                              "transfer-encoding",
                                                              "upgrade",
                                                              "content-length"};

std::string lowerCase(std::string_view Text) {
  std::string Lower(Text);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(),
                 [](unsigned char C) { return static_cast<char>(std::tolower(C)); });
  return Lower;
}

/// Whether the value of a Connection header names the field. Name: in lower case.
bool isInHeaderList(std::string_view List, const std::string &Name) {
  while (!List.empty()) {
    const std::size_t Comma = List.find(',');
    std::string_view Item = List.substr(0, Comma);
    while (!Item.empty() && Item.front() == ' ')
      Item.remove_prefix(1);
    while (!Item.empty() && Item.back() == ' ')
      Item.remove_suffix(1);
    if (lowerCase(Item) == Name)
      return true;
    List = Comma == std::string_view::npos ? std::string_view() : List.substr(Comma + 1);
  }
  return false;
}

HttpHeaders endToEndHeaders(const HttpHeaders &From) {
  HttpHeaders Kept;
  const std::string_view Listed = From.get("connection");
  for (const HttpHeader &Field : From.all()) {
    const std::string Name = lowerCase(Field.Name_);
    const bool IsHopByHop =
        std::find(HopByHopHeaders.begin(), HopByHopHeaders.end(), Name) != HopByHopHeaders.end();
    if (IsHopByHop || Name.starts_with(SystemHeaderPrefix) || isInHeaderList(Listed, Name))
      continue;
    Kept.add(Field.Name_, Field.Value_);
  }
  return Kept;
}

std::optional<IdempotencyKey> keyFromBody(const std::string &Pointer, const std::string &Body) {
  boost::system::error_code Failure;
  const boost::json::value Document = boost::json::parse(Body, Failure);
  if (Failure)
    return std::nullopt;
  const boost::json::value *Found = Document.find_pointer(Pointer, Failure);
  if (Failure || !Found)
    return std::nullopt;
  if (Found->is_string() && !Found->get_string().empty())
    return IdempotencyKey(std::string(Found->get_string()));
  if (Found->is_int64() || Found->is_uint64())
    return IdempotencyKey(boost::json::serialize(*Found));
  return std::nullopt;
}

bool isShortAndPrintable(std::string_view Text) {
  return Text.size() <= MaxVerbatimKeyBytes &&
         std::all_of(Text.begin(), Text.end(), [](char C) { return C > ' ' && C <= '~'; });
}

/// The text itself if it is short and printable and can't be taken for a digest or for several
/// parts; else a 128-bit digest of it.
std::string claimKeyPart(std::string_view Text) {
  if (isShortAndPrintable(Text) && !Text.starts_with('#') &&
      Text.find('/') == std::string_view::npos)
    return std::string(Text);
  return fmt::format("#{:016x}{:016x}", stableHash(Text, 1), stableHash(Text, 2));
}

} // namespace

std::optional<IdempotencyKey> findKey(const Route &Matched, const HttpRequest &Request) {
  switch (Matched.KeySource_) {
  case KeySource::None:
    return std::nullopt;
  case KeySource::JsonPointer:
    return keyFromBody(Matched.KeyName_, Request.Body_);
  case KeySource::Header:
    break;
  }
  const std::string_view Value = Request.Headers_.get(Matched.KeyName_);
  if (Value.empty())
    return std::nullopt;
  return IdempotencyKey(std::string(Value));
}

IdempotencyKey claimKey(const ServiceId &Service, const CustomerId &Customer,
                        const IdempotencyKey &Key) {
  return IdempotencyKey(claimKeyPart(Service.str()) + "/" + claimKeyPart(Customer.str()) + "/" +
                        claimKeyPart(Key.str()));
}

HttpRequest makeEndpointRequest(const HttpRequest &Request, const RequestId &Call,
                                const std::optional<IdempotencyKey> &Key, LogOffset Fence) {
  HttpRequest Sent;
  Sent.Method_ = Request.Method_;
  Sent.Target_ = Request.Target_;
  Sent.Headers_ = endToEndHeaders(Request.Headers_);
  Sent.Headers_.remove("host");
  Sent.Headers_.remove("expect");
  Sent.Headers_.set("x-rattancart-call", Call.str());
  if (Key)
    Sent.Headers_.set("idempotency-key", Key->str());
  if (Fence != NoOffset)
    Sent.Headers_.set("x-rattancart-fence", std::to_string(Fence.value()));
  Sent.Body_ = Request.Body_;
  return Sent;
}

HttpResponse makeCallerResponse(const HttpResponse &Response, const RequestId &Call,
                                Outcome CallOutcome) {
  HttpResponse Answer;
  Answer.Status_ = Response.Status_;
  Answer.Headers_ = endToEndHeaders(Response.Headers_);
  Answer.Headers_.set("x-rattancart-outcome", std::string(outcomeName(CallOutcome)));
  Answer.Headers_.set("x-rattancart-request", Call.str());
  Answer.Body_ = Response.Body_;
  return Answer;
}

} // namespace rattancart
