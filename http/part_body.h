// Body of a response that is passed on part by part. Unlike Beast's string_body
// it reserves no memory for the length that the response names, which the peer
// may choose at will.
#ifndef GOLDCRESTLINK_HTTP_PART_BODY_H
#define GOLDCRESTLINK_HTTP_PART_BODY_H

#include <cstdint>
#include <string>

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace goldcrestlink::http {

/// A body for Beast's parser, which prescribes the names. The value is what was
/// received and not taken yet.
struct PartBody {
  // NOLINTNEXTLINE(readability-identifier-naming)
  using value_type = std::string;

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
      for (const auto &B : boost::beast::buffers_range_ref(Received)) {
        Body.append(static_cast<const char *>(B.data()), B.size());
        Bytes += B.size();
      }
      Error = {};
      return Bytes;
    }

    void finish(boost::system::error_code &Error) { Error = {}; }

  private:
    value_type &Body;
  };
};

} // namespace goldcrestlink::http

#endif // GOLDCRESTLINK_HTTP_PART_BODY_H
