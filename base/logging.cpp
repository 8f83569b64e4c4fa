#include "base/tealshelf.hpp"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace tealshelf {

namespace {
namespace boost_log = boost::log;

struct LevelNames {
  LogLevel level;
  std::string_view name, prefix;  ///< on the command line, and at the start of a log line
};
constexpr LevelNames levelNames[] = {{LogLevel::debug, "debug", "D"},
                                     {LogLevel::info, "info", "I"},
                                     {LogLevel::warning, "warning", "W"},
                                     {LogLevel::error, "error", "E"}};

LogLevel minimumLevel = LogLevel::info;

boost_log::sources::severity_logger<int>& logger() {
  static boost_log::sources::severity_logger<int> instance;
  return instance;
}
}  // namespace

void initLogging(LogLevel minimum) {
  minimumLevel = minimum;
  static bool hasSink = false;
  if (std::exchange(hasSink, true)) return;
  boost_log::add_console_log(
      std::cerr, boost_log::keywords::format = (boost_log::expressions::stream << boost_log::expressions::smessage),
      boost_log::keywords::auto_flush = true);
}

void log(LogLevel level, std::string_view component, std::string const& text) {
  if (level < minimumLevel) return;
  int const severity = static_cast<int>(level);
  BOOST_LOG_SEV(logger(), severity) << levelNames[severity].prefix << " " << component << ": " << text;
}

bool parseLogLevel(std::string_view name, LogLevel& level) {
  for (LevelNames const& entry : levelNames)
    if (entry.name == name) {
      level = entry.level;
      return true;
    }
  return false;
}

}  // namespace tealshelf
