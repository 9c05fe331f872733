#include "Core/Settings/SettingsChange.h"

#include "Core/Common/ErrorCode.h"
#include "Core/Settings/SettingsJson.h"
#include "Core/Settings/SettingsRecord.h"

#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <set>
#include <utility>

namespace rattancart {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxIdLength = 128;

Error malformed(std::string Detail) { return Error{ErrorCode::MalformedRecord, std::move(Detail)}; }

bool isId(const json::value *Value) {
  return Value && Value->is_string() && !Value->as_string().empty() &&
         Value->as_string().size() <= MaxIdLength;
}

Result<SettingsEdit> parseEdit(const json::value &Item) {
  if (!Item.is_object())
    return malformed("an edit is not an object");
  const json::object &Fields = Item.as_object();
  const json::value *PathText = Fields.if_contains("path");
  const json::value *Value = Fields.if_contains("value");
  const json::value *Delete = Fields.if_contains("delete");
  if (!PathText || !PathText->is_string())
    return malformed("an edit has no path");
  if ((Value != nullptr) == (Delete != nullptr))
    return malformed("an edit has neither value nor delete, or both");
  if (Delete && !(Delete->is_bool() && Delete->as_bool()))
    return malformed("delete is not true");
  Result<SettingsPath> Path = SettingsPath::parse(PathText->as_string());
  if (!Path)
    return Path.error();
  SettingsEdit Edit{*Path, {}};
  if (!Value)
    return Edit;
  Result<std::vector<SettingsLeaf>> Leaves = leavesFromValue(*Path, *Value, NumberStyle::Exact);
  if (!Leaves)
    return Leaves.error();
  Edit.Leaves_ = std::move(*Leaves);
  return Edit;
}

/// Whether an edit's path lies at or below that of another.
bool haveOverlappingPaths(const std::vector<SettingsEdit> &Edits) {
  std::set<std::string, std::less<>> Paths;
  for (const SettingsEdit &Edit : Edits)
    if (!Paths.insert(Edit.Path_.key()).second)
      return true;
  for (const SettingsEdit &Edit : Edits)
    for (std::size_t Count = 0; Count < Edit.Path_.segments().size(); ++Count)
      if (Paths.contains(Edit.Path_.prefix(Count).key()))
        return true;
  return false;
}

} // namespace

Result<SettingsChange> parseChangeFields(const json::object &Fields) {
  const json::value *Id = Fields.if_contains("id");
  const json::value *Author = Fields.if_contains("author");
  const json::value *Base = Fields.if_contains("base");
  const json::value *Edits = Fields.if_contains("edits");
  if (!isId(Id) || !isId(Author))
    return malformed("id or author is missing, empty or too long");
  if (!Base || !Base->is_int64() || Base->as_int64() < NoOffset.value())
    return malformed("base is missing or not an offset");
  if (!Edits || !Edits->is_array() || Edits->as_array().empty())
    return malformed("there are no edits");
  SettingsChange Change;
  Change.Id_ = ChangeId(std::string(Id->as_string()));
  Change.Author_ = OperatorId(std::string(Author->as_string()));
  Change.Base_ = LogOffset(Base->as_int64());
  for (const json::value &Item : Edits->as_array()) {
    Result<SettingsEdit> Edit = parseEdit(Item);
    if (!Edit)
      return Edit.error();
    Change.Edits_.push_back(std::move(*Edit));
  }
  if (haveOverlappingPaths(Change.Edits_))
    return malformed("two edits overlap");
  return Change;
}

Result<SettingsChange> parseChange(std::string_view Body) {
  const SettingsRecord Record = decodeRecord(Body);
  if (Record.Kind_ == SettingsRecord::Kind::UnknownSchema)
    return Error{ErrorCode::UnknownSchema, Record.Detail_};
  if (Record.Kind_ != SettingsRecord::Kind::Change)
    return malformed(Record.Detail_.empty() ? "not a change" : Record.Detail_);
  return parseChangeFields(Record.Fields_);
}

std::string formatChange(const SettingsChange &Change) {
  json::array Edits;
  for (const SettingsEdit &Edit : Change.Edits_) {
    json::object Item{{"path", Edit.Path_.str()}};
    if (Edit.Leaves_.empty())
      Item["delete"] = true;
    else
      Item["value"] = nestedJson(Edit.Path_, Edit.Leaves_, NumberStyle::Exact);
    Edits.push_back(std::move(Item));
  }
  return json::serialize(json::object{{"schema", SettingsSchema},
                                      {"kind", "change"},
                                      {"id", Change.Id_.str()},
                                      {"author", Change.Author_.str()},
                                      {"base", Change.Base_.value()},
                                      {"edits", std::move(Edits)}});
}

} // namespace rattancart
