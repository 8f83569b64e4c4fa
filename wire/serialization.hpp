#pragma once
#include "base/tealshelf.hpp"

/// Serialization of messages and records with MessagePack. Structs are arrays of their fields, so that fields may be
/// added at the end and both older and newer releases can read the others (docs/formats.md).
namespace tealshelf {

template <class T>
string serialize(T const& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return string(buffer.data(), buffer.size());
}

/// Throws ErrorCode::badMessage if the bytes aren't a serialized T.
template <class T>
T deserialize(string_view bytes) {
  try {
    msgpack::object_handle const handle = msgpack::unpack(bytes.data(), bytes.size());
    return handle.get().as<T>();
  } catch (msgpack::unpack_error const&) {
    throw Error(ErrorCode::badMessage);
  } catch (std::bad_cast const&) {
    throw Error(ErrorCode::badMessage);
  }
}

}  // namespace tealshelf
