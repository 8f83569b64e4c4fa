#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// Detects that a client closes its connection while its request is in progress.
///
/// A half-close (the client shuts down its sending side only) looks the same; a caller for whom the difference matters
/// must not rely on it. Once bytes of a pipelined request have arrived, a close is no longer detected. The socket must
/// outlive the watch.
class ClientWatch {
 public:
  explicit ClientWatch(tcp::socket& socket);
  ~ClientWatch() { state_->socket = nullptr; }
  ClientWatch(ClientWatch const&) = delete;
  ClientWatch& operator=(ClientWatch const&) = delete;

  bool clientDisconnected() const { return state_->gone; }
  /// Sets a function to call once when the client disconnects; empty: none.
  void onDisconnect(std::function<void()> callback) { state_->onDisconnect = std::move(callback); }

 private:
  struct State {
    tcp::socket* socket = nullptr;  ///< null once the watch is destroyed
    bool gone = false;
    std::function<void()> onDisconnect;
  };
  static void wait(std::shared_ptr<State> state);

  std::shared_ptr<State> state_ = std::make_shared<State>();
};

}  // namespace tealshelf
