// The real programs against upstreams whose answers break the protocol: no
// caller gets another request's answer or other bytes within its stream.
#include <doctest/doctest.h>

#include <atomic>
#include <mutex>
#include <thread>

#include "testing/platform_deployment.h"
#include "testing/raw_upstream.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;

namespace {

std::string answer(const std::string &Status, const std::string &Id,
                   const std::string &Fields, const std::string &Body) {
  return "HTTP/1.1 " + Status + "\r\n" +
         (Id.empty() ? "" : "Request-Id: " + Id + "\r\n") + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string refusal(const std::string &Id) {
  return answer("503 Service Unavailable", Id, "Not-Executed: 1\r\n", "");
}

// When a refusal is written once more, relative to the next request on the
// connection and its answer.
enum class CopyTime { BeforeRequest, BeforeAnswer, AfterAnswer };

} // namespace

TEST_CASE("an earlier refusal written once more answers no other request") {
  for (const CopyTime When :
       {CopyTime::BeforeRequest, CopyTime::BeforeAnswer, CopyTime::AfterAnswer})
    for (const bool WithId : {true, false})
      for (const char *Target : {"/once/x", "/read/x"}) {
        CAPTURE(static_cast<int>(When));
        CAPTURE(WithId);
        CAPTURE(std::string(Target));
        std::mutex Mutex;
        std::map<std::string, int> Ran;
        std::atomic<int> RefusalsLeft{0};
        RawUpstream Faulty("127.0.3.9", [&](RawConnection &C) {
          std::string Copy;
          while (C.readRequest()) {
            const std::string Id = C.requestId();
            if (Id.empty())
              continue;
            if (Copy.empty() && RefusalsLeft-- > 0) {
              Copy = refusal(WithId ? Id : "");
              C.write(Copy);
              if (When == CopyTime::BeforeRequest)
                C.write(Copy);
              continue;
            }
            {
              const std::lock_guard Lock(Mutex);
              ++Ran[Id];
            }
            const std::string Answer =
                answer("200 OK", Id, "Response-Seal: seal\r\n", "done " + Id);
            C.write(When == CopyTime::BeforeAnswer  ? Copy + Answer
                    : When == CopyTime::AfterAnswer ? Answer + Copy
                                                    : Answer);
          }
        });
        PlatformDeployment System(1, 0);
        System.Platform.putUpstream("faulty", "plain", Faulty.endpoint());
        REQUIRE(eventually(
            [&] { return System.call(0, Target).Head.Status == 200; },
            MaxWaitSeconds));
        int Refused = 0;
        for (int I = 0; I < 30; ++I) {
          if (I % 6 == 0)
            RefusalsLeft = 1;
          const http::Response R = System.call(0, Target);
          const std::string Id = System.lastId();
          const std::lock_guard Lock(Mutex);
          if (R.Head.Status == 200)
            CHECK(R.Body == "done " + Id);
          Refused += R.Head.Status == 503 ? 1 : 0;
          if (R.Head.Status == 503)
            CHECK(Ran[Id] == 0);
          CHECK(Ran[Id] <= 1);
        }
        CHECK(Refused > 0);
      }
}
