// Runs a small but complete deployment on loopback and uses it as callers and
// operators do: it sends streamed and unstreamed requests through both entries,
// sends the same work order twice, which must be executed only once, applies a
// new adapter version, and prints an entry's status and its explanation of
// where it would route a request.
#include <cstdio>
#include <string>

#include <CLI/CLI.hpp>

#include "http/client.h"
#include "testing/test_deployment.h"

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
  return http::fetchBlocking(Entry, std::move(R), http::CallOptions());
}

bool printAnswer(const char *What, const http::Response &R) {
  std::printf("%s\n  status %u\n  %.200s\n", What, R.Head.Status,
              R.Body.c_str());
  return R.Head.Status == 200;
}

bool useDeployment(testing::TestDeployment &Deployment) {
  bool Ok =
      printAnswer("an unstreamed answer through entry 1",
                  call(Deployment.Entries[0].Http, "/v1/completions",
                       R"({"model":"a1@1","prompt":"hoops?","max_tokens":4,)"
                       R"("user":"caller-1"})",
                       {{"X-Application", "scribe"}, {"X-Rank", "urgent"}}));
  Ok &= printAnswer("a streamed answer through entry 2",
                    call(Deployment.Entries[1].Http, "/v1/completions",
                         R"({"model":"a2@1","prompt":"staves?","max_tokens":4,)"
                         R"("stream":true,"user":"caller-2"})",
                         {{"X-Application", "desk"}}));
  Ok &=
      printAnswer("a request for an undeclared version, which must be refused",
                  call(Deployment.Entries[0].Http, "/v1/completions",
                       R"({"model":"a1@9","prompt":"x"})", {})) == false;
  const std::string Key = "order-1";
  const std::string Issued = std::to_string(unixMillis(currentTime().Wall));
  const http::Headers KeyHeaders = {{"Idempotency-Key", Key},
                                    {"Idempotency-Key-Issued-At", Issued}};
  Ok &= printAnswer("a work order",
                    call(Deployment.Entries[0].Http, "/work-orders",
                         "{\"order\":1}", KeyHeaders));
  Ok &= printAnswer("the same work order again, through the other entry",
                    call(Deployment.Entries[1].Http, "/work-orders",
                         "{\"order\":1}", KeyHeaders));
  std::printf("number of executions of each order at the services:\n");
  for (const std::string &Line : Deployment.runs(Deployment.Services))
    std::printf("  %s\n", Line.c_str());
  Deployment.Shape.Versions = "1 2 3";
  Ok &= Deployment.apply() == 0;
  Ok &=
      testing::eventually([&] { return Deployment.allHaveGeneration(2); }, 30);
  Ok &=
      printAnswer("a request for the version that was just applied",
                  call(Deployment.Entries[1].Http, "/v1/completions",
                       R"({"model":"a1@3","prompt":"x","max_tokens":2})", {}));
  std::printf(
      "status of entry 1\n%s",
      Deployment.admin(Deployment.Entries[0].Http, "/status", "GET").c_str());
  std::printf(
      "explanation\n%s",
      Deployment.admin(Deployment.Entries[0].Http, "/explain?model=a1@3", "GET")
          .c_str());
  return Ok;
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"run a complete deployment on loopback"};
  std::string Programs = "build";
  std::string Work = "build/demo-run";
  App.add_option("--programs", Programs, "folder of the built programs");
  App.add_option("--work", Work,
                 "folder for settings and logs; existing content is deleted");
  CLI11_PARSE(App, Argc, Argv);
  try {
    testing::TestDeployment Deployment(testing::DeploymentOptions(), Programs,
                                       Work);
    Deployment.start();
    const bool Ok = useDeployment(Deployment);
    const bool CleanStop = Deployment.stopGracefully();
    std::printf("%s; graceful stop: %s\n", Ok ? "all as expected" : "FAILED",
                CleanStop ? "clean" : "FAILED");
    return Ok && CleanStop ? 0 : 1;
  } catch (const std::exception &E) {
    std::fprintf(stderr, "%s\n", E.what());
    return 1;
  }
}
