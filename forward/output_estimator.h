// Estimates how many tokens a request will produce, from the outputs of earlier
// requests of its kind (route) and adapter and from the caller's hint, weighted
// by how good the hints of its kind have been.
//
//   OutputEstimator Outputs;
//   OutputEstimator::Query Q{.Kind = hash64(Route), .Adapter = AdapterHash,
//                            .MaxTokens = 400, .Hint = 90};
//   double Tokens = Outputs.expected(Q).Tokens;
//   Outputs.onComplete(Q, 84);                 // the stream ended complete
#ifndef GOLDCRESTLINK_FORWARD_OUTPUT_ESTIMATOR_H
#define GOLDCRESTLINK_FORWARD_OUTPUT_ESTIMATOR_H

#include <cstdint>
#include <vector>

namespace goldcrestlink::forward {

/// An expected output.
struct OutputEstimate {
  /// Mean number of tokens; 0 if nothing is known.
  double Tokens = 0;
  /// Standard deviation of the natural logarithm of the number of tokens.
  double Spread = 0;
};

/// Not thread-safe. Of constant size: two tables in which a row in use yields
/// to another key once that key has been seen more often than it.
class OutputEstimator {
public:
  struct Query {
    /// Identifies the kind of requests.
    uint64_t Kind = 0;
    /// Identifies the adapter; 0 for the base model itself.
    uint64_t Adapter = 0;
    /// The most that the request may produce, in tokens; 0 if not stated.
    uint32_t MaxTokens = 0;
    /// The caller's estimate in tokens; 0 if it states none.
    uint32_t Hint = 0;
  };

  OutputEstimator();

  // Commands.

  /// A request has produced its whole output of \p Tokens tokens, as one
  /// answer. Outputs of zero tokens are ignored.
  void onComplete(const Query &Q, uint64_t Tokens);

  // Queries.

  /// Constant time. The result is at least 1 token and at most Q.MaxTokens if
  /// there is any knowledge; Q.MaxTokens / 2 without earlier outputs and hint.
  OutputEstimate expected(const Query &Q) const;

private:
  // Exponentially weighted mean and variance of a logarithm.
  struct Row {
    uint64_t Key = 0;
    float Mean = 0;
    float Variance = 0;
    uint32_t Count = 0;

    void add(double Value);
  };

  static const Row *find(const std::vector<Row> &Table, uint64_t Key);
  static void learn(std::vector<Row> &Table, uint64_t Key, double Value);

  std::vector<Row> Kinds;
  std::vector<Row> Adapters;
  // Errors of the hints: logarithm of output / hint, by kind.
  std::vector<Row> Hints;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_OUTPUT_ESTIMATOR_H
