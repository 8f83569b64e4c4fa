#pragma once
#include "tools/soak/http_call.hpp"
#include "tools/soak/platform_ledger.hpp"
#include "tools/soak/random.hpp"
#include "wire/listener.hpp"

#include <csignal>

namespace tealshelf::soak {

/// Settings of the stand-in platform.
struct PlatformOptions {
  string at;  ///< IP:PORT
  std::uint64_t seed = 1;
  double callsPerSecond = 20;
  int leaseMs = 1500;
  /// If false, it is at times busy, silent or slow, or resets connections, until it receives `recoverySignal`.
  bool neverMisbehaves = false;
};

/// How the platform currently handles calls.
enum class PlatformBehavior { normal, busy, silent, resets, slow };

/// Makes the process answer normally from then on.
constexpr int recoverySignal = SIGUSR1;

/// Subcommand that starts the platform process.
constexpr char const* platformCommand = "platform";

/// Stand-in for the platform, in a process of its own: accepts the calls of the duties, misbehaves at times, and checks
/// the rule ONE. It prints a line for each violation (`FAILED ...`) and, with the time since its start, for each call
/// that it accepts or rejects and for each change of its behavior.
class StandInPlatform {
 public:
  StandInPlatform(asio::io_context& io, PlatformOptions const& options);
  void start();

 private:
  Task<void> changeBehavior();
  /// Waits for `recoverySignal`.
  Task<void> awaitRecovery();
  Task<void> serve(std::shared_ptr<tcp::socket> socket);
  Task<void> answer(tcp::socket& socket, HttpRequest const& request);
  int statusFor(HttpRequest const& request);
  /// Prints a line prefixed with the time since the start.
  void print(string const& text) const;
  int acceptCall(DutyCall const& call);

  asio::io_context& io_;
  PlatformOptions options_;
  Random random_;
  PlatformLedger ledger_;
  Listener listener_;
  TimePoint const startedAt_ = Clock::now();
  PlatformBehavior behavior_ = PlatformBehavior::normal;
  std::deque<TimePoint> calls_;  ///< times of the calls of the last second
};

/// Main function of the platform process.
int runPlatform(PlatformOptions const& options);

}  // namespace tealshelf::soak
