#pragma once
#include "tests/processes/process_rig.hpp"

namespace tealshelf {

/// What each client of a crowd sends on its connection, and then stays.
struct Behaviour {
  string opening;                 ///< sent first
  string repeated;                ///< sent again and again after it
  std::size_t repeatedBytes = 0;  ///< at most this many bytes of `repeated`
  bool reads = true;              ///< false: answers stay unread
  bool returns = false;           ///< connects again when its connection is closed
};

/// What a crowd saw.
struct CrowdResult {
  std::size_t connected = 0;
  std::map<int, std::size_t> answers;   ///< by status, the first of each connection
  std::size_t closedWithoutAnswer = 0;  ///< connections that ended before an answer
  std::size_t open = 0;                 ///< connections that were open at the end
};

/// Many clients of one address, all served by this thread.
class Crowd {
 public:
  Crowd(Address to, std::size_t size, Behaviour behaviour);
  ~Crowd();
  Crowd(Crowd const&) = delete;
  Crowd& operator=(Crowd const&) = delete;
  /// Sends and reads for some time, and calls `sample` every 50 ms. The connections stay open.
  void run(Ms duration, std::function<void()> const& sample);
  CrowdResult result() const;

 private:
  struct Client {
    int socket = -1;
    std::size_t sent = 0;
    string answer;
  };
  void connect(Client& client);
  void end(Client& client);
  /// Both return false once the connection has ended.
  bool write(Client& client);
  bool read(Client& client);
  bool hasMore(Client const& client) const {
    return client.sent < behaviour_.opening.size() + behaviour_.repeatedBytes;
  }

  Address to_;
  Behaviour behaviour_;
  string piece_;  ///< `repeated`, as often as fits into one write
  vector<Client> clients_;
  CrowdResult result_;
};

/// The highest use of a process while a crowd is there.
struct PeakUse {
  std::size_t bytes = 0, descriptors = 0;
  void note(ProcessUse const& use) {
    bytes = std::max({bytes, use.peakBytes, use.residentBytes + use.unreadBytes});
    descriptors = std::max(descriptors, use.descriptors);
  }
};

}  // namespace tealshelf
