#include "Core/Common/Hash.h"
#include "Core/Settings/SettingsJson.h"
#include "Core/Settings/SettingsLog.h"
#include "Core/Settings/SettingsRecord.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <utility>

namespace rattancart {

namespace json = boost::json;

/// Encodes and decodes the state of a SettingsLog.
struct SettingsImageCodec {
  static json::object encode(const SettingsLog &Log);
  static Result<SettingsLog> decode(const json::object &Fields, SettingsLogFeatures Features);
  static std::uint64_t digest(const SettingsLog &Log);

private:
  static bool isTombstone(const SettingsLog &Log, const std::string &Key);
  static bool readRevisions(const json::array &Items, SettingsLog &Log);
  static bool readChanges(const json::array &Items, SettingsLog &Log);
  static std::optional<Error> readTree(const json::value &Value, SettingsLog &Log);
};

namespace {

Error malformed(std::string_view Detail) {
  return Error{ErrorCode::MalformedRecord, fmt::format("image: {}", Detail)};
}

bool readOffset(const json::object &Fields, std::string_view Name, LogOffset &Out) {
  const json::value *Value = Fields.if_contains(Name);
  if (!Value || !Value->is_int64() || Value->as_int64() < NoOffset.value())
    return false;
  Out = LogOffset(Value->as_int64());
  return true;
}

/// The text of the path with this key; the key of the root is empty.
std::string pathText(const std::string &Key) { return Key.empty() ? "/" : Key; }

std::string digestText(std::uint64_t Digest) { return fmt::format("{:016x}", Digest); }

} // namespace

bool SettingsImageCodec::isTombstone(const SettingsLog &Log, const std::string &Key) {
  return !Log.Tree_.contains(SettingsPath::fromKey(Key));
}

std::uint64_t SettingsImageCodec::digest(const SettingsLog &Log) {
  std::uint64_t Hash = stableHash(
      fmt::format("{} {} {}", Log.Offset_.value(), Log.Revision_.value(), Log.Floor_.value()));
  Log.Tree_.forEach({}, [&](const std::string &Key, const SettingsValue &Value) {
    Hash = stableHash(Key, Hash);
    Hash = stableHash(Value.Text_, Hash + static_cast<std::uint64_t>(Value.Type_));
  });
  for (const auto &[Key, Offset] : Log.Revisions_)
    Hash = stableHash(Key, Hash + static_cast<std::uint64_t>(Offset.value()));
  for (const auto &[Id, Change] : Log.DecidedChanges_)
    Hash = stableHash(fmt::format("{} {} {} {}", Id.str(), Change.Offset_.value(),
                                  Change.Base_.value(), Change.Error_.value()),
                      Hash);
  return Hash;
}

json::object SettingsImageCodec::encode(const SettingsLog &Log) {
  json::array Revisions;
  for (const auto &[Key, Offset] : Log.Revisions_)
    if (Log.Features_.TombstonesInImage_ || !isTombstone(Log, Key))
      Revisions.push_back(json::array{pathText(Key), Offset.value()});
  json::array Changes;
  if (Log.Features_.IdsInImage_)
    for (const auto &[Id, Change] : Log.DecidedChanges_)
      Changes.push_back(json::array{Id.str(), Change.Offset_.value(), Change.Base_.value(),
                                    Change.Error_.value()});
  const LogOffset Floor = Log.Features_.FloorInImage_ ? Log.Floor_ : NoOffset;
  return {{"schema", SettingsSchema},
          {"offset", Log.Offset_.value()},
          {"revision", Log.Revision_.value()},
          {"floor", Floor.value()},
          {"tree", nestedJson({}, Log.Tree_.leaves({}), NumberStyle::Exact)},
          {"revisions", std::move(Revisions)},
          {"changes", std::move(Changes)}};
}

bool SettingsImageCodec::readRevisions(const json::array &Items, SettingsLog &Log) {
  for (const json::value &Item : Items) {
    if (!Item.is_array() || Item.as_array().size() != 2 || !Item.as_array()[0].is_string() ||
        !Item.as_array()[1].is_int64())
      return false;
    const Result<SettingsPath> Path = SettingsPath::parse(Item.as_array()[0].as_string());
    if (!Path)
      return false;
    Log.Revisions_[Path->key()] = LogOffset(Item.as_array()[1].as_int64());
  }
  return true;
}

bool SettingsImageCodec::readChanges(const json::array &Items, SettingsLog &Log) {
  for (const json::value &Item : Items) {
    if (!Item.is_array() || Item.as_array().size() != 4)
      return false;
    const json::array &Parts = Item.as_array();
    if (!Parts[0].is_string() || !Parts[1].is_int64() || !Parts[2].is_int64() ||
        !Parts[3].is_int64())
      return false;
    DecidedChange Change{LogOffset(Parts[1].as_int64()), LogOffset(Parts[2].as_int64()), {}};
    if (Parts[3].as_int64() != 0)
      Change.Error_ = static_cast<ErrorCode>(Parts[3].as_int64());
    Log.DecidedChanges_[ChangeId(std::string(Parts[0].as_string()))] = Change;
  }
  return true;
}

std::optional<Error> SettingsImageCodec::readTree(const json::value &Value, SettingsLog &Log) {
  const Result<std::vector<SettingsLeaf>> Leaves = leavesFromValue({}, Value, NumberStyle::Exact);
  if (!Leaves)
    return Leaves.error();
  Log.Tree_.replace({}, *Leaves);
  const SettingsPath Root;
  const std::vector<InvalidSetting> Errors = Log.Compiler_.update(Log.Tree_, {&Root, 1});
  if (Errors.empty())
    return std::nullopt;
  return Error{Errors[0].Code_,
               fmt::format("{}: expected {}", Errors[0].Path_.str(), Errors[0].Expected_)};
}

Result<SettingsLog> SettingsImageCodec::decode(const json::object &Fields,
                                               SettingsLogFeatures Features) {
  SettingsLog Log(Features);
  const json::value *Schema = Fields.if_contains("schema");
  if (!Schema || !Schema->is_int64() || Schema->as_int64() < 1)
    return malformed("the schema version is missing");
  if (Schema->as_int64() > SettingsSchema)
    return Error{ErrorCode::UnknownSchema, fmt::format("schema version {}", Schema->as_int64())};
  if (!readOffset(Fields, "offset", Log.Offset_) ||
      !readOffset(Fields, "revision", Log.Revision_) || !readOffset(Fields, "floor", Log.Floor_))
    return malformed("an offset is missing");
  const json::value *Tree = Fields.if_contains("tree");
  const json::value *Revisions = Fields.if_contains("revisions");
  const json::value *Changes = Fields.if_contains("changes");
  if (!Tree || !Tree->is_object() || !Revisions || !Revisions->is_array() || !Changes ||
      !Changes->is_array())
    return malformed("a part is missing");
  if (std::optional<Error> Failure = readTree(*Tree, Log))
    return *Failure;
  if (!readRevisions(Revisions->as_array(), Log) || !readChanges(Changes->as_array(), Log))
    return malformed("a part can't be decoded");
  return Log;
}

std::uint64_t SettingsLog::digest() const { return SettingsImageCodec::digest(*this); }

std::string SettingsLog::image() const {
  json::object Fields = SettingsImageCodec::encode(*this);
  if (Features_.FloorInImage_ && Features_.TombstonesInImage_ && Features_.IdsInImage_) {
    Fields["digest"] = digestText(digest());
  } else {
    // What a disabled feature leaves out of the image is missing in the state read from it, so the
    // digest must be that of the reduced state.
    const Result<SettingsLog> Copy = SettingsImageCodec::decode(Fields, Features_);
    Fields["digest"] = digestText(Copy ? Copy->digest() : 0);
  }
  return json::serialize(Fields);
}

Result<SettingsLog> SettingsLog::fromImage(std::string_view Image, SettingsLogFeatures Features) {
  boost::system::error_code Failure;
  const json::value Value = json::parse(Image, Failure);
  if (Failure || !Value.is_object())
    return malformed("not a JSON object");
  Result<SettingsLog> Log = SettingsImageCodec::decode(Value.as_object(), Features);
  if (!Log)
    return Log;
  const json::value *Digest = Value.as_object().if_contains("digest");
  if (!Digest || !Digest->is_string() ||
      std::string_view(Digest->as_string()) != digestText(Log->digest()))
    return malformed("the digest does not match");
  return Log;
}

std::string formatSnapshot(const SettingsLog &Log) {
  return fmt::format(R"({{"schema":{},"kind":"snapshot","covered":{},"image":{}}})", SettingsSchema,
                     Log.offset().value(), Log.image());
}

Result<std::string> imageOfSnapshot(std::string_view Body) {
  const SettingsRecord Record = decodeRecord(Body);
  if (Record.Kind_ == SettingsRecord::Kind::UnknownSchema)
    return Error{ErrorCode::UnknownSchema, Record.Detail_};
  const json::value *Image = Record.Fields_.if_contains("image");
  const json::value *Covered = Record.Fields_.if_contains("covered");
  if (Record.Kind_ != SettingsRecord::Kind::Snapshot || !Image || !Image->is_object() || !Covered ||
      !Image->as_object().if_contains("offset") || Image->at("offset") != *Covered)
    return malformed("not a snapshot");
  return json::serialize(*Image);
}

} // namespace rattancart
