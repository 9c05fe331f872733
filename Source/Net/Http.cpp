#include "Net/Http.h"

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

char toLower(char C) { return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C; }

bool equalIgnoringCase(std::string_view A, std::string_view B) {
  return A.size() == B.size() && std::equal(A.begin(), A.end(), B.begin(), [](char X, char Y) {
           return toLower(X) == toLower(Y);
         });
}

} // namespace

void HttpHeaders::add(std::string Name, std::string Value) {
  Fields_.push_back({std::move(Name), std::move(Value)});
}

void HttpHeaders::set(std::string Name, std::string Value) {
  remove(Name);
  add(std::move(Name), std::move(Value));
}

std::string_view HttpHeaders::get(std::string_view Name) const {
  for (const HttpHeader &Field : Fields_)
    if (equalIgnoringCase(Field.Name_, Name))
      return Field.Value_;
  return {};
}

bool HttpHeaders::has(std::string_view Name) const {
  return std::any_of(Fields_.begin(), Fields_.end(),
                     [&](const HttpHeader &Field) { return equalIgnoringCase(Field.Name_, Name); });
}

void HttpHeaders::remove(std::string_view Name) {
  std::erase_if(Fields_,
                [&](const HttpHeader &Field) { return equalIgnoringCase(Field.Name_, Name); });
}

std::string_view HttpRequest::path() const {
  const std::string_view Target = Target_;
  return Target.substr(0, Target.find('?'));
}

std::string_view HttpRequest::query(std::string_view Name) const {
  std::string_view Rest = Target_;
  const std::size_t Start = Rest.find('?');
  if (Start == std::string_view::npos)
    return {};
  Rest.remove_prefix(Start + 1);
  while (!Rest.empty()) {
    const std::string_view Pair = Rest.substr(0, Rest.find('&'));
    Rest.remove_prefix(std::min(Rest.size(), Pair.size() + 1));
    const std::size_t Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Name)
      return Equals == std::string_view::npos ? std::string_view{} : Pair.substr(Equals + 1);
  }
  return {};
}

} // namespace rattancart
