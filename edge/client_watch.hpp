#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// Notices that a client closes its connection while its request is under way.
///
/// A client that ends its sending only looks the same; where that matters the caller must not rely on it. Once the next
/// request has come in behind the present one, the end of the connection is no longer seen. The socket must outlive it.
class ClientWatch {
 public:
  explicit ClientWatch(tcp::socket& socket);
  ~ClientWatch() { state_->socket = nullptr; }
  ClientWatch(ClientWatch const&) = delete;
  ClientWatch& operator=(ClientWatch const&) = delete;

  bool clientDisconnected() const { return state_->gone; }
  /// Called once, at the moment at which the client goes; empty: nothing is.
  void onDisconnect(std::function<void()> callback) { state_->onDisconnect = std::move(callback); }

 private:
  struct State {
    tcp::socket* socket = nullptr;  ///< null once the watch is gone
    bool gone = false;
    std::function<void()> onDisconnect;
  };
  static void wait(std::shared_ptr<State> state);

  std::shared_ptr<State> state_ = std::make_shared<State>();
};

}  // namespace tealshelf
