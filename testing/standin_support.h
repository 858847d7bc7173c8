// What the stand-ins share: timers, numbers in text, the type of JSON answers.
//
//   runLater(Io, std::chrono::milliseconds(10), [] { ... });
#ifndef GOLDCRESTLINK_TESTING_STANDIN_SUPPORT_H
#define GOLDCRESTLINK_TESTING_STANDIN_SUPPORT_H

#include <charconv>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/message.h"

namespace goldcrestlink::testing {

/// Calls \p Do on Io's thread after \p D.
inline void runLater(boost::asio::io_context &Io, std::chrono::milliseconds D,
                     std::function<void()> Do) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(Io, D);
  Timer->async_wait(
      [Timer, Do = std::move(Do)](boost::system::error_code Error) {
        if (!Error)
          Do();
      });
}

/// Calls \p Do on the thread that runs \p Io and waits for its result.
/// Precondition: the caller is another thread.
template <class F> auto callOn(boost::asio::io_context &Io, F Do) {
  std::packaged_task<decltype(Do())()> Task(std::move(Do));
  auto Result = Task.get_future();
  boost::asio::post(Io, [&Task] { Task(); });
  return Result.get();
}

/// The number at the start of \p Text, or 0.
inline uint64_t numberOf(std::string_view Text) {
  uint64_t Out = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Out);
  return Out;
}

inline http::Headers jsonType() {
  return {{"Content-Type", "application/json"}};
}

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_STANDIN_SUPPORT_H
