#include "tests/processes/crowd.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tealshelf {

namespace {
constexpr std::size_t pieceBytes = 1u << 16, maxKeptAnswer = 64;
constexpr Ms samplePeriod{50}, connectLimit{1000};
constexpr int pollMs = 20;
/// Writes of one client in a row, so that all clients have their turn.
constexpr int maxWritesInARow = 4;
}  // namespace

Crowd::Crowd(Address to, std::size_t size, Behaviour behaviour)
    : to_(std::move(to)), behaviour_(std::move(behaviour)), clients_(size) {
  while (!behaviour_.repeated.empty() && piece_.size() < pieceBytes) piece_ += behaviour_.repeated;
  for (Client& client : clients_) connect(client);
}

Crowd::~Crowd() {
  for (Client& client : clients_)
    if (client.socket >= 0) ::close(client.socket);
}

void Crowd::connect(Client& client) {
  client = Client();
  client.socket = connectBlocking(to_, connectLimit);
  if (client.socket < 0) return;
  ++result_.connected;
  ::fcntl(client.socket, F_SETFL, ::fcntl(client.socket, F_GETFL) | O_NONBLOCK);
}

void Crowd::end(Client& client) {
  if (client.answer.empty()) ++result_.closedWithoutAnswer;
  ::close(client.socket);
  client.socket = -1;
}

bool Crowd::write(Client& client) {
  for (int turn = 0; turn < maxWritesInARow && hasMore(client); ++turn) {
    std::size_t const opening = behaviour_.opening.size();
    string_view bytes;
    if (client.sent < opening) {
      bytes = string_view(behaviour_.opening).substr(client.sent);
    } else {
      std::size_t const done = client.sent - opening;
      bytes = string_view(piece_).substr(done % behaviour_.repeated.size());
      bytes = bytes.substr(0, behaviour_.repeatedBytes - done);
    }
    ssize_t const count = ::send(client.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0) return errno == EAGAIN;
    client.sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Crowd::read(Client& client) {
  char bytes[16384];
  ssize_t const count = ::recv(client.socket, bytes, sizeof bytes, 0);
  if (count < 0) return errno == EAGAIN;
  if (count == 0) return false;
  if (client.answer.empty() && count > 12) ++result_.answers[std::atoi(bytes + 9)];
  if (client.answer.size() < maxKeptAnswer) client.answer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

void Crowd::run(Ms duration, std::function<void()> const& sample) {
  TimePoint const end = Clock::now() + duration;
  TimePoint sampleAt = Clock::now();
  while (Clock::now() < end) {
    vector<pollfd> waits;
    for (Client& client : clients_) {
      short events = 0;
      if (behaviour_.reads) events |= POLLIN;
      if (hasMore(client)) events |= POLLOUT;
      waits.push_back({client.socket, events, 0});
    }
    ::poll(waits.data(), waits.size(), pollMs);
    for (std::size_t index = 0; index < clients_.size(); ++index) {
      Client& client = clients_[index];
      bool open = client.socket >= 0;
      if (open && behaviour_.reads && (waits[index].revents & (POLLIN | POLLERR | POLLHUP))) open = read(client);
      bool const written = !open || !(waits[index].revents & POLLOUT) || write(client);
      // A refusal that arrived counts, though the peer takes no more.
      if (!written) open = behaviour_.reads && read(client) && false;
      if (open && !behaviour_.reads && (waits[index].revents & (POLLERR | POLLHUP))) open = false;
      if (!open && client.socket >= 0) this->end(client);
      if (client.socket < 0 && behaviour_.returns) connect(client);
    }
    if (Clock::now() < sampleAt) continue;
    sample();
    sampleAt = Clock::now() + samplePeriod;
  }
}

CrowdResult Crowd::result() const {
  CrowdResult result = result_;
  for (Client const& client : clients_) result.open += client.socket >= 0;
  return result;
}

}  // namespace tealshelf
