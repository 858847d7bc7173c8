// Runs a whole small deployment on loopback and uses it as callers and
// operators do: requests through both entries, streamed and whole, a work
// order that lands once, a new version applied, and status.
#include <cstdio>
#include <string>

#include <CLI/CLI.hpp>

#include "http/client.h"
#include "testing/fleet.h"

using namespace goldcrestlink;

namespace {

http::Response call(const http::Endpoint &Entry, const std::string &Target,
                    const std::string &Body, http::Headers Fields) {
  http::Request R;
  R.Method = "POST";
  R.Target = Target;
  R.Fields = std::move(Fields);
  R.Fields.push_back({"Content-Type", "application/json"});
  R.Body = Body;
  return http::fetchNow(Entry, std::move(R), http::CallOptions());
}

bool show(const char *What, const http::Response &R) {
  std::printf("%s\n  status %u\n  %.200s\n", What, R.Head.Status,
              R.Body.c_str());
  return R.Head.Status == 200;
}

bool useDeployment(testing::Fleet &F) {
  bool Ok = show("a whole answer through entry 1",
                 call(F.Entries[0].Http, "/v1/completions",
                      R"({"model":"a1@1","prompt":"hoops?","max_tokens":4,)"
                      R"("user":"caller-1"})",
                      {{"X-Application", "scribe"}, {"X-Rank", "urgent"}}));
  Ok &= show("a streamed answer through entry 2",
             call(F.Entries[1].Http, "/v1/completions",
                  R"({"model":"a2@1","prompt":"staves?","max_tokens":4,)"
                  R"("stream":true,"user":"caller-2"})",
                  {{"X-Application", "desk"}}));
  Ok &= show("a version that is not declared is refused",
             call(F.Entries[0].Http, "/v1/completions",
                  R"({"model":"a1@9","prompt":"x"})", {})) == false;
  const std::string Key = "order-1";
  const std::string Issued = std::to_string(unixMillis(presentTime().Wall));
  const http::Headers Keyed = {{"Idempotency-Key", Key},
                               {"Idempotency-Key-Issued-At", Issued}};
  Ok &= show("a work order",
             call(F.Entries[0].Http, "/work-orders", "{\"order\":1}", Keyed));
  Ok &= show("the same work order again, through the other entry",
             call(F.Entries[1].Http, "/work-orders", "{\"order\":1}", Keyed));
  std::printf("runs of each order at the service:\n");
  for (const std::string &Line : F.runs(F.Services))
    std::printf("  %s\n", Line.c_str());
  F.Shape.Versions = "1 2 3";
  Ok &= F.apply() == 0;
  Ok &= testing::eventually([&] { return F.generationInForce(2); }, 30);
  Ok &= show("the version applied a moment ago",
             call(F.Entries[1].Http, "/v1/completions",
                  R"({"model":"a1@3","prompt":"x","max_tokens":2})", {}));
  std::printf("status of entry 1\n%s",
              F.admin(F.Entries[0].Http, "/status", "GET").c_str());
  std::printf("explanation\n%s",
              F.admin(F.Entries[0].Http, "/explain?model=a1@3", "GET").c_str());
  return Ok;
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"a whole deployment on loopback"};
  std::string Programs = "build";
  std::string Work = "build/demo-run";
  App.add_option("--programs", Programs, "folder of the built programs");
  App.add_option("--work", Work, "folder for settings and logs; is emptied");
  CLI11_PARSE(App, Argc, Argv);
  try {
    testing::Fleet F(testing::FleetShape(), Programs, Work);
    F.start();
    const bool Ok = useDeployment(F);
    const bool Clean = F.stopGracefully();
    std::printf("%s; graceful stop: %s\n", Ok ? "all as expected" : "FAILED",
                Clean ? "clean" : "FAILED");
    return Ok && Clean ? 0 : 1;
  } catch (const std::exception &E) {
    std::fprintf(stderr, "%s\n", E.what());
    return 1;
  }
}
