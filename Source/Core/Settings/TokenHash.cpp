#include "Core/Settings/TokenHash.h"

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <cstddef>

namespace rattancart {

namespace {

/// The UUID namespace that separates these hashes from other name-based UUIDs.
constexpr boost::uuids::uuid Namespace{{0x7c, 0x1d, 0x0b, 0x52, 0x4e, 0x1a, 0x4b, 0x0c, 0x9a, 0x3f,
                                        0x5b, 0x60, 0x21, 0xd8, 0x8e, 0x47}};

} // namespace

std::string tokenHash(std::string_view Token) {
  boost::uuids::name_generator_sha1 Generator(Namespace);
  return boost::uuids::to_string(Generator(Token.data(), Token.size()));
}

bool matchesTokenHash(std::string_view Token, std::string_view Hash) {
  const std::string Actual = tokenHash(Token);
  if (Actual.size() != Hash.size())
    return false;
  unsigned Difference = 0;
  for (std::size_t I = 0; I < Actual.size(); ++I)
    Difference |= static_cast<unsigned char>(Actual[I]) ^ static_cast<unsigned char>(Hash[I]);
  return Difference == 0;
}

} // namespace rattancart
