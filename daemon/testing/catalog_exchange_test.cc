// How often the catalog state that others offer is requested.
#include <doctest/doctest.h>

#include "daemon/catalog_exchange.h"

using namespace goldcrestlink;

namespace {

using std::chrono::milliseconds;

constexpr uint64_t OldConfig = 18;
constexpr uint64_t NewConfig = 19;
constexpr Duration OfferInterval = milliseconds(10);

Time at(Duration D) { return Time(std::chrono::seconds(100)) + D; }

CatalogRevisions revisions(uint64_t Config, uint64_t Upstreams) {
  return {Config, {1, Upstreams}, {1, 1}};
}

struct Counts {
  int Requests = 0;
  // Requests that a process with NewConfig answers with it.
  int ForConfig = 0;
};

// Offers \p Theirs to a process with \p Own from \p From to \p To.
Counts offer(CatalogExchange &Exchange, Duration From, Duration To,
             const CatalogRevisions &Theirs, const CatalogRevisions &Own) {
  Counts Out;
  for (Duration D = From; D < To; D += OfferInterval)
    if (const auto E = Exchange.requestMissing(at(D), Theirs, Own)) {
      ++Out.Requests;
      Out.ForConfig += E->belief_request().config_version() < NewConfig ? 1 : 0;
    }
  return Out;
}

// The first request for a configuration if one is offered from \p From on.
std::optional<wire::Envelope> configRequest(CatalogExchange &Exchange,
                                            Duration From,
                                            const CatalogRevisions &Theirs,
                                            const CatalogRevisions &Own) {
  constexpr Duration Span = milliseconds(500);
  for (Duration D = From; D < From + Span; D += OfferInterval) {
    auto E = Exchange.requestMissing(at(D), Theirs, Own);
    if (E && E->belief_request().config_version() < Theirs.Config)
      return E;
  }
  return std::nullopt;
}

} // namespace

// Guards against several processes that send the same large configuration over
// a slow link at once.
TEST_CASE("a configuration is requested once until it is known or overdue") {
  struct Row {
    const char *Name;
    CatalogRevisions Theirs;
    Duration Span;
    int ForConfig;
    int MinRequests;
    int MaxRequests;
  };
  const Row Rows[] = {
      {"only the configuration is newer", revisions(NewConfig, 5),
       milliseconds(1400), 1, 1, 1},
      {"upstreams are newer too", revisions(NewConfig, 6), milliseconds(1400),
       1, 10, 12},
      {"the answer is lost", revisions(NewConfig, 5), milliseconds(2000), 2, 2,
       2},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    CatalogExchange Exchange;
    const Counts Seen =
        offer(Exchange, Duration(0), R.Span, R.Theirs, revisions(OldConfig, 5));
    CHECK(Seen.ForConfig == R.ForConfig);
    CHECK(Seen.Requests >= R.MinRequests);
    CHECK(Seen.Requests <= R.MaxRequests);
  }
}

TEST_CASE("a request without the configuration is answered with the rest") {
  CatalogExchange Exchange;
  const CatalogRevisions Own = revisions(OldConfig, 5);
  REQUIRE(configRequest(Exchange, Duration(0), revisions(NewConfig, 5), Own));
  const auto E = Exchange.requestMissing(at(milliseconds(700)),
                                         revisions(NewConfig, 6), Own);
  REQUIRE(E);
  Catalog Theirs;
  auto Config = std::make_shared<DeploymentConfig>();
  Config->Version = NewConfig;
  Theirs.applyConfig(Config, "text");
  UpstreamRecord Record;
  Record.Id = "u";
  Theirs.applyUpstream(at(Duration(0)), {1, 6}, "u", &Record);
  const wire::Envelope Answer =
      catalogUpdateFor(at(Duration(0)), E->belief_request(), Theirs);
  CHECK(Answer.beliefs().config().empty());
  CHECK(Answer.beliefs().upstreams_size() == 1);
  CHECK(Answer.beliefs().as_of().config_version() == NewConfig);
}

TEST_CASE("the next configuration is requested once another has arrived") {
  struct Row {
    const char *Name;
    uint64_t Claimed;
    uint64_t Arrived;
  };
  const Row Rows[] = {
      {"the one requested", OldConfig + 1, OldConfig + 1},
      {"an older one than the sender claimed", OldConfig + 1000, OldConfig + 1},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    CatalogExchange Exchange;
    REQUIRE(configRequest(Exchange, Duration(0), revisions(R.Claimed, 5),
                          revisions(OldConfig, 5)));
    const auto E =
        configRequest(Exchange, milliseconds(700), revisions(R.Arrived + 1, 5),
                      revisions(R.Arrived, 5));
    REQUIRE(E);
    CHECK(E->belief_request().config_version() == R.Arrived);
  }
}
