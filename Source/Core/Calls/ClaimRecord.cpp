#include "Core/Calls/ClaimRecord.h"

#include "Core/Common/ErrorCode.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <exception>

namespace rattancart {

namespace {

namespace json = boost::json;

/// Length of the UTF-8 sequence that begins with Lead; 0 if no valid sequence does.
std::size_t utf8SequenceLength(unsigned char Lead) {
  if (Lead < 0x80)
    return 1;
  if (Lead >= 0xC2 && Lead < 0xE0)
    return 2;
  if (Lead >= 0xE0 && Lead < 0xF0)
    return 3;
  return Lead >= 0xF0 && Lead < 0xF5 ? 4 : 0;
}

/// Whether Second excludes an overlong form, a surrogate and a code point above U+10FFFF.
bool isValidSecondByte(unsigned char Lead, unsigned char Second) {
  if (Lead == 0xE0)
    return Second >= 0xA0;
  if (Lead == 0xED)
    return Second < 0xA0;
  if (Lead == 0xF0)
    return Second >= 0x90;
  return Lead != 0xF4 || Second < 0x90;
}

bool isValidUtf8(std::string_view Text) {
  std::size_t At = 0;
  while (At < Text.size()) {
    const auto Lead = static_cast<unsigned char>(Text[At]);
    const std::size_t Length = utf8SequenceLength(Lead);
    if (Length == 0 || At + Length > Text.size())
      return false;
    if (Length > 1 && !isValidSecondByte(Lead, static_cast<unsigned char>(Text[At + 1])))
      return false;
    for (std::size_t Next = 1; Next < Length; ++Next)
      if ((static_cast<unsigned char>(Text[At + Next]) & 0xC0) != 0x80)
        return false;
    At += Length;
  }
  return true;
}

json::string_view recordableBody(const std::string &Body) {
  return isRecordableBody(Body) ? json::string_view(Body) : json::string_view();
}

json::value encodeItem(const ClaimItem &Item) {
  switch (Item.Kind_) {
  case ClaimItem::Kind::Claim:
    return json::array{"claim", Item.Call_.str(), Item.Key_.str(), Item.Position_.value()};
  case ClaimItem::Kind::Done:
    return json::array{"done", Item.Call_.str(), Item.Key_.str(), Item.Status_,
                       recordableBody(Item.Body_)};
  case ClaimItem::Kind::Released:
    break;
  }
  return json::array{"released", Item.Call_.str(), Item.Key_.str()};
}

json::value encodeEntry(const ClaimEntry &Entry) {
  return json::array{Entry.Key_.str(),     Entry.Holder_.str(),     Entry.ClaimedAt_.value(),
                     Entry.Done_,          Entry.Status_,           recordableBody(Entry.Body_),
                     Entry.Floor_.value(), Entry.ChangedAt_.value()};
}

json::object encodeSnapshot(const ClaimSnapshotPart &Part) {
  json::array Entries;
  for (const ClaimEntry &Entry : Part.Image_.Entries_)
    Entries.push_back(encodeEntry(Entry));
  json::array Observations;
  for (const TailObservation &Observation : Part.Image_.TailObservations_)
    Observations.push_back(json::array{Observation.Tail_.value(), Observation.Age_.count()});
  return {{"id", Part.Id_},
          {"part", Part.Part_},
          {"parts", Part.Parts_},
          {"tail", Part.Image_.Tail_.value()},
          {"floor", Part.Image_.Floor_.value()},
          {"marks", std::move(Observations)},
          {"entries", std::move(Entries)}};
}

std::string textAt(const json::array &From, std::size_t Index) {
  return std::string(From.at(Index).as_string());
}

LogOffset offsetOf(const json::value &Value) { return LogOffset(Value.to_number<std::int64_t>()); }

Error malformed(std::string Detail) { return Error{ErrorCode::MalformedRecord, std::move(Detail)}; }

std::optional<ClaimItem> decodeItem(const json::array &From) {
  ClaimItem Item;
  const std::string Kind = textAt(From, 0);
  Item.Call_ = RequestId(textAt(From, 1));
  Item.Key_ = IdempotencyKey(textAt(From, 2));
  if (Item.Call_.empty() || Item.Key_.empty())
    return std::nullopt;
  if (Kind == "claim") {
    Item.Position_ = offsetOf(From.at(3));
    return Item;
  }
  if (Kind == "released") {
    Item.Kind_ = ClaimItem::Kind::Released;
    return Item;
  }
  if (Kind != "done")
    return std::nullopt;
  Item.Kind_ = ClaimItem::Kind::Done;
  Item.Status_ = From.at(3).to_number<std::uint32_t>();
  Item.Body_ = textAt(From, 4);
  return Item;
}

ClaimEntry decodeEntry(const json::array &From) {
  ClaimEntry Entry;
  Entry.Key_ = IdempotencyKey(textAt(From, 0));
  Entry.Holder_ = RequestId(textAt(From, 1));
  Entry.ClaimedAt_ = offsetOf(From.at(2));
  Entry.Done_ = From.at(3).as_bool();
  Entry.Status_ = From.at(4).to_number<std::uint32_t>();
  Entry.Body_ = textAt(From, 5);
  Entry.Floor_ = offsetOf(From.at(6));
  Entry.ChangedAt_ = offsetOf(From.at(7));
  return Entry;
}

ClaimSnapshotPart decodeSnapshot(const json::object &From) {
  ClaimSnapshotPart Part;
  Part.Id_ = std::string(From.at("id").as_string());
  Part.Part_ = From.at("part").to_number<std::uint32_t>();
  Part.Parts_ = From.at("parts").to_number<std::uint32_t>();
  Part.Image_.Tail_ = offsetOf(From.at("tail"));
  Part.Image_.Floor_ = offsetOf(From.at("floor"));
  for (const json::value &Observation : From.at("marks").as_array())
    Part.Image_.TailObservations_.push_back(
        {offsetOf(Observation.as_array().at(0)),
         std::chrono::milliseconds(Observation.as_array().at(1).to_number<std::int64_t>())});
  for (const json::value &Entry : From.at("entries").as_array())
    Part.Image_.Entries_.push_back(decodeEntry(Entry.as_array()));
  return Part;
}

Result<ClaimRecord> decodeMembers(const json::object &Body) {
  ClaimRecord Record;
  if (const json::value *Items = Body.if_contains("items")) {
    for (const json::value &From : Items->as_array()) {
      std::optional<ClaimItem> Item = decodeItem(From.as_array());
      if (!Item)
        return malformed("the kind, call or key of an item is not valid");
      Record.Items_.push_back(std::move(*Item));
    }
  }
  if (const json::value *Forget = Body.if_contains("forget"))
    Record.Forget_ = ClaimForget{offsetOf(Forget->at("before")), offsetOf(Forget->at("floor"))};
  if (const json::value *Snapshot = Body.if_contains("snapshot")) {
    Record.Snapshot_ = decodeSnapshot(Snapshot->as_object());
    if (Record.Snapshot_->Part_ >= Record.Snapshot_->Parts_)
      return malformed("the part's number is not below the snapshot's number of parts");
  }
  return Record;
}

} // namespace

bool isRecordableBody(std::string_view Body) {
  return Body.size() <= MaxClaimBodyBytes && isValidUtf8(Body);
}

std::string encodeClaimRecord(const ClaimRecord &Record) {
  json::object Body{{"schema", ClaimSchema}};
  if (!Record.Items_.empty()) {
    json::array Items;
    for (const ClaimItem &Item : Record.Items_)
      Items.push_back(encodeItem(Item));
    Body["items"] = std::move(Items);
  }
  if (Record.Forget_)
    Body["forget"] = {{"before", Record.Forget_->Before_.value()},
                      {"floor", Record.Forget_->Floor_.value()}};
  if (Record.Snapshot_)
    Body["snapshot"] = encodeSnapshot(*Record.Snapshot_);
  return json::serialize(Body);
}

Result<ClaimRecord> decodeClaimRecord(std::string_view Text) {
  // Boost.JSON reports a missing or mistyped member by exception.
  try {
    const json::value Value = json::parse(Text);
    const json::object &Body = Value.as_object();
    const auto Schema = Body.at("schema").to_number<std::int64_t>();
    if (Schema != ClaimSchema)
      return Error{ErrorCode::UnknownSchema,
                   "claim record has unknown schema " + std::to_string(Schema)};
    return decodeMembers(Body);
  } catch (const std::exception &Failure) {
    return malformed(Failure.what());
  }
}

} // namespace rattancart
