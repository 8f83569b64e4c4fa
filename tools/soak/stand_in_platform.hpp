#pragma once
#include "tools/soak/http_call.hpp"
#include "tools/soak/platform_ledger.hpp"
#include "tools/soak/random.hpp"
#include "wire/listener.hpp"

#include <csignal>

namespace tealshelf::soak {

/// What the stand-in of the platform is told.
struct PlatformOptions {
  string at;  ///< IP:PORT
  std::uint64_t seed = 1;
  double callsPerSecond = 20;
  int leaseMs = 1500;
  /// Else it is busy, silent, slow and resets connections for a while, now and then, until it gets `recoverySignal`.
  bool neverMisbehaves = false;
};

/// How calls are treated for a while.
enum class PlatformBehavior { normal, busy, silent, resets, slow };

/// Ends all misbehaviour of the process for good.
constexpr int recoverySignal = SIGUSR1;

/// The command that starts the process.
constexpr char const* platformCommand = "platform";

/// The platform of the soak, in a process of its own: takes the calls of the duties, misbehaves in turns, and checks
/// the rule ONE. It prints a line for each violation (`FAILED ...`) and, with the time since its start, for each call
/// that it took or didn't take and for each change of how it treats calls.
class StandInPlatform {
 public:
  StandInPlatform(asio::io_context& io, PlatformOptions const& options);
  void start();

 private:
  Task<void> changeBehavior();
  /// Waits for the signal that makes it well for good.
  Task<void> awaitRecovery();
  Task<void> serve(std::shared_ptr<tcp::socket> socket);
  Task<void> answer(tcp::socket& socket, HttpRequest const& request);
  int statusFor(HttpRequest const& request);
  /// Prints a line that begins with the time since the start.
  void print(string const& text) const;
  int take(DutyCall const& call);

  asio::io_context& io_;
  PlatformOptions options_;
  Random random_;
  PlatformLedger ledger_;
  Listener listener_;
  TimePoint const startedAt_ = Clock::now();
  PlatformBehavior behavior_ = PlatformBehavior::normal;
  std::deque<TimePoint> calls_;  ///< of the last second
};

/// The main function of that process.
int runPlatform(PlatformOptions const& options);

}  // namespace tealshelf::soak
