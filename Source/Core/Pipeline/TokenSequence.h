#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattancart {

/// The tokens of a prompt and its answer, stored in one buffer. Thread safety: as std::string.
class TokenSequence {
public:
  void append(std::string_view Token) {
    Text_.append(Token);
    Ends_.push_back(static_cast<std::uint32_t>(Text_.size()));
  }
  /// The token at Index. Precondition: Index < size().
  std::string_view at(std::size_t Index) const {
    const std::size_t Begin = Index == 0 ? 0 : Ends_[Index - 1];
    return std::string_view(Text_).substr(Begin, Ends_[Index] - Begin);
  }
  std::uint32_t size() const { return static_cast<std::uint32_t>(Ends_.size()); }
  /// The bytes that the sequence uses on the heap, without the allocator's overhead.
  std::size_t heapBytes() const {
    return Text_.capacity() + Ends_.capacity() * sizeof(std::uint32_t);
  }

private:
  std::string Text_;
  std::vector<std::uint32_t> Ends_;
};

} // namespace rattancart
