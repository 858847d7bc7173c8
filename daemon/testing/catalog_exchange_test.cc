// How often the catalog state that others offer is requested.
#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

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
    CatalogExchange Exchange(1);
    const Counts Seen =
        offer(Exchange, Duration(0), R.Span, R.Theirs, revisions(OldConfig, 5));
    CHECK(Seen.ForConfig == R.ForConfig);
    CHECK(Seen.Requests >= R.MinRequests);
    CHECK(Seen.Requests <= R.MaxRequests);
  }
}

TEST_CASE("a request without the configuration is answered with the rest") {
  CatalogExchange Exchange(1);
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
    CatalogExchange Exchange(1);
    REQUIRE(configRequest(Exchange, Duration(0), revisions(R.Claimed, 5),
                          revisions(OldConfig, 5)));
    const auto E =
        configRequest(Exchange, milliseconds(700), revisions(R.Arrived + 1, 5),
                      revisions(R.Arrived, 5));
    REQUIRE(E);
    CHECK(E->belief_request().config_version() == R.Arrived);
  }
}

// Guards against a process that is the first to have a large configuration and
// sends it to all others.
TEST_CASE("processes to which a configuration is offered at the same time "
          "request it at different times") {
  constexpr uint64_t Processes = 60;
  constexpr auto Slot = milliseconds(40);
  struct Row {
    const char *Name;
    uint64_t Own;
    int MaxInSlot;
  };
  const Row Rows[] = {
      // A tenth of them is expected in a tenth of the time.
      {"they have an older one", OldConfig, 18},
      {"they have none", 0, Processes},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    std::vector<int> InSlot(CatalogExchange::MaxOfferDelay / Slot + 1);
    for (uint64_t Seed = 1; Seed <= Processes; ++Seed) {
      CatalogExchange Exchange(Seed);
      const CatalogRevisions Own = revisions(R.Own, 5);
      const CatalogRevisions Theirs = revisions(NewConfig, 5);
      bool IsRequested = false;
      for (size_t I = 0; I < InSlot.size() && !IsRequested; ++I)
        if (Exchange.requestMissing(at(Slot * static_cast<int64_t>(I)), Theirs,
                                    Own)) {
          IsRequested = true;
          ++InSlot[I];
        }
      CHECK(IsRequested);
    }
    CHECK(*std::max_element(InSlot.begin(), InSlot.end()) <= R.MaxInSlot);
    CHECK((InSlot[0] == Processes) == (R.Own == 0));
  }
}

TEST_CASE("the end of a delay and an overdue answer are reported once") {
  CatalogExchange Exchange(1);
  const CatalogRevisions Own = revisions(OldConfig, 5);
  const CatalogRevisions Theirs = revisions(NewConfig, 5);
  CHECK_FALSE(Exchange.requestMissing(at(Duration(0)), Theirs, Own));
  int Reported = 0;
  int Requested = 0;
  for (Duration D{}; D < milliseconds(2000); D += OfferInterval)
    if (Exchange.onTimer(at(D), Own)) {
      ++Reported;
      Requested += Exchange.requestMissing(at(D), Theirs, Own) ? 1 : 0;
    }
  CHECK(Reported == 2);
  CHECK(Requested == 2);
  CHECK_FALSE(
      Exchange.onTimer(at(std::chrono::seconds(9)), revisions(NewConfig, 5)));
}
