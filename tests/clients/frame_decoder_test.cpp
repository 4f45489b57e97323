// FrameDecoder: frames received in pieces of any size, the length limit, and the memory of partial frames.
#include "clients/frame_decoder.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace peargrade::clients {
namespace {

TEST(FrameDecoder, DecodesTheSameFramesFromPiecesOfAnySize) {
  const std::string bytes = encodeFrame("one") + encodeFrame("") + encodeFrame(std::string(70000, 'x'));
  for (std::size_t piece : {std::size_t{1}, std::size_t{3}, std::size_t{4096}, bytes.size()}) {
    FrameDecoder decoder;
    std::vector<std::size_t> sizes;
    std::string frame;
    for (std::size_t offset = 0; offset < bytes.size(); offset += piece) {
      decoder.append(bytes.data() + offset, std::min(piece, bytes.size() - offset));
      while (decoder.next(frame) == FrameDecoder::Result::Frame) sizes.push_back(frame.size());
    }
    EXPECT_EQ(sizes, (std::vector<std::size_t>{3, 0, 70000})) << "pieces of " << piece;
    EXPECT_EQ(decoder.bufferedBytes(), 0u);
  }
}

TEST(FrameDecoder, RejectsALengthOverOneMiBBeforeTheBodyArrives) {
  FrameDecoder decoder;
  std::string frame;
  decoder.append("\x00\x10\x00\x00", 4);
  EXPECT_EQ(decoder.next(frame), FrameDecoder::Result::NeedMoreData);
  FrameDecoder over;
  over.append("\x00\x10\x00\x01", 4);
  EXPECT_EQ(over.next(frame), FrameDecoder::Result::TooLong);
}

// If the decoder kept its buffer, each connection would hold the memory of its longest message until it
// closed.
TEST(FrameDecoder, ReleasesTheMemoryOfALongFrame) {
  FrameDecoder decoder;
  const std::string bytes = encodeFrame(std::string(1 << 20, 'x'));
  std::string frame;
  decoder.append(bytes.data(), bytes.size() - 1);
  EXPECT_EQ(decoder.next(frame), FrameDecoder::Result::NeedMoreData);
  decoder.releaseIfDrained();
  EXPECT_GE(decoder.bufferedBytes(), bytes.size() - 1) << "a partial frame keeps its memory";
  decoder.append(bytes.data() + bytes.size() - 1, 1);
  EXPECT_EQ(decoder.next(frame), FrameDecoder::Result::Frame);
  EXPECT_EQ(frame.size(), std::size_t{1} << 20);
  decoder.releaseIfDrained();
  EXPECT_EQ(decoder.bufferedBytes(), 0u);
  decoder.append(bytes.data(), 5);
  EXPECT_LT(decoder.bufferedBytes(), 100u) << "the memory of the first frame is released";
}

}  // namespace
}  // namespace peargrade::clients
