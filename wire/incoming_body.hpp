#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// The body of a message that arrives: a string that grows with the bytes that have arrived, whatever length the head
/// announces. A Body in the sense of Beast.
struct IncomingBody {
  using value_type = string;

  class Reader {
   public:
    template <bool isRequest, class Fields>
    Reader(http::header<isRequest, Fields>&, value_type& body) : body_(body) {}
    void init(boost::optional<std::uint64_t> const&, error_code& error) { error = {}; }
    template <class Buffers>
    std::size_t put(Buffers const& buffers, error_code& error) {
      error = {};
      std::size_t const before = body_.size();
      for (auto const buffer : beast::buffers_range_ref(buffers))
        body_.append(static_cast<char const*>(buffer.data()), buffer.size());
      return body_.size() - before;
    }
    void finish(error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
  using reader = Reader;
};

}  // namespace tealshelf
