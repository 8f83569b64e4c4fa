#pragma once
#include <string>
#include <string_view>

/// The log of a process: one short line per event, with the component that logs it.
namespace tealshelf {

enum class LogLevel { debug, info, warning, error };

/// Sets up the log of this process; later calls change only the minimum level. Messages below it are dropped.
void initLogging(LogLevel minimum);
/// Parses the name of a level; false if it is unknown.
bool parseLogLevel(std::string_view name, LogLevel& level);

void log(LogLevel level, std::string_view component, std::string const& text);
inline void logDebug(std::string_view component, std::string const& text) {
  log(LogLevel::debug, component, text);
}
inline void logInfo(std::string_view component, std::string const& text) {
  log(LogLevel::info, component, text);
}
inline void logWarning(std::string_view component, std::string const& text) {
  log(LogLevel::warning, component, text);
}
inline void logError(std::string_view component, std::string const& text) {
  log(LogLevel::error, component, text);
}

}  // namespace tealshelf
