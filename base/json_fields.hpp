#pragma once
#include "base/tealshelf.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

/// Writers for fields of the JSON reports that processes serve to the status commands.
namespace tealshelf {

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

inline void writeField(JsonWriter& writer, char const* name, string_view value) {
  writer.Key(name);
  writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}
inline void writeField(JsonWriter& writer, char const* name, std::uint64_t value) {
  writer.Key(name);
  writer.Uint64(value);
}
inline void writeReal(JsonWriter& writer, char const* name, double value) {
  writer.Key(name);
  writer.Double(value);
}

}  // namespace tealshelf
