#include "edge/client_watch.hpp"

#include <sys/socket.h>

namespace tealshelf {

namespace {
enum class Input { none, bytes, end };

Input pendingInput(tcp::socket& socket) {
  char byte = 0;
  ssize_t const received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) return Input::bytes;
  bool const nothing = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return nothing ? Input::none : Input::end;
}
}  // namespace

ClientWatch::ClientWatch(tcp::socket& socket) {
  state_->socket = &socket;
  wait(state_);
}

void ClientWatch::wait(std::shared_ptr<State> state) {
  tcp::socket& socket = *state->socket;
  socket.async_wait(tcp::socket::wait_read, [state = std::move(state)](error_code error) {
    if (error || !state->socket || !state->socket->is_open()) return;
    Input const input = pendingInput(*state->socket);
    if (input == Input::none) return wait(state);
    if (input == Input::bytes) return;
    state->gone = true;
    if (state->onDisconnect) std::exchange(state->onDisconnect, nullptr)();
  });
}

}  // namespace tealshelf
