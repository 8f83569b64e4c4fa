#include "traffic/connection_pool.hpp"

#include <sys/socket.h>

namespace tealshelf {

bool WorkerConnection::isOpenWithoutInput() {
  if (!socket.is_open() || buffer.size()) return false;
  char byte = 0;
  ssize_t const received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool WorkerConnection::hasFailed(string_view attempt) const {
  return std::find(failedAttempts.begin(), failedAttempts.end(), hash64(attempt)) != failedAttempts.end();
}

std::unique_ptr<WorkerConnection> ConnectionPool::acquire(Worker const& worker, bool mayRepeat, string_view attempt) {
  vector<std::unique_ptr<WorkerConnection>>& idle = idleOf(worker.id).connections;
  for (std::size_t index = idle.size(); index-- > 0;) {
    TimePoint const now = Clock::now();
    WorkerConnection const& candidate = *idle[index];
    bool const expired = now >= candidate.keepUntil;
    bool const reusable = mayRepeat || now - candidate.idleSince <= safeIdleTime_.value();
    // All that precede it have been idle for longer.
    if (!expired && !reusable) break;
    if (!expired && candidate.hasFailed(attempt)) continue;
    std::unique_ptr<WorkerConnection> connection = std::move(idle[index]);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(index));
    if (!expired && connection->isOpenWithoutInput()) return connection;
  }
  return create();
}

std::unique_ptr<WorkerConnection> ConnectionPool::create() {
  if (!overloadManager().hasRoomForWorkerConnection()) closeLongestIdle();
  if (!overloadManager().hasRoomForWorkerConnection()) return nullptr;
  return std::make_unique<WorkerConnection>(io_);
}

void ConnectionPool::closeLongestIdle() {
  vector<std::unique_ptr<WorkerConnection>>* longest = nullptr;
  for (auto& [worker, idle] : idle_) {
    if (idle.connections.empty()) continue;
    bool const isOlder = !longest || idle.connections.front()->idleSince < longest->front()->idleSince;
    if (isOlder) longest = &idle.connections;
  }
  if (longest) longest->erase(longest->begin());
}

void ConnectionPool::release(string const& worker, std::unique_ptr<WorkerConnection> connection) {
  connection->idleSince = Clock::now();
  IdleConnections& idle = idleOf(worker);
  idle.connections.push_back(std::move(connection));
  trim(idle);
}

void ConnectionPool::trim(IdleConnections& idle) {
  std::size_t const count = idle.connections.size();
  std::uint64_t const most = std::min<std::uint64_t>(count, idle.limit.value(Clock::now()));
  idle.connections.erase(idle.connections.begin(),
                         idle.connections.begin() + static_cast<std::ptrdiff_t>(count - most));
}

std::size_t ConnectionPool::idleCount(string const& worker) const {
  auto const idle = idle_.find(worker);
  return idle == idle_.end() ? 0 : idle->second.connections.size();
}

void ConnectionPool::noteReset(string const& worker) {
  IdleConnections& idle = idleOf(worker);
  idle.limit.noteReset(idle.connections.size(), Clock::now());
  trim(idle);
}

void ConnectionPool::sweep(FleetView const& view) {
  TimePoint const now = Clock::now();
  std::erase_if(idle_, [&view](auto const& item) { return !view.find(item.first); });
  std::shared_ptr<Configuration const> const configuration = view.configuration();
  for (auto& [id, idle] : idle_) {
    std::erase_if(idle.connections, [now](auto const& connection) { return now >= connection->keepUntil; });
    if (!configuration) continue;
    auto const service = configuration->services.find(view.find(id)->service);
    if (service != configuration->services.end()) idle.limit.setMaxConnections(service->second.maxConnections);
    trim(idle);
  }
}

}  // namespace tealshelf
