// Additive increase, multiplicative decrease, as in TCP congestion control: the
// window grows while loads take about as long as from an idle store, and
// shrinks when they take much longer. Loads from the engine's own memory are
// ignored, since their duration does not depend on the store. Constant time per
// load.
#include "admission/load_window.h"

#include <algorithm>

namespace goldcrestlink {

namespace {
// Weight of the latest load in the mean.
constexpr double MeanWeight = 0.2;
// A load that takes longer than this multiple of the idle load time is taken as
// a sign of congestion.
constexpr double CongestedFactor = 1.5;
constexpr double DecreaseFactor = 0.7;
constexpr double IncreasePerWindow = 0.5;
// A load below this multiple of the idle load time came from the engine's
// memory.
constexpr double LocalLoadFactor = 0.5;
} // namespace

void LoadWindow::onLoaded(Duration Took) {
  const double Factor = seconds(Took) / seconds(Opts.idleLoadTime());
  if (Factor < LocalLoadFactor)
    return;
  MeanLoadTime += Duration(static_cast<int64_t>(
      MeanWeight * static_cast<double>((Took - MeanLoadTime).count())));
  if (Factor > CongestedFactor)
    Window = std::max(1.0, Window * DecreaseFactor);
  else
    Window = std::min<double>(Opts.maxConcurrent(),
                              Window + IncreasePerWindow / Window);
}

uint32_t LoadWindow::size() const {
  return std::clamp<uint32_t>(static_cast<uint32_t>(Window), 1,
                              Opts.maxConcurrent());
}

} // namespace goldcrestlink
