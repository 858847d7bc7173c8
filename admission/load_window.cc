// Additive increase while loads take their idle time, multiplicative decrease
// when they take much longer, as for a congested link. Loads from the engine's
// own memory say nothing about the store and are passed over.
#include "admission/load_window.h"

#include <algorithm>

namespace goldcrestlink {

namespace {
// Weight of one load in the mean.
constexpr double MeanWeight = 0.2;
// Taking longer than this share of the idle time is a sign of congestion.
constexpr double Congested = 1.5;
constexpr double Decrease = 0.7;
constexpr double Increase = 0.5;
// Shorter than this share: the adapter was at hand.
constexpr double AtHand = 0.5;
} // namespace

void LoadWindow::onLoaded(Duration Took) {
  const double Share = seconds(Took) / seconds(Opts.idleTime());
  if (Share < AtHand)
    return;
  Mean += Duration(static_cast<int64_t>(
      MeanWeight * static_cast<double>((Took - Mean).count())));
  if (Share > Congested)
    Window = std::max(1.0, Window * Decrease);
  else
    Window = std::min<double>(Opts.max(), Window + Increase / Window);
}

uint32_t LoadWindow::size() const {
  return std::clamp<uint32_t>(static_cast<uint32_t>(Window), 1, Opts.max());
}

} // namespace goldcrestlink
