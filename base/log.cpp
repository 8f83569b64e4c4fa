#include "base/tealshelf.hpp"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace tealshelf {

namespace {
namespace lg = boost::log;
Level least = Level::info;
lg::sources::severity_logger<int>& source() {
  static lg::sources::severity_logger<int> s;
  return s;
}
}  // namespace

void startLog(Level l) {
  least = l;
  lg::add_console_log(std::cerr, lg::keywords::format = (lg::expressions::stream << lg::expressions::smessage),
                      lg::keywords::auto_flush = true);
}

void say(Level l, std::string_view part, std::string const& text) {
  if (l < least) return;
  constexpr std::string_view marks[] = {"D", "I", "W", "E"};
  BOOST_LOG_SEV(source(), static_cast<int>(l)) << marks[static_cast<int>(l)] << " " << part << ": " << text;
}

bool readLevel(std::string_view s, Level& out) {
  constexpr std::string_view names[] = {"debug", "info", "warning", "error"};
  for (int i = 0; i < 4; ++i)
    if (names[i] == s) {
      out = static_cast<Level>(i);
      return true;
    }
  return false;
}

}  // namespace tealshelf
