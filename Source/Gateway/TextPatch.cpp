#include "Gateway/TextPatch.h"

#include "Core/Common/ErrorCode.h"

#include <algorithm>
#include <bit>
#include <memory>
#include <zstd.h>

namespace rattancart {

namespace {

/// Limits of the window, as a power of two. It has to cover the base and the text.
constexpr int MinWindowLog = 17;
constexpr int MaxWindowLog = 26;
/// A fast level: gateways may have a small part of a core.
constexpr int Level = 1;

Error patchError(const char *Reason) { return {ErrorCode::PatchFailed, Reason}; }

int windowLog(std::size_t Bytes) {
  return std::clamp(static_cast<int>(std::bit_width(Bytes)), MinWindowLog, MaxWindowLog);
}

} // namespace

Result<std::string> compressWith(std::string_view Base, std::string_view Text) {
  const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> Context(ZSTD_createCCtx(),
                                                                     &ZSTD_freeCCtx);
  if (!Context)
    return patchError("no memory");
  ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_compressionLevel, Level);
  ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_windowLog, windowLog(Base.size() + Text.size()));
  ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_enableLongDistanceMatching, 1);
  ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_refPrefix(Context.get(), Base.data(), Base.size());
  std::string Frame(ZSTD_compressBound(Text.size()), '\0');
  const std::size_t Size =
      ZSTD_compress2(Context.get(), Frame.data(), Frame.size(), Text.data(), Text.size());
  if (ZSTD_isError(Size))
    return patchError(ZSTD_getErrorName(Size));
  Frame.resize(Size);
  Frame.shrink_to_fit();
  return Frame;
}

Result<std::string> restoreWith(std::string_view Base, std::string_view Frame,
                                std::size_t MaxBytes) {
  const unsigned long long Stated = ZSTD_getFrameContentSize(Frame.data(), Frame.size());
  if (Stated == ZSTD_CONTENTSIZE_ERROR || Stated == ZSTD_CONTENTSIZE_UNKNOWN || Stated > MaxBytes)
    return patchError("the frame states no size, or one that is too large");
  const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> Context(ZSTD_createDCtx(),
                                                                     &ZSTD_freeDCtx);
  if (!Context)
    return patchError("no memory");
  ZSTD_DCtx_setParameter(Context.get(), ZSTD_d_windowLogMax, MaxWindowLog);
  ZSTD_DCtx_refPrefix(Context.get(), Base.data(), Base.size());
  std::string Text(static_cast<std::size_t>(Stated), '\0');
  const std::size_t Size =
      ZSTD_decompressDCtx(Context.get(), Text.data(), Text.size(), Frame.data(), Frame.size());
  if (ZSTD_isError(Size))
    return patchError(ZSTD_getErrorName(Size));
  if (Size != Text.size())
    return patchError("the frame is incomplete");
  return Text;
}

} // namespace rattancart
