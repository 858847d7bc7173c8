// Congestion window that limits how many adapters one side loads at the same
// time. All sides share the bandwidth of the weight store. When it is exceeded,
// all loads slow down, and sequential loads finish sooner on average than
// concurrent ones. Each side adapts its window to the duration of its own
// loads.
//
//   LoadWindow Window(LoadWindow::Options());
//   Window.onLoaded(Took);
//   if (LoadsInProgress < Window.size()) startNextLoad();
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
    Duration idleLoadTime() const { return IdleLoadTime; }
    uint32_t maxConcurrent() const { return MaxConcurrent; }

  private:
    // Duration of a load from an idle store, from the deployments' data sheets.
    Duration IdleLoadTime = std::chrono::milliseconds(260);
    // An engine accepts at most four concurrent adapter loads.
    uint32_t MaxConcurrent = 4;
  };

  explicit LoadWindow(Options O) : Opts(O), MeanLoadTime(O.idleLoadTime()) {}

  // Commands.

  /// A load has finished; \p Took is the time since its order was accepted.
  void onLoaded(Duration Took);

  // Queries.

  /// Number of loads that may be in progress at the same time, at least 1.
  uint32_t size() const;
  /// Expected duration of a load.
  Duration loadTime() const { return MeanLoadTime; }

private:
  Options Opts;
  // Exponentially weighted mean of the load durations.
  Duration MeanLoadTime;
  double Window = 2;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ADMISSION_LOAD_WINDOW_H
