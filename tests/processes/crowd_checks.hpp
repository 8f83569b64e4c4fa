#pragma once
#include "tests/processes/crowd.hpp"

#include <CppUTest/TestHarness.h>

namespace tealshelf {

/// A crowd at one listener, and how long it is watched.
struct CrowdPlay {
  ProcessRig::Role role;
  Address to;
  std::size_t size;
  Behaviour behaviour;
  Ms duration{3000};
};

/// Descriptors that a process keeps for files outside its data folder.
constexpr int reservedDescriptors = 200;
constexpr std::size_t megabyte = 1u << 20;
/// What each client of a crowd sends of something that never ends.
constexpr std::size_t endlessBytes = 4 * megabyte;

/// Limits of which a few hundred connections take all descriptors.
inline RigLimits fewDescriptors() {
  RigLimits limits;
  limits.openFiles = 600;
  return limits;
}

inline void checkUse(ProcessRig& rig, ProcessRig::Role role, PeakUse const& peak) {
  string const seen =
      std::to_string(peak.bytes / megabyte) + " MB, " + std::to_string(peak.descriptors) + " descriptors at the peak";
  UT_PRINT(seen.c_str());
  CHECK_TEXT(rig.isAlive(role), "the process lives");
  CHECK_TEXT(peak.bytes <= static_cast<std::size_t>(rig.limits().memoryMb) * megabyte, seen.c_str());
  CHECK_TEXT(peak.descriptors <= static_cast<std::size_t>(rig.limits().openFiles - reservedDescriptors), seen.c_str());
}

/// Plays a crowd; checks that the process lives within its limits, and that ordinary requests are answered while the
/// crowd is there and once it has gone.
inline CrowdResult playCrowd(ProcessRig& rig, CrowdPlay const& play, std::function<bool()> const& servesOrdinary) {
  PeakUse peak;
  CrowdResult result;
  std::function<void()> const sample = [&] { peak.note(rig.useOf(play.role)); };
  {
    Crowd crowd(play.to, play.size, play.behaviour);
    crowd.run(play.duration, sample);
    CHECK_TEXT(servesOrdinary(), "an ordinary request is answered beside the crowd");
    sample();
    result = crowd.result();
  }
  CHECK_TEXT(servesOrdinary(), "an ordinary request is answered after the crowd");
  sample();
  string seen = std::to_string(result.connected) + " connected, " + std::to_string(result.open) + " open, " +
                std::to_string(result.closedWithoutAnswer) + " closed without an answer";
  for (auto const& [status, count] : result.answers)
    seen += ", " + std::to_string(count) + " x " + std::to_string(status);
  UT_PRINT(seen.c_str());
  checkUse(rig, play.role, peak);
  return result;
}

/// The text `unit`, as often as fits into `bytes`.
inline string repeated(string const& unit, std::size_t bytes) {
  string text;
  while (text.size() + unit.size() <= bytes) text += unit;
  return text;
}

/// A chunk of a body, of `size` bytes.
inline string chunkOf(std::size_t size) {
  char length[20];
  std::snprintf(length, sizeof length, "%zx\r\n", size);
  return length + string(size, 'b') + "\r\n";
}

}  // namespace tealshelf
