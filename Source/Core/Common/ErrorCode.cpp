#include "Core/Common/ErrorCode.h"

#include <algorithm>
#include <array>
#include <string>

namespace rattancart {

namespace {

constexpr auto Table = std::to_array<ErrorInfo>({
#define RATTANCART_ERROR(Number, Name, Exit, Text) {ErrorCode::Name, #Name, Exit, Text},
#include "Core/Common/ErrorCodes.def"
#undef RATTANCART_ERROR
});

class Category final : public std::error_category {
public:
  const char *name() const noexcept override { return "rattancart"; }
  std::string message(int Number) const override {
    return std::string(errorInfo(static_cast<ErrorCode>(Number)).Text_);
  }
};

} // namespace

std::span<const ErrorInfo> errorTable() { return Table; }

const ErrorInfo &errorInfo(ErrorCode Code) {
  static constexpr ErrorInfo Unknown{ErrorCode{}, "Unknown", 1, "unknown error"};
  const auto *Found =
      std::lower_bound(Table.begin(), Table.end(), Code,
                       [](const ErrorInfo &Info, ErrorCode Wanted) { return Info.Code_ < Wanted; });
  if (Found == Table.end() || Found->Code_ != Code)
    return Unknown;
  return *Found;
}

const std::error_category &errorCategory() {
  static const Category Instance;
  return Instance;
}

std::error_code make_error_code(ErrorCode Code) {
  return {static_cast<int>(Code), errorCategory()};
}

} // namespace rattancart
