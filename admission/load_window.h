// How many adapters a side has on their way at once. The weight store's rate is
// shared by the whole fleet, and beyond it all loads slow down together; then
// one after the other arrive sooner on average than all at once. Each side
// finds its share by how long its own loads take.
//
//   LoadWindow W(LoadWindow::Options());
//   W.onLoaded(Took);
//   if (InTransit < W.size()) orderNext();
#ifndef GOLDCRESTLINK_ADMISSION_LOAD_WINDOW_H
#define GOLDCRESTLINK_ADMISSION_LOAD_WINDOW_H

#include <cstdint>

#include "base/time.h"

namespace goldcrestlink {

/// Not thread-safe.
class LoadWindow {
public:
  class Options {
  public:
    Duration idleTime() const { return IdleTime; }
    uint32_t max() const { return Max; }

  private:
    // A load while the store is not busy, by the deployments' sheets.
    Duration IdleTime = std::chrono::milliseconds(260);
    // The engine accepts four adapters in transit at the same time.
    uint32_t Max = 4;
  };

  explicit LoadWindow(Options O) : Opts(O), Mean(O.idleTime()) {}

  // Commands.

  /// A load took this long from its order on.
  void onLoaded(Duration Took);

  // Queries.

  /// Loads that may be in transit at once, at least one.
  uint32_t size() const;
  /// Expected time of a load.
  Duration loadTime() const { return Mean; }

private:
  Options Opts;
  Duration Mean;
  double Window = 2;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ADMISSION_LOAD_WINDOW_H
