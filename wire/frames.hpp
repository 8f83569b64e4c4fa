#pragma once
#include "wire/rpc.hpp"

/// Frames on connections between tealshelf processes, used by client and server.
namespace tealshelf::wire {

inline constexpr std::size_t maxFrameBytes = 64u << 20;
inline constexpr std::size_t maxBatchBytes = 1u << 18;  ///< limit of one write, except for a single larger frame

enum class FrameKind : std::uint8_t { call = 0, reply = 1, error = 2, message = 3, hello = 4, welcome = 5 };

/// Wire format of an error.
struct WireError {
  int code = 0;
  string text;
  MSGPACK_DEFINE(code, text)
};

struct FrameHeader {
  static constexpr std::size_t bytes = 4 + 8 + 2 + 1;
  std::uint32_t bodySize = 0;
  std::uint64_t callId = 0;  ///< 0 in one-way messages
  std::uint16_t method = 0;
  FrameKind kind = FrameKind::call;
};

/// Encodes a frame: the header fields in the order of their declaration, then the body.
inline string encodeFrame(std::uint64_t callId, RpcMethod method, FrameKind kind, string_view body) {
  string frame(FrameHeader::bytes, '\0');
  std::uint32_t const size = static_cast<std::uint32_t>(body.size());
  std::uint16_t const number = static_cast<std::uint16_t>(method);
  std::memcpy(&frame[0], &size, 4);
  std::memcpy(&frame[4], &callId, 8);
  std::memcpy(&frame[12], &number, 2);
  frame[14] = static_cast<char>(kind);
  frame.append(body);
  return frame;
}

/// Encodes the frame that replies to a call with an error.
inline string encodeError(std::uint64_t callId, RpcMethod method, Error const& error) {
  string const body = serialize(WireError{static_cast<int>(error.code()), error.what()});
  return encodeFrame(callId, method, FrameKind::error, body);
}

inline FrameHeader decodeHeader(char const* bytes) {
  FrameHeader header;
  std::memcpy(&header.bodySize, bytes, 4);
  std::memcpy(&header.callId, bytes + 4, 8);
  std::memcpy(&header.method, bytes + 12, 2);
  header.kind = static_cast<FrameKind>(bytes[14]);
  return header;
}

/// Reads frames from a socket through a buffer, with as few reads as possible.
class FrameReader {
 public:
  /// Asked with the number of bytes kept, when more of a frame arrive; if it returns false, reading ends. May be empty.
  std::function<bool(std::size_t)> mayKeep;

  /// Reads the next frame; false if the connection ended or the frame is too large.
  Task<bool> next(tcp::socket& socket, FrameHeader& header, string& body, std::size_t maxBytes = maxFrameBytes) {
    bool available = co_await fill(socket, FrameHeader::bytes);
    if (!available) co_return false;
    header = decodeHeader(buffer_.data() + position_);
    position_ += FrameHeader::bytes;
    if (header.bodySize > maxBytes) co_return false;
    available = co_await fill(socket, header.bodySize);
    if (!available) co_return false;
    body.assign(buffer_, position_, header.bodySize);
    position_ += header.bodySize;
    if (position_ == buffer_.size()) releaseBuffer();
    co_return true;
  }
  /// Bytes of frames that weren't returned yet.
  std::size_t keptBytes() const { return buffer_.size() - position_; }

 private:
  static constexpr std::size_t minRead = 4096;
  static constexpr std::size_t maxRead = 1u << 16;
  static constexpr std::size_t maxIdleBuffer = 1u << 14;

  void releaseBuffer() {
    buffer_.clear();
    position_ = 0;
    if (buffer_.capacity() > maxIdleBuffer) buffer_.shrink_to_fit();
  }

  Task<bool> fill(tcp::socket& socket, std::size_t required) {
    while (buffer_.size() - position_ < required) {
      buffer_.erase(0, position_);
      position_ = 0;
      std::size_t const present = buffer_.size();
      std::size_t const room = std::clamp(required - present, minRead, maxRead);
      buffer_.resize(present + room);
      error_code error;
      std::size_t const received = co_await socket.async_read_some(asio::buffer(&buffer_[present], room),
                                                                   asio::redirect_error(asio::use_awaitable, error));
      buffer_.resize(present + received);
      if (error) co_return false;
      if (mayKeep && !mayKeep(buffer_.size())) co_return false;
    }
    co_return true;
  }

  string buffer_;
  std::size_t position_ = 0;
};

}  // namespace tealshelf::wire
