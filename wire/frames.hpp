#pragma once
#include "wire/rpc.hpp"

/// Frames of the links between the system's own processes, used by both ends.
namespace tealshelf::wire {

inline constexpr std::size_t headBytes = 4 + 8 + 2 + 1;
inline constexpr std::size_t mostBytes = 64u << 20;
inline constexpr std::size_t mostAtOnce = 1u << 18;  ///< bytes that are written in one go, but for a larger frame
/// What a frame is.
enum class Sort : std::uint8_t { call = 0, reply = 1, error = 2, cast = 3, hello = 4, welcome = 5 };

/// An error as it goes over the wire.
struct WireError {
  int code = 0;
  string text;
  MSGPACK_DEFINE(code, text)
};

/// Head of a frame.
struct Head {
  std::uint32_t size = 0;
  std::uint64_t id = 0;
  std::uint16_t method = 0;
  Sort sort = Sort::call;
};
/// One frame: a head and a body.
inline string frame(std::uint64_t id, std::uint16_t m, Sort s, string_view body) {
  string f(headBytes, '\0');
  std::uint32_t const n = static_cast<std::uint32_t>(body.size());
  std::memcpy(&f[0], &n, 4);
  std::memcpy(&f[4], &id, 8);
  std::memcpy(&f[12], &m, 2);
  f[14] = static_cast<char>(s);
  f.append(body);
  return f;
}
/// The frame that answers a call with an error.
inline string errorFrame(std::uint64_t id, Method m, Error const& x) {
  string const body = packed(WireError{static_cast<int>(x.code()), x.what()});
  return frame(id, static_cast<std::uint16_t>(m), Sort::error, body);
}
inline Head readHead(char const* p) {
  Head h;
  std::memcpy(&h.size, p, 4);
  std::memcpy(&h.id, p + 4, 8);
  std::memcpy(&h.method, p + 12, 2);
  h.sort = static_cast<Sort>(p[14]);
  return h;
}
/// Reads frames off a socket with as few calls as possible.
class FrameReader {
 public:
  Task<bool> next(tcp::socket& s, Head& h, string& body) {
    bool ok = co_await fill(s, headBytes);
    if (!ok) co_return false;
    h = readHead(buf_.data() + at_);
    at_ += headBytes;
    if (h.size > mostBytes) co_return false;
    ok = co_await fill(s, h.size);
    if (!ok) co_return false;
    body.assign(buf_, at_, h.size);
    at_ += h.size;
    if (at_ == buf_.size()) {
      buf_.clear();
      at_ = 0;
      if (buf_.capacity() > (1u << 16)) buf_.shrink_to_fit();
    }
    co_return true;
  }

 private:
  Task<bool> fill(tcp::socket& s, std::size_t n) {
    while (buf_.size() - at_ < n) {
      if (at_) {
        buf_.erase(0, at_);
        at_ = 0;
      }
      std::size_t const had = buf_.size();
      std::size_t const room = std::max<std::size_t>(4096, n - had);
      buf_.resize(had + room);
      error_code e;
      std::size_t const got =
          co_await s.async_read_some(asio::buffer(&buf_[had], room), asio::redirect_error(asio::use_awaitable, e));
      buf_.resize(had + got);
      if (e) co_return false;
    }
    co_return true;
  }
  string buf_;
  std::size_t at_ = 0;
};

}  // namespace tealshelf::wire
