#pragma once
#include <string>
#include <string_view>

namespace tealshelf {

enum class Level { debug, info, warning, error };

/// Sets the log up for this process; below the level nothing is written.
void startLog(Level least);
/// Writes one short sentence with the prefix of a part.
void say(Level l, std::string_view part, std::string const& text);
inline void tell(std::string_view part, std::string const& text) {
  say(Level::info, part, text);
}
inline void warn(std::string_view part, std::string const& text) {
  say(Level::warning, part, text);
}
/// Reads the name of a level; info if it is unknown.
bool readLevel(std::string_view s, Level& out);

}  // namespace tealshelf
