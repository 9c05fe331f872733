#include "Core/Membership/EndpointListing.h"

#include <string_view>

namespace rattancart {

namespace {

/// FNV-1a with 64 bits.
class Digest {
public:
  void add(std::uint64_t Number) {
    for (int Shift = 0; Shift < 64; Shift += 8)
      addByte(static_cast<unsigned char>(Number >> Shift));
  }
  void add(std::string_view Text) {
    add(Text.size());
    for (const char Byte : Text)
      addByte(static_cast<unsigned char>(Byte));
  }
  std::uint64_t value() const { return Value_; }

private:
  void addByte(unsigned char Byte) { Value_ = (Value_ ^ Byte) * 0x100000001b3U; }

  std::uint64_t Value_ = 0xcbf29ce484222325U;
};

} // namespace

std::uint64_t digestOf(const EndpointListing &Listing) {
  Digest Sum;
  Sum.add(Listing.Id_.str());
  Sum.add(Listing.Service_.str());
  Sum.add(Listing.Address_.str());
  Sum.add(Listing.DataCenter_.str());
  Sum.add(static_cast<std::uint64_t>(Listing.State_));
  Sum.add(Listing.Run_.value());
  Sum.add(Listing.Slots_);
  Sum.add(Listing.Kind_);
  Sum.add(Listing.Layers_.Begin_);
  Sum.add(Listing.Layers_.End_);
  return Sum.value();
}

} // namespace rattancart
