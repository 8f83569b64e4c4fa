#include "consensus/log_records.hpp"

namespace tealshelf {

string LogRecord::serialized() const {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, *this);
  return string(buffer.data(), buffer.size());
}

LogRecord LogRecord::parse(string const& bytes) {
  try {
    return msgpack::unpack(bytes.data(), bytes.size()).get().as<LogRecord>();
  } catch (std::exception const&) {
    throw Error(ErrorCode::badMessage, "a record of the control log can't be decoded");
  }
}

LogRecord LogRecord::vote(string const& keyspace, Epoch epoch) {
  LogRecord record;
  record.kind = RecordKind::vote;
  record.keyspace = keyspace;
  record.epoch = epoch;
  return record;
}

LogRecord LogRecord::append(string const& keyspace, Epoch epoch, WriteRange const& writes) {
  LogRecord record;
  record.kind = RecordKind::append;
  record.keyspace = keyspace;
  record.epoch = epoch;
  record.previous = writes.previous;
  record.last = writes.last;
  record.full = writes.full;
  record.entries = writes.entries;
  return record;
}

LogRecord LogRecord::membershipChange(MembershipRecord const& membership) {
  LogRecord record;
  record.kind = RecordKind::membership;
  record.membership = membership;
  return record;
}

LogRecord LogRecord::wholeKeyspace(string const& keyspace, Epoch votedEpoch, Entries const& entries, Position applied) {
  LogRecord record;
  record.kind = RecordKind::keyspace;
  record.keyspace = keyspace;
  record.epoch = votedEpoch;
  record.entries = entries;
  record.appliedEpoch = applied.epoch;
  record.last = applied.sequence;
  return record;
}

}  // namespace tealshelf
