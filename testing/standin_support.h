// Helpers that the stand-ins share: timers, calls across threads, parsing of
// numbers and queries, and the header of JSON responses.
//
//   runLater(Io, std::chrono::milliseconds(10), [] { ... });
#ifndef GOLDCRESTLINK_TESTING_STANDIN_SUPPORT_H
#define GOLDCRESTLINK_TESTING_STANDIN_SUPPORT_H

#include <charconv>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/message.h"

namespace goldcrestlink::testing {

/// Calls \p Do on the thread that runs \p Io, after \p Delay.
inline void runLater(boost::asio::io_context &Io,
                     std::chrono::milliseconds Delay,
                     std::function<void()> Do) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(Io, Delay);
  Timer->async_wait(
      [Timer, Do = std::move(Do)](boost::system::error_code Error) {
        if (!Error)
          Do();
      });
}

/// Calls \p Do on the thread that runs \p Io, waits and returns its result.
/// Precondition: the caller is on another thread, and \p Io is running.
template <class F> auto callOn(boost::asio::io_context &Io, F Do) {
  std::packaged_task<decltype(Do())()> Task(std::move(Do));
  auto Result = Task.get_future();
  boost::asio::post(Io, [&Task] { Task(); });
  return Result.get();
}

/// The decimal number at the start of \p Text; 0 if there is none.
inline uint64_t parseNumber(std::string_view Text) {
  uint64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

/// \p Text with "+" and percent-encoded bytes of a query decoded. What is no
/// valid encoding stays as it is.
inline std::string decodeQueryValue(std::string_view Text) {
  constexpr int HexBase = 16;
  std::string Out;
  for (size_t I = 0; I < Text.size(); ++I) {
    unsigned char Byte = 0;
    const char *const Digits = Text.data() + I + 1;
    if (Text[I] == '%' && I + 2 < Text.size() &&
        std::from_chars(Digits, Digits + 2, Byte, HexBase).ptr == Digits + 2) {
      Out += static_cast<char>(Byte);
      I += 2;
    } else {
      Out += Text[I] == '+' ? ' ' : Text[I];
    }
  }
  return Out;
}

inline http::Headers jsonType() {
  return {{"Content-Type", "application/json"}};
}

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_STANDIN_SUPPORT_H
