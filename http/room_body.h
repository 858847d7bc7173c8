// Body of a request that is read into room reserved before. Where the room ends
// the parser reports need_buffer, and goes on when there is more.
#ifndef GOLDCRESTLINK_HTTP_ROOM_BODY_H
#define GOLDCRESTLINK_HTTP_ROOM_BODY_H

#include <algorithm>
#include <cstdint>
#include <string>

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace goldcrestlink::http {

/// A body for Beast's parser, which prescribes the names.
struct RoomBody {
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct value_type {
    std::string Text;
    /// Text grows up to this size.
    size_t Room = 0;
  };

  // NOLINTNEXTLINE(readability-identifier-naming)
  class reader {
  public:
    template <bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields> &, value_type &Body)
        : Body(Body) {}

    void init(const boost::optional<std::uint64_t> &,
              boost::system::error_code &Error) {
      Error = {};
    }

    template <class Buffers>
    size_t put(const Buffers &Received, boost::system::error_code &Error) {
      size_t Bytes = 0;
      Error = {};
      for (const auto &B : boost::beast::buffers_range_ref(Received)) {
        const size_t Taken = std::min(
            B.size(), Body.Room - std::min(Body.Room, Body.Text.size()));
        Body.Text.append(static_cast<const char *>(B.data()), Taken);
        Bytes += Taken;
        if (Taken < B.size()) {
          Error = boost::beast::http::error::need_buffer;
          break;
        }
      }
      return Bytes;
    }

    void finish(boost::system::error_code &Error) { Error = {}; }

  private:
    value_type &Body;
  };
};

} // namespace goldcrestlink::http

#endif // GOLDCRESTLINK_HTTP_ROOM_BODY_H
