#include "Net/FrameCodec.h"

#include "Core/Common/ErrorCode.h"

namespace rattancart {

std::vector<std::uint8_t> encodeFrame(const wire::FrameT &Frame) {
  flatbuffers::FlatBufferBuilder Builder(256);
  Builder.Finish(wire::Frame::Pack(Builder, &Frame));
  return {Builder.GetBufferPointer(), Builder.GetBufferPointer() + Builder.GetSize()};
}

Result<std::unique_ptr<wire::FrameT>> decodeFrame(std::span<const std::uint8_t> Payload) {
  flatbuffers::Verifier Verifier(Payload.data(), Payload.size());
  if (!wire::VerifyFrameBuffer(Verifier))
    return Error{ErrorCode::MalformedFrame, "the frame does not verify"};
  std::unique_ptr<wire::FrameT> Frame(wire::GetFrame(Payload.data())->UnPack());
  // The verifier accepts a payload that has a type but no table.
  if (Frame->payload.type == wire::Payload::NONE || !Frame->payload.value)
    return Error{ErrorCode::MalformedFrame, "the frame has no payload"};
  return Frame;
}

} // namespace rattancart
